/**
 * A relay node on loopback with stand-ins for the platform's store and engines.
 *
 * @module
 */

import { type Agent, type IncomingMessage, request } from "node:http";
import { pino } from "pino";
import { HttpKeyedLog, PlatformHeaders, PlatformRecords } from "../../platform/mod.js";
import type { EngineServer } from "../../platform/standin/engine_server.js";
import { StoreServer } from "../../platform/standin/store_server.js";
import { CallFingerprint } from "../../src/coordination/relay/mod.js";
import { parseRelaySettings, RelayNode } from "../../src/daemon/relay/mod.js";
import type { RelayHeaders } from "../../src/protocol/relay/mod.js";
import { type Clock, SeededRandom, SystemClock } from "../../src/state/relay/mod.js";

/** Host of all routes. */
const HOST = "app.example";

/** Key of the caller's workspace. */
const API_KEY = "key-1";

/** Default time limit of `waitFor`, in milliseconds. */
const WAIT_TIMEOUT_MS = 5_000;

/** Interval at which `waitFor` checks its condition, in milliseconds. */
const POLL_INTERVAL_MS = 10;

/** Answer as the caller received it. */
export interface CallerAnswer {
    /** Id of the call. */
    readonly id: string;
    /** HTTP status; 0 when the connection ended without an answer. */
    readonly status: number;
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
    readonly body: string;
    readonly isComplete: boolean;
    readonly elapsedMs: number;
}

/** Call that a test sends; unset fields get valid defaults. */
export interface CallerCall {
    readonly id?: string;
    readonly path: string;
    readonly method?: string;
    readonly headers?: Readonly<Record<string, string | string[]>>;
    readonly body?: string;
    /** Time after which the caller disconnects, in milliseconds. */
    readonly disconnectAfterMs?: number;
    readonly agent?: Agent;
}

/** Limits of a configuration; unset fields get defaults. */
export interface ConfiguredLimits {
    /** Largest body of a call, in bytes. */
    readonly maxBodyBytes?: number;
    /** Time within which the rest of a head has to follow, in milliseconds. */
    readonly headerTimeoutMs?: number;
}

/** Path of each kind of call. */
export const PATH_BY_CALL_KIND: Readonly<Record<string, string>> = {
    "safe": "/safe/x",
    "unsafe": "/unsafe/x",
    "stream": "/stream/x",
    "resumable stream": "/resumable/x",
    "short": "/short/x",
};

let lastId = 0;

/** Level of the log from which a line is an error. */
const ERROR_LEVEL = 50;

/** Line of the node's log. */
export interface LogLine {
    readonly level: number;
    readonly msg: string;
    readonly [field: string]: unknown;
}

/** Relay node under test with its store and engines. */
export class RelayFixture {
    readonly store = new StoreServer();
    readonly engines: EngineServer[] = [];
    /** Lines that the node has logged. */
    readonly lines: LogLine[] = [];
    /** Addresses on which the node listens, by use; by default, free ports. */
    readonly listen: Record<string, string> = {};
    /** Limits of the configurations that {@linkcode configure} writes. */
    limits: ConfiguredLimits = {};
    /** Failure domain of the node. */
    failureDomain = "zone-a";
    /** Region of each failure domain in the node's settings. */
    regions: Readonly<Record<string, string>> = {};
    private startedNode: RelayNode | undefined;
    private version = 1;

    /**
     * @param nodeName Name of the node.
     * @param clock Clock of the node.
     * @param headers Reader and writer of the node's headers.
     */
    constructor(
        private readonly nodeName = "entry-1",
        private readonly clock: Clock = new SystemClock(),
        private readonly headers: RelayHeaders = new PlatformHeaders(),
    ) {}

    /** Lines of level error that the node has logged. */
    get errorLines(): readonly LogLine[] {
        return this.lines.filter(({ level }) => level >= ERROR_LEVEL);
    }

    /** Node under test. */
    get node(): RelayNode {
        if (this.startedNode === undefined) {
            throw new Error("Cannot use the node: no step has started it");
        }
        return this.startedNode;
    }

    /**
     * Starts the store, the engines and the node; resolves when the node is ready, or at once if the store is down.
     *
     * @param prepare Writes further records to the store before the node starts.
     */
    async start(
        engines: readonly EngineServer[],
        isStoreDown = false,
        prepare: (store: StoreServer) => void = () => undefined,
    ): Promise<void> {
        await this.store.start();
        this.store.isDown = isStoreDown;
        prepare(this.store);
        for (const engine of engines) {
            await engine.start();
            this.engines.push(engine);
            this.store.put("keyed.servers", engine.id, engine.serverEntry("service"));
        }
        this.configure();
        this.startedNode = new RelayNode({
            settings: parseRelaySettings(this.settingsText(), "test.yaml"),
            clock: this.clock,
            random: new SeededRandom(1),
            logger: pino({ level: "info" }, { write: line => this.lines.push(JSON.parse(line) as LogLine) }),
            log: new HttpKeyedLog(this.store.address),
            records: new PlatformRecords(),
            headers: this.headers,
            fingerprint: await CallFingerprint.load(),
        });
        await this.node.start();
        if (!isStoreDown) {
            await waitFor("the node is ready", () => this.node.isReady);
        }
    }

    private settingsText(): string {
        const { nodeName, failureDomain, regions, listen, store } = this;
        const addresses = ["callers", "readiness", "peers", "metrics"].map(use => `${use}: "${listen[use] ?? "127.0.0.1:0"}"`);
        return `
node: ${nodeName}
failureDomain: ${failureDomain}
failureDomains: { regions: ${JSON.stringify(regions)} }
listen: { ${addresses.join(", ")} }
log: ${store.address}
isFirstStart: true
drain: { graceSeconds: 3, balancerLagMs: 50 }
configuration: { applyMs: 2000 }
servers: { leaveMs: 2000 }
retries: { fraction: 0.2, windowSeconds: 10, slackCalls: 600 }
rollouts: { maxShare: 0.1, slackCalls: 50, rollbackMs: 5000 }
`;
    }

    /** Writes a configuration to the store, by default a newer one that admits the caller's key. */
    configure(settings: { readonly keys?: readonly string[]; readonly version?: number } = {}): void {
        this.version += 2;
        const { version = this.version, keys = [API_KEY] } = settings;
        this.store.put("keyed.op", "config", makeConfiguration(version, keys, HOST, this.limits));
    }

    /** Sends a call and reads its answer; a failed connection resolves with status 0. */
    send(call: CallerCall): Promise<CallerAnswer> {
        lastId += 1;
        const id = call.id ?? `call-${lastId}`;
        const [host, port] = this.node.callerAddress.split(":");
        const startedMs = performance.now();
        return new Promise(resolve => {
            const finish = (response: IncomingMessage | undefined, body: string, isComplete: boolean) => {
                resolve({
                    id,
                    status: response?.statusCode ?? 0,
                    headers: response?.headers ?? {},
                    body,
                    isComplete,
                    elapsedMs: performance.now() - startedMs,
                });
            };
            const outgoing = request({
                host,
                port: Number(port),
                path: call.path,
                method: call.method ?? "POST",
                agent: call.agent,
                headers: {
                    "Host": HOST,
                    "Request-Id": id,
                    "Api-Key": API_KEY,
                    "Deadline-Ms": "5000",
                    ...call.headers,
                },
            }, response => {
                let body = "";
                response.on("data", chunk => body += String(chunk));
                response.on("close", () => finish(response, body, response.complete));
            });
            outgoing.on("error", () => finish(undefined, "", false));
            outgoing.end(call.body ?? (call.method === "GET" ? undefined : "body"));
            if (call.disconnectAfterMs !== undefined) {
                setTimeout(() => outgoing.destroy(), call.disconnectAfterMs);
            }
        });
    }

    /** Returns the sum of a metric of the node over its labels. */
    async readMetric(name: string): Promise<number> {
        const text = await (await fetch(`http://${this.node.metricsAddress}/metrics`)).text();
        let sum = 0;
        for (const line of text.split("\n")) {
            if (line.startsWith(`foxtailrail_relay_${name}{`) || line.startsWith(`foxtailrail_relay_${name} `)) {
                sum += Number(line.slice(line.lastIndexOf(" ")));
            }
        }
        return sum;
    }

    /** Stops the engines, the node and the store. */
    async stop(): Promise<void> {
        for (const engine of this.engines) {
            engine.close();
        }
        if (this.startedNode?.isDraining === false) {
            await this.startedNode.drain();
        }
        this.store.close();
    }
}

/**
 * Waits until a condition holds.
 *
 * @param what Condition in words, for the error message.
 * @param limitMs Time limit, in milliseconds; 5 s by default.
 * @throws {Error} If the condition does not hold within the time limit.
 */
export async function waitFor(
    what: string,
    condition: () => boolean | Promise<boolean>,
    limitMs = WAIT_TIMEOUT_MS,
): Promise<void> {
    const deadlineMs = performance.now() + limitMs;
    while (!await condition()) {
        if (performance.now() > deadlineMs) {
            throw new Error(`Condition "${what}" did not hold within ${limitMs} ms`);
        }
        await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS));
    }
}

/** Returns a configuration in the platform's format that admits the given keys; `host` is that of all routes. */
export function makeConfiguration(version: number, keys: readonly string[], host = HOST, limits: ConfiguredLimits = {}): unknown {
    const route = (name: string, kind: string, changes: Readonly<Record<string, unknown>> = {}) => ({
        Name: name,
        Host: host,
        PathPrefix: `/${name}/`,
        Kind: kind,
        TimeoutMs: 5_000,
        TargetLatencyMs: 500,
        Priority: 0,
        Service: "service",
        MaxAttempts: kind === "safe" ? 2 : 1,
        Public: false,
        ...changes,
    });
    return {
        Version: version,
        Routes: [
            route("safe", "safe"),
            route("unsafe", "unsafe"),
            route("short", "unsafe", { TimeoutMs: 300 }),
            route("stream", "streaming", { Resumable: false, GapTargetMs: 300 }),
            route("resumable", "streaming", { Resumable: true, GapTargetMs: 300, MaxAttempts: 2 }),
        ],
        Services: [{ Name: "service", HealthPath: "/health", MaxConnections: 100, Protocol: "h1", Tls: false }],
        Limits: {
            MaxHeaderBytes: 16_384,
            MaxBodyBytes: limits.maxBodyBytes ?? 20_000,
            HeaderTimeoutMs: limits.headerTimeoutMs ?? 3_000,
            IdleTimeoutMs: 15_000,
        },
        Tenants: [{ Name: "clinic", ApiKeys: keys, Priority: 1, RatePerS: 0, Burst: 0 }],
    };
}
