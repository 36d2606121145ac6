/**
 * Records, reports and calls with values that a node cannot use, by their flaw.
 *
 * @module
 */

import type { EngineServer } from "../../platform/standin/engine_server.js";
import { DetourCall, EMPTY_REPORT, hashKey, PeerReport } from "../../src/protocol/relay/mod.js";

/** Length of texts that are longer than any name. */
const LONG_TEXT = "x".repeat(200_000);

/** JSON nested deeper than a recursive parser can follow. */
export const DEEP_JSON = `${"[".repeat(100_000)}${"]".repeat(100_000)}`;

/** Largest number of JSON. */
const HUGE = 1e308;

/** Key and value of a record. */
export interface OddRecord {
    readonly key: string;
    readonly value: Buffer;
}

/** Changes of a sound entry, by flaw. */
const ENTRY_CHANGES: Readonly<Record<string, Readonly<Record<string, unknown>>>> = {
    "port 99999": { Address: "127.0.0.1:99999" },
    "port 0": { Address: "127.0.0.1:0" },
    "an octet of 999": { Address: "999.0.0.1:80" },
    "1e308 slots": { Slots: HUGE },
    "half a slot": { Slots: 0.5 },
    "2^31 slots": { Slots: 2 ** 31 },
    "sequence 1e308": { Sequence: HUGE },
    "sequence -1": { Sequence: -1 },
    "sequence 1.5": { Sequence: 1.5 },
    "a start time beyond 2^53": { born: 2 ** 60 },
    "a negative start time": { born: -5 },
    "1e308 ms of warm-up": { ColdRemainingMs: HUGE },
    "negative warm-up": { ColdRemainingMs: -HUGE },
    "a version of 200,000 characters": { Version: LONG_TEXT },
    "a zone of 200,000 characters": { Zone: LONG_TEXT },
    "a service of 200,000 characters": { Service: LONG_TEXT },
};

/** Keys of sound entries, by flaw. */
const ENTRY_KEYS: Readonly<Record<string, string>> = {
    "a prototype key": "__proto__",
    "an empty key": "",
    "a key with a line break": "engine-9\r\nX-Injected: 1",
    "a key beyond Latin-1": "engine-\u4e16",
};

/** Values of entries, by flaw. */
const ENTRY_VALUES: Readonly<Record<string, string | Buffer>> = {
    "a value nested 100,000 deep": DEEP_JSON,
    "bytes that are not UTF-8": Buffer.from([0xff, 0xfe, 0x7b, 0xc3, 0x28]),
    "a null value": "null",
    "a list as its value": "[1]",
    "a number as its value": "7",
};

/** Returns an entry with a flaw; it names the address of a sound server unless the flaw is in the address. */
export function makeOddEntry(flaw: string, engine: EngineServer): OddRecord {
    const sound = engine.serverEntry("service");
    const changes = ENTRY_CHANGES[flaw];
    if (changes !== undefined) {
        return { key: "odd-1", value: Buffer.from(JSON.stringify({ ...sound, ...changes })) };
    }
    const key = ENTRY_KEYS[flaw];
    if (key !== undefined) {
        return { key, value: Buffer.from(JSON.stringify(sound)) };
    }
    const value = ENTRY_VALUES[flaw];
    if (value !== undefined) {
        return { key: "odd-1", value: Buffer.from(value) };
    }
    switch (flaw) {
        case "an octet with a leading zero":
            return {
                key: "odd-1",
                value: Buffer.from(JSON.stringify({ ...sound, Address: engine.address.replace("127.0.0.1", "127.0.0.01") })),
            };
        case "a field nested 100,000 deep":
            return { key: "odd-1", value: withDeepField(sound, "Extra") };
        case "a zone nested 100,000 deep":
            return { key: "odd-1", value: withDeepField(sound, "Zone") };
        default:
            throw new Error(`Cannot make an entry with "${flaw}": the flaw is unknown`);
    }
}

function withDeepField(fields: Readonly<Record<string, unknown>>, name: string): Buffer {
    const text = JSON.stringify({ ...fields, [name]: "DEEP" });
    return Buffer.from(text.replace('"DEEP"', DEEP_JSON));
}

/** Fields of a JSON object. */
type Fields = Record<string, unknown>;

/** Changes of a sound configuration, by flaw. */
const CONFIGURATION_CHANGES: ReadonlyMap<string, (configuration: Fields) => Fields> = new Map([
    ["version 1.5", configuration => ({ ...configuration, Version: Number(configuration["Version"]) + 0.5 })],
    ["version 1e308", configuration => ({ ...configuration, Version: HUGE })],
    ["version -1", configuration => ({ ...configuration, Version: -1 })],
    ["a negative idle timeout", configuration => withLimits(configuration, { IdleTimeoutMs: -5 })],
    ["an idle timeout of 1e308 ms", configuration => withLimits(configuration, { IdleTimeoutMs: HUGE })],
    ["a negative header timeout", configuration => withLimits(configuration, { HeaderTimeoutMs: -5 })],
    ["a header timeout of 1e308 ms", configuration => withLimits(configuration, { HeaderTimeoutMs: HUGE })],
    ["a body limit of 0 bytes", configuration => withLimits(configuration, { MaxBodyBytes: 0 })],
    ["a negative header limit", configuration => withLimits(configuration, { MaxHeaderBytes: -1 })],
    ["a route timeout of -1 ms", configuration => withRoutes(configuration, { TimeoutMs: -1 })],
    ["a route timeout of 1e308 ms", configuration => withRoutes(configuration, { TimeoutMs: HUGE })],
    ["a latency objective of -1 ms", configuration => withRoutes(configuration, { TargetLatencyMs: -1 })],
    ["priority 1.5", configuration => withRoutes(configuration, { Priority: 1.5 })],
    ["priority -1", configuration => withRoutes(configuration, { Priority: -1 })],
    ["half an attempt", configuration => withRoutes(configuration, { MaxAttempts: 0.5 })],
    ["no share", configuration => withRoutes(configuration, { Service: undefined, WeightedServices: [] })],
    ["shares of weight 0", configuration => withShares(configuration, [["service", 0], ["other", 0]])],
    ["a share of negative weight", configuration => withShares(configuration, [["service", 1], ["other", -2]])],
    ["workspace priority 1.5", configuration => withWorkspace(configuration, { Priority: 1.5 })],
    ["a workspace with a line break", configuration => withWorkspace(configuration, { Name: "clinic\r\nX-Injected: 1" })],
    ["a negative rate", configuration => withWorkspace(configuration, { RatePerS: -1, Burst: -1 })],
    ["a negative charge", configuration => withWorkspace(configuration, { PlainTokens: -1 })],
]);

/** Returns a configuration with a flaw, made from a sound one. */
export function makeOddConfiguration(flaw: string, sound: unknown): unknown {
    if (flaw === "a value nested 100,000 deep") {
        return DEEP_JSON;
    }
    if (flaw === "a null value") {
        return "null";
    }
    const change = CONFIGURATION_CHANGES.get(flaw);
    if (change === undefined) {
        throw new Error(`Cannot make a configuration with "${flaw}": the flaw is unknown`);
    }
    return change(sound as Fields);
}

function withLimits(configuration: Fields, limits: Fields): Fields {
    return { ...configuration, Limits: { ...configuration["Limits"] as Fields, ...limits } };
}

function withRoutes(configuration: Fields, changes: Fields): Fields {
    return { ...configuration, Routes: (configuration["Routes"] as Fields[]).map(route => ({ ...route, ...changes })) };
}

function withShares(configuration: Fields, shares: readonly (readonly [string, number])[]): Fields {
    const weighted = shares.map(([service, weight]) => ({ Service: service, Weight: weight }));
    return withRoutes(configuration, { Service: undefined, WeightedServices: weighted });
}

function withWorkspace(configuration: Fields, changes: Fields): Fields {
    return { ...configuration, Tenants: (configuration["Tenants"] as Fields[]).map(tenant => ({ ...tenant, ...changes })) };
}

/** Record of a topic other than the servers' entries. */
interface TopicRecord {
    readonly topic: string;
    readonly key: string;
    readonly value: unknown;
}

const NODE_FIELDS = { address: "127.0.0.1:9", failureDomain: "zone-a", cores: 1 };

/** Records of rollouts and nodes, by kind. */
export const ODD_TOPIC_RECORDS: Readonly<Record<string, TopicRecord>> = {
    "an order of 1e308 s": order("other", { Service: "other", Target: "v2", DurationS: HUGE }),
    "an order of -1 s": order("other", { Service: "other", Target: "v2", DurationS: -1 }),
    "an order without a target": order("other", { Service: "other", DurationS: 1 }),
    "an order that is null": order("other", "null"),
    "a state that is not an object": { topic: "keyed.status", key: "rollout/other", value: "7" },
    "a state that is not JSON": { topic: "keyed.status", key: "rollout/other", value: "{" },
    "a state nested 100,000 deep": { topic: "keyed.status", key: "rollout/other", value: DEEP_JSON },
    "a start of the rollout that is null": { topic: "keyed.moves", key: "service", value: "null" },
    "a start of the rollout that is not JSON": { topic: "keyed.moves", key: "service", value: "{" },
    "a start of the rollout at -1e308 ms": {
        topic: "keyed.moves",
        key: "service",
        value: { era: 1, offset: 3, startedAtMs: -HUGE },
    },
    "a node without a port": node({ address: "127.0.0.1" }),
    "a node with port 99999": node({ address: "127.0.0.1:99999" }),
    "a node with octet 999": node({ address: "999.0.0.1:80" }),
    "a node without an address": node({ address: undefined }),
    "a node with -1e308 cores": node({ cores: -HUGE }),
};

function order(service: string, value: unknown): TopicRecord {
    return { topic: "keyed.op", key: `rollout/${service}`, value };
}

function node(changes: Fields): TopicRecord {
    return { topic: "keyed.nodes", key: "odd-node", value: { ...NODE_FIELDS, ...changes } };
}

/** Returns a sound report of a peer. */
export function makeReport(name: string, address: string, sequence: number): PeerReport {
    return {
        ...EMPTY_REPORT,
        node: name,
        address,
        failureDomain: "zone-a",
        startedAtMs: 1_000,
        sequence,
        cores: 1,
        heardNodes: 1,
    };
}

/** Change of a sound report; `key` is that of the caller's workspace. */
type ReportChange = (key: number, serverKeys: readonly number[]) => Partial<PeerReport>;

/** Largest count that a report can state. */
const MAX_UINT32 = 2 ** 32 - 1;

const NO_CALLS_ABOVE_SHARE = { aboveShareCalls: 0, aboveShareArrivalsPerSecond: 0 };

/** Changes of a sound report, by flaw. */
const REPORT_CHANGES: ReadonlyMap<string, ReportChange> = new Map<string, ReportChange>([
    ["no port in its address", () => ({ address: "127.0.0.1" })],
    ["port 99999 in its address", () => ({ address: "127.0.0.1:99999" })],
    ["an empty address", () => ({ address: "" })],
    ["octet 999 in its address", () => ({ address: "999.0.0.1:80" })],
    ["totals that are not numbers", key => ({ bucketKeys: [key], bucketTotals: [NaN] })],
    ["totals that are infinite", key => ({ bucketKeys: [key], bucketTotals: [Infinity] })],
    ["totals that are as large as possible", key => ({ bucketKeys: [key], bucketTotals: [Number.MAX_VALUE] })],
    ["totals that are negative", key => ({ bucketKeys: [key], bucketTotals: [-Number.MAX_VALUE] })],
    ["a start time that is not a number", () => ({ startedAtMs: NaN })],
    ["infinite cores", () => ({ cores: Infinity })],
    ["topic views that are not numbers", key => ({
        topicViews: [{ topicKey: key, readerKey: 1, era: NaN, baseOffset: NaN, changedOffset: NaN, endOffset: NaN, ageMs: NaN }],
    })],
    ["statements that are not numbers", (key, serverKeys) => ({
        serverLimits: serverKeys.map(serverKey => ({
            isEnded: false,
            serverKey,
            callsPerSecond: NaN,
            statedAtMs: Infinity,
        })),
    })],
    ["4,000 servers", () => ({
        serverKeys: Array.from({ length: 4_000 }, (unused, index) => index),
        serverCalls: Array.from({ length: 4_000 }, () => 1_000_000),
    })],
    ["as many waiting calls as fit", () => ({
        demands: [{
            serviceKey: hashKey("service"),
            inTimeCalls: MAX_UINT32,
            lateCalls: MAX_UINT32,
            arrivalsPerSecond: 0,
            ...NO_CALLS_ABOVE_SHARE,
        }],
    })],
    ["as many arriving calls as fit", () => ({
        demands: [{
            serviceKey: hashKey("service"),
            inTimeCalls: 0,
            lateCalls: 0,
            arrivalsPerSecond: MAX_UINT32,
            ...NO_CALLS_ABOVE_SHARE,
        }],
    })],
    ["as many calls at each server as fit", (key, serverKeys) => ({
        serverKeys: [...serverKeys],
        serverCalls: serverKeys.map(() => MAX_UINT32),
    })],
]);

/** Keys that reports refer to. */
export interface ReportKeys {
    readonly workspace: number;
    readonly servers: readonly number[];
}

/** Returns the datagrams of a peer whose second report has a flaw. */
export function makeOddReports(flaw: string, keys: ReportKeys): readonly Uint8Array[] {
    const address = "127.0.0.1:9";
    const first = {
        ...makeReport("odd-peer", address, 1),
        bucketKeys: [keys.workspace],
        bucketTotals: [0],
    };
    if (flaw === "garbage" || flaw === "no bytes") {
        return [Buffer.from(flaw === "garbage" ? [0xff, 0x01, 0x0a, 0xff, 0xff, 0xff, 0x7f] : [])];
    }
    const change = REPORT_CHANGES.get(flaw);
    if (change === undefined) {
        throw new Error(`Cannot make a report with "${flaw}": the flaw is unknown`);
    }
    const changes = change(keys.workspace, keys.servers);
    const later = [2, 3].map(sequence => ({ ...makeReport("odd-peer", address, sequence), ...changes }));
    return [first, ...later].map(report => PeerReport.encode(report).finish());
}

/** Returns the message of a call with a flaw that a peer hands over. */
export function makeOddDetour(flaw: string): Uint8Array {
    const sound = {
        headers: ["Host", "app.example", "Request-Id", "detour-1"],
        method: "POST",
        target: "/unsafe/x",
        body: Buffer.from("body"),
        lastEventId: "",
        service: "service",
        workspace: "clinic",
        workspaceRank: 0,
        elapsedMs: 0,
        deadlineMs: 5_000,
        firstAttemptDeadlineMs: 5_000,
        configurationVersion: 1,
        homeRegions: [],
        confinedRoute: undefined,
        route: {
            name: "unsafe",
            isRepeatable: false,
            isStream: false,
            isResumable: false,
            timeoutMs: 5_000,
            objectiveMs: 500,
            rank: 0,
            maxAttempts: 1,
        },
    };
    const changes: Readonly<Record<string, Partial<DetourCall>>> = {
        "no flaw": {},
        "an age that is not a number": { elapsedMs: NaN },
        "an infinite age": { elapsedMs: -Infinity },
        "a deadline that is not a number": { deadlineMs: NaN },
        "an infinite deadline": { deadlineMs: Infinity },
        "a timeout that is not a number": { route: { ...sound.route, timeoutMs: NaN } },
        "a method with a space": { method: "PO ST" },
        "a target with a space": { target: "/unsafe/x y" },
        "a target without a slash": { target: "unsafe" },
        "a header with a line break": { headers: [...sound.headers, "X-End", "1\r\nX-Injected: 1"] },
        "a header without a value": { headers: [...sound.headers, "X-End"] },
    };
    if (flaw === "garbage") {
        return Buffer.from([0xff, 0x01, 0x0a, 0xff, 0xff, 0xff, 0x7f]);
    }
    const change = changes[flaw];
    if (change === undefined) {
        throw new Error(`Cannot make a call with "${flaw}": the flaw is unknown`);
    }
    return DetourCall.encode({ ...sound, ...change }).finish();
}
