/**
 * Settings of a daemon, read from a YAML file.
 *
 * @module
 */

import { createHash } from "node:crypto";
import { readFile } from "node:fs/promises";
import { z } from "zod";
import { MAX_BODY_BYTES, MAX_CALLER_CONNECTIONS, MAX_HELD_BODY_BYTES } from "../transport/mod.js";
import { addressSchema, parseSettingsFile, SettingsError } from "./settings_file.js";

/** Time for which a draining node keeps accepting calls, so that the balancer can notice that it is not ready; in milliseconds. */
const DEFAULT_BALANCER_LAG_MS = 3_000;

/** Maximum time that a draining node waits for active calls, in milliseconds. */
const DEFAULT_DRAIN_LIMIT_MS = 60_000;

/** Age beyond which a dated idempotency key is refused, in milliseconds; shorter than the log's retention to allow for clock errors. */
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
    /** Limits on what callers send. */
    input: z.strictObject({
        maxBodyBytes: z.int().min(1_024).max(MAX_BODY_BYTES).default(MAX_BODY_BYTES),
        maxHeldBytes: z.int().min(1_048_576).max(MAX_HELD_BODY_BYTES).default(MAX_HELD_BODY_BYTES),
        maxConnections: z.int().min(1).max(MAX_CALLER_CONNECTIONS).optional(),
        maxPeerConnections: z.int().min(1).optional(),
    }).default({ maxBodyBytes: MAX_BODY_BYTES, maxHeldBytes: MAX_HELD_BODY_BYTES }),
    /** URL that is notified when a rollout completes, is rolled back or is late. */
    webhookUrl: z.url({ protocol: /^https?$/, error: "must be an http or https address" }).optional(),
    logLevel: z.enum(["debug", "info", "warn", "error"]).default("info"),
});

/** Settings of a daemon. */
export type Settings = z.infer<typeof settingsSchema>;

/**
 * Reads and validates a settings file.
 *
 * @param file Path of the YAML file.
 * @throws {SettingsError} If the file cannot be read or contains an invalid setting.
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
 * Parses and validates the text of a settings file.
 *
 * @param text YAML text.
 * @param file File name for error messages.
 * @throws {SettingsError} If the text is malformed or contains an invalid setting.
 */
export function parseSettings(text: string, file: string): Settings {
    return parseSettingsFile(settingsSchema, text, file);
}

/**
 * Finds the operator that an API key belongs to.
 *
 * @param settings Settings that list the operators.
 * @param key Key sent with a call; only its hash is compared, and it is never stored.
 * @returns Name of the operator, or `undefined` if the key is missing or unknown.
 */
export function findOperator(settings: Settings, key: string | undefined): string | undefined {
    if (key === undefined) {
        return undefined;
    }
    const keyHash = createHash("sha256").update(key).digest("hex");
    return settings.operators.find(operator => operator.keyHash === keyHash)?.name;
}

/** Returns whether no name and no key hash occurs twice. */
function hasNoDuplicates(operators: readonly z.infer<typeof operatorSchema>[]): boolean {
    const values = operators.flatMap(({ name, keyHash }) => [name, keyHash]);
    return new Set(values).size === values.length;
}
