/**
 * Settings of a relay node, read from a YAML file.
 *
 * @module
 */

import { readFileSync } from "node:fs";
import { z } from "zod";
import { describeCause } from "../../protocol/relay/mod.js";
import { addressSchema, parseSettingsFile, SettingsError } from "../settings_file.js";

/** Maximum number of log lines per second; enough for the failures of a heavy day, at about a hundredth of a core. */
const DEFAULT_LOG_LINES_PER_SECOND = 60;

/** Time for which a draining node keeps accepting calls while the balancer still sends it new connections, in milliseconds. */
const DEFAULT_BALANCER_LAG_MS = 2_500;

/** Memory of the process unless the settings state it, in megabytes; that of the smallest machines. */
const DEFAULT_MEMORY_MEGABYTES = 178;

/** Least number of file descriptors with which a process starts. */
const MIN_DESCRIPTORS = 64;

/** Shortest time for records to be applied, in milliseconds; reads of the log are not repeated faster. */
const MIN_APPLY_MS = 100;
/** Bounds on the calls of cold servers unless the settings state them: they get no more than they sustain. */
const DEFAULT_COLD_OVERAGE = 1;
const DEFAULT_COLD_SLACK = 0;

const settingsSchema = z.strictObject({
    node: z.string().min(1),
    failureDomain: z.string().min(1),
    listen: z.strictObject({
        callers: addressSchema,
        /** Address of the readiness check for the balancer. */
        readiness: addressSchema,
        /** Address for datagrams (UDP) and calls (TCP) of other nodes. */
        peers: addressSchema,
        /** Address of the metrics endpoint; omitted if no collector scrapes it. */
        metrics: addressSchema.optional(),
    }),
    /** Processor capacity of the node; the node with the most capacity in a failure domain aggregates the reports of the others. */
    processor: z.strictObject({
        cores: z.number().min(0.01),
        /** Share of each core's time available to the node, from 0 to 1. */
        share: z.number().min(0.01).max(1),
    }).default({ cores: 1, share: 1 }),
    memory: z.strictObject({
        /** Memory of the process above which the platform ends it, in megabytes. */
        megabytes: z.number().min(1),
    }).default({ megabytes: DEFAULT_MEMORY_MEGABYTES }),
    connections: z.strictObject({
        /** File descriptors that the process may have open, which the ports divide among themselves. */
        descriptors: z.int().min(MIN_DESCRIPTORS).nullish(),
        /** Connections of callers. By default, three quarters of the descriptors that are not for files, as far as the heap allows. */
        maxCallers: z.int().min(1).nullish(),
    }).default({}),
    /** Address of the platform's log. */
    log: addressSchema,
    /** Whether the whole system is being started for the first time. */
    isFirstStart: z.boolean().default(false),
    drain: z.strictObject({
        /** Time from SIGTERM until the platform kills the process, in seconds. */
        graceSeconds: z.number().min(1),
        balancerLagMs: z.int().min(0).default(DEFAULT_BALANCER_LAG_MS),
    }),
    configuration: z.strictObject({
        /** Time from the writing of a configuration until it must be in force, in milliseconds. */
        applyMs: z.int().min(MIN_APPLY_MS),
    }),
    servers: z.strictObject({
        /** Time from a server's notice of leaving until it must receive no more calls, in milliseconds. */
        leaveMs: z.int().min(100),
    }),
    failureDomains: z.strictObject({
        /** Time from an order to empty a failure domain until its servers must receive no more calls, in milliseconds; 0 without one. */
        emptyMs: z.number().min(0).nullish(),
        /** Region of this node. */
        region: z.string().nullish(),
        /** Region of each failure domain, by its name. */
        regions: z.record(z.string(), z.string()).nullish(),
    }).default({}),
    /** Bounds on the calls that all nodes together send to a cold server in any one second; a template may leave values empty. */
    coldServers: z.strictObject({
        /** Factor of the calls a second that a cold server sustains. */
        overage: z.number().min(0).nullish().transform(overage => overage ?? DEFAULT_COLD_OVERAGE),
        /** Further calls. */
        slack: z.number().min(0).nullish().transform(slack => slack ?? DEFAULT_COLD_SLACK),
    }).nullish().transform(bounds => bounds ?? { overage: DEFAULT_COLD_OVERAGE, slack: DEFAULT_COLD_SLACK }),
    /** Retry budget of each service, shared by all nodes. */
    retries: z.strictObject({
        fraction: z.number().min(0).max(1),
        windowSeconds: z.number().min(0.1),
        slackCalls: z.number().min(0),
    }),
    /** Limits on the rollout of another version. */
    rollouts: z.strictObject({
        /** Maximum share of a service's calls that an unproven version receives, from 0 to 1. */
        maxShare: z.number().min(0).max(1),
        /** Number of calls that an unproven version may receive regardless of the share. */
        slackCalls: z.number().min(0),
        /** Time within which a bad version must be out of use, in milliseconds. */
        rollbackMs: z.int().min(0),
    }),
    /** Whether workspaces share the slots of a service by their usual loads while slots are short. */
    workspaceShares: z.boolean().default(false),
    logLinesPerSecond: z.int().min(1).default(DEFAULT_LOG_LINES_PER_SECOND),
});

/** Settings of a relay node. */
export type RelaySettings = z.infer<typeof settingsSchema>;

/**
 * Reads and validates a settings file.
 *
 * @throws {SettingsError} If the file cannot be read or contains an invalid setting.
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
 * Parses and validates the text of a settings file.
 *
 * @param text YAML text.
 * @param file File name for error messages.
 * @throws {SettingsError} If the text is malformed or contains an invalid setting.
 */
export function parseRelaySettings(text: string, file: string): RelaySettings {
    return parseSettingsFile(settingsSchema, text, file);
}

/** Returns the time from the writing of an operator's record until it must be applied, in milliseconds. */
export function recordApplyMs({ configuration, failureDomains }: RelaySettings): number {
    const { emptyMs } = failureDomains;
    return Math.max(MIN_APPLY_MS, Math.min(configuration.applyMs, emptyMs === 0 ? Infinity : emptyMs ?? Infinity));
}

/** Returns the region of each failure domain that the settings state; that of the own one is the node's, unless the table names another. */
export function regionsOf({ failureDomain, failureDomains }: RelaySettings): ReadonlyMap<string, string> {
    const regions = new Map(Object.entries(failureDomains.regions ?? {}));
    const own = regions.get(failureDomain) ?? failureDomains.region ?? undefined;
    return own === undefined ? regions : regions.set(failureDomain, own);
}
