/**
 * Settings of a relay node, read from a YAML file.
 *
 * @module
 */

import { readFileSync } from "node:fs";
import { z } from "zod";
import { describeCause } from "../../protocol/relay/mod.js";
import { addressSchema, parseSettingsFile, SettingsError } from "../settings_file.js";

/** Log lines that a node writes a second at most; a heavy day's failures fit, at about a hundredth of a core. */
const DEFAULT_LOG_LINES_PER_SECOND = 60;

/** Time that a leaving node goes on taking calls while the balancer still sends it new connections, in milliseconds. */
const DEFAULT_BALANCER_LAG_MS = 2_500;

const settingsSchema = z.strictObject({
    node: z.string().min(1),
    failureDomain: z.string().min(1),
    listen: z.strictObject({
        callers: addressSchema,
        /** Where the balancer asks whether the node is ready. */
        readiness: addressSchema,
        /** Datagrams of other nodes. */
        peers: addressSchema,
        /** Metrics for the collector; left out when none asks. */
        metrics: addressSchema.optional(),
    }),
    /** Processors that the node may use; the strongest node of a failure domain adds up the reports of the others. */
    processor: z.strictObject({
        cores: z.number().min(0.01),
        /** Part of each core's time that the node gets, from 0 to 1. */
        share: z.number().min(0.01).max(1),
    }).default({ cores: 1, share: 1 }),
    /** Address of the platform's log. */
    log: addressSchema,
    /** Whether the whole system starts for the first time. */
    isFirstStart: z.boolean().default(false),
    drain: z.strictObject({
        /** Time until the process is killed after SIGTERM, in seconds. */
        graceSeconds: z.number().min(1),
        balancerLagMs: z.int().min(0).default(DEFAULT_BALANCER_LAG_MS),
    }),
    servers: z.strictObject({
        /** Time from a server's notice until it must get no more calls, in milliseconds. */
        leaveMs: z.int().min(100),
    }),
    /** Retries that all nodes together may send to a service. */
    retries: z.strictObject({
        fraction: z.number().min(0).max(1),
        windowSeconds: z.number().min(0.1),
        slackCalls: z.number().min(0),
    }),
    /** Bounds of a move to another version. */
    rollouts: z.strictObject({
        /** Largest share of a service's calls that an unproved version gets, from 0 to 1. */
        maxShare: z.number().min(0).max(1),
        /** Calls that an unproved version may get whatever the share. */
        slackCalls: z.number().min(0),
        /** Time in which a bad version has to be out of use, in milliseconds. */
        rollbackMs: z.int().min(0),
    }),
    logLinesPerSecond: z.int().min(1).default(DEFAULT_LOG_LINES_PER_SECOND),
});

/** Settings of a relay node. */
export type RelaySettings = z.infer<typeof settingsSchema>;

/**
 * Reads and checks a settings file.
 *
 * @throws {SettingsError} When the file cannot be read or holds a wrong setting.
 */
export function readRelaySettings(file: string): RelaySettings {
    let text: string;
    try {
        text = readFileSync(file, "utf8");
    }
    catch (cause) {
        throw new SettingsError(file, [describeCause(cause)]);
    }
    return parseRelaySettings(text, file);
}

/**
 * Checks settings.
 *
 * @param text YAML.
 * @param file Name of the file for errors.
 * @throws {SettingsError} When a setting is wrong.
 */
export function parseRelaySettings(text: string, file: string): RelaySettings {
    return parseSettingsFile(settingsSchema, text, file);
}
