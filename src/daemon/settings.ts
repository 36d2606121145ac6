/**
 * Settings of a daemon, read from a YAML file.
 *
 * @module
 */

import { createHash } from "node:crypto";
import { readFile } from "node:fs/promises";
import { z } from "zod";
import { addressSchema, parseSettingsFile, SettingsError } from "./settings_file.js";

/** Time for which a leaving node goes on serving while the balancer still sends it calls, in milliseconds. */
const DEFAULT_BALANCER_LAG_MS = 3_000;

/** Longest time that a leaving node waits for its last call, in milliseconds. */
const DEFAULT_DRAIN_LIMIT_MS = 60_000;

/** Age beyond which a dated idempotency key is refused, in milliseconds; less than the log's retention by the error of clocks. */
const DEFAULT_KEY_HORIZON_MS = 6 * 86_400_000;

const tlsSchema = z.union([
    z.strictObject({ certificateFile: z.string().min(1), keyFile: z.string().min(1), caFile: z.string().min(1) }),
    z.strictObject({ plainText: z.literal(true) }),
], { error: "must name certificateFile, keyFile and caFile, or be { plainText: true }" });

const operatorSchema = z.strictObject({
    name: z.string().regex(
        /^[a-z0-9][a-z0-9.@-]{0,62}$/,
        "must be 1 to 63 lower-case letters, digits, dots, at signs and hyphens",
    ),
    keyHash: z.string().regex(/^[0-9a-f]{64}$/, "must be a SHA-256 in lower-case hexadecimal"),
});

const settingsSchema = z.strictObject({
    node: z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, "must be 1 to 63 lower-case letters, digits and hyphens"),
    failureDomain: z.string().min(1),
    listen: z.strictObject({ callers: addressSchema, peers: addressSchema }),
    tls: tlsSchema,
    platform: z.strictObject({ log: addressSchema, vmList: addressSchema, weightStore: addressSchema }),
    operators: z.array(operatorSchema).min(1).refine(hasNoDuplicates, "names an operator or a key twice; give each its own"),
    drain: z.strictObject({
        balancerLagMs: z.int().min(0).max(60_000).default(DEFAULT_BALANCER_LAG_MS),
        limitMs: z.int().min(0).max(3_600_000).default(DEFAULT_DRAIN_LIMIT_MS),
    }).default({ balancerLagMs: DEFAULT_BALANCER_LAG_MS, limitMs: DEFAULT_DRAIN_LIMIT_MS }),
    claims: z.strictObject({
        keyHorizonMs: z.int().min(60_000).default(DEFAULT_KEY_HORIZON_MS),
        requireDatedKeys: z.boolean().default(false),
    }).default({ keyHorizonMs: DEFAULT_KEY_HORIZON_MS, requireDatedKeys: false }),
    /** Receiver that is told when a rollout is done, rolled back or late. */
    webhookUrl: z.url({ protocol: /^https?$/, error: "must be an http or https address" }).optional(),
    logLevel: z.enum(["debug", "info", "warn", "error"]).default("info"),
});

/** Settings of a daemon. */
export type Settings = z.infer<typeof settingsSchema>;

/**
 * Reads and checks a settings file.
 *
 * @param file Path of the YAML file.
 * @throws {SettingsError} When the file cannot be read or holds a wrong setting.
 */
export async function readSettings(file: string): Promise<Settings> {
    let text: string;
    try {
        text = await readFile(file, "utf8");
    }
    catch (cause) {
        throw new SettingsError(file, [(cause as Error).message]);
    }
    return parseSettings(text, file);
}

/**
 * Checks the text of a settings file.
 *
 * @param text YAML text.
 * @param file Name used in errors.
 * @throws {SettingsError} When the text holds a wrong setting.
 */
export function parseSettings(text: string, file: string): Settings {
    return parseSettingsFile(settingsSchema, text, file);
}

/**
 * Finds the operator who owns a key.
 *
 * @param settings Settings that name the operators.
 * @param key Key that a call carries; it is compared by its hash and never kept.
 * @returns Name of the operator, or `undefined` when the key is missing or belongs to nobody.
 */
export function findOperator(settings: Settings, key: string | undefined): string | undefined {
    if (key === undefined) {
        return undefined;
    }
    const keyHash = createHash("sha256").update(key).digest("hex");
    return settings.operators.find(operator => operator.keyHash === keyHash)?.name;
}

function hasNoDuplicates(operators: readonly z.infer<typeof operatorSchema>[]): boolean {
    const values = operators.flatMap(({ name, keyHash }) => [name, keyHash]);
    return new Set(values).size === values.length;
}
