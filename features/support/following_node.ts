/**
 * Node that follows a model of the platform's log under a virtual clock.
 *
 * @module
 */

import assert from "node:assert/strict";
import { pino } from "pino";
import { PlatformRecords } from "../../platform/mod.js";
import { EngineServer } from "../../platform/standin/engine_server.js";
import {
    EmptiedDomains,
    EraGuardedLog,
    LogHealth,
    NodeDirectory,
    ServerCatalog,
    TopicViews,
    VersionRollouts,
} from "../../src/coordination/relay/mod.js";
import { LogFollower, RelayLog } from "../../src/daemon/relay/mod.js";
import { hashKey, type KeyedLog } from "../../src/protocol/relay/mod.js";
import { type RelayConfiguration, type RelayServer, SeededRandom } from "../../src/state/relay/mod.js";
import type { VirtualClock } from "../../standin/virtual_clock.js";
import type { LogLine } from "./relay_fixture.js";

/** Time in which a node must act on a record, in milliseconds; the platform's bound. */
export const APPLY_MS = 2_000;

/** Interval at which removed servers are checked, in milliseconds. */
const EXPIRY_INTERVAL_MS = 40;

/** Receives what a node applies. */
export interface FollowingNodeObserver {
    readonly onConfiguration?: (configuration: RelayConfiguration) => void;
    readonly onServerUpdated?: (server: RelayServer) => void;
    readonly onDomainChange?: (text: string, detail: Readonly<Record<string, unknown>>) => void;
}

/** Parts of a relay node that depend on the platform's log. */
export class FollowingNode {
    readonly follower: LogFollower;
    readonly catalog: ServerCatalog;
    readonly rollouts: VersionRollouts;
    readonly emptiedDomains: EmptiedDomains;
    readonly directory: NodeDirectory;
    readonly views: TopicViews;
    /** Times at which the node registered again, in milliseconds since the Unix epoch. */
    readonly rejoinedAtMs: number[] = [];
    /** Versions of the configurations that came into force, in order. */
    readonly versions: number[] = [];
    /** Lines that the node has logged about what it reads. */
    readonly lines: LogLine[] = [];
    /** Versions whose rollouts the node started, in order. */
    readonly startedRollouts: unknown[] = [];
    /** Number of changes of the log's era that the node has seen. */
    eraChanges = 0;
    private readonly stopped = new AbortController();
    private running: Promise<unknown> = Promise.resolve();

    /**
     * @param log Log that the node follows.
     * @param clock Clock of the node and the log.
     * @param name Number of the node, from which the seed of its random numbers is derived.
     * @param peerCount Number of nodes that receive this node's views of the log.
     * @param observer Receives what the node applies.
     */
    constructor(
        readonly log: KeyedLog,
        readonly clock: VirtualClock,
        name: number,
        peerCount = 0,
        observer: FollowingNodeObserver = {},
    ) {
        const records = new PlatformRecords();
        const random = new SeededRandom(hashKey(`node-${name}`));
        const health = new LogHealth(clock, { onLost: () => undefined, onRegained: () => undefined });
        this.views = new TopicViews(clock, `node-${name}`, () => peerCount);
        const guardedLog = new EraGuardedLog(log, () => {
            this.eraChanges += 1;
            health.recordRestore();
            this.rollouts.handleNewEra();
            void this.directory.rejoin(this.stopped.signal);
        });
        this.catalog = new ServerCatalog(clock, health, {
            onServerUpdated: server => observer.onServerUpdated?.(server),
            onServerRemoved: () => undefined,
        });
        this.rollouts = new VersionRollouts({
            clock,
            random,
            log: guardedLog,
            records,
            bounds: { maxShare: 0.1, slackCalls: 50 },
            peerReports: () => [],
            unreachableShare: () => 0,
            servers: () => [],
            onChange: (text, detail) => {
                if (text === "rollout: ordered") {
                    this.startedRollouts.push(detail["version"]);
                }
            },
            onRewrite: () => undefined,
        });
        this.emptiedDomains = new EmptiedDomains({
            clock,
            health,
            onChange: (text, detail) => observer.onDomainChange?.(text, detail),
        });
        this.directory = new NodeDirectory({
            log: guardedLog,
            clock,
            random,
            node: `node-${name}`,
            failureDomain: "here",
            cores: 1,
            address: () => `127.0.0.1:${name}`,
            onError: () => undefined,
            onRewrite: () => this.rejoinedAtMs.push(clock.now()),
        });
        this.follower = new LogFollower({
            log: guardedLog,
            clock,
            random,
            records,
            health,
            views: this.views,
            catalog: this.catalog,
            rollouts: this.rollouts,
            emptiedDomains: this.emptiedDomains,
            relayLog: new RelayLog({
                logger: pino({ level: "info" }, { write: line => this.lines.push(JSON.parse(line) as LogLine) }),
                clock,
                linesPerSecond: 1,
                onCallEnded: () => undefined,
            }),
            applyMs: APPLY_MS,
            leaveMs: APPLY_MS,
            onRead: () => undefined,
            onConfiguration: configuration => {
                this.versions.push(configuration.version);
                observer.onConfiguration?.(configuration);
            },
        });
    }

    /** Starts to follow the log. */
    start(): void {
        const { signal } = this.stopped;
        this.running = Promise.all([
            this.follower.followOperatorRecords(signal),
            this.follower.followServerEntries(signal),
            this.rollouts.run(signal),
            this.directory.join(signal),
            this.expire(signal),
        ]);
    }

    /** Stops and waits for all tasks. */
    async stop(): Promise<void> {
        this.stopped.abort();
        await this.clock.runUntil(this.running);
    }

    /** Time for which a server stays cold as its entry told the node, in milliseconds. */
    coldMs(id: string): number | undefined {
        return [...this.catalog.list()].find(candidate => candidate.id === id)?.warmUpMs;
    }

    /** State of a server as the node sees it: `ready`, `draining` or `gone`. */
    serverState(id: string): string {
        const server = [...this.catalog.list()].find(candidate => candidate.id === id);
        return server === undefined ? "gone" : server.isDraining ? "draining" : "ready";
    }

    private async expire(signal: AbortSignal): Promise<void> {
        while (await this.clock.sleep(EXPIRY_INTERVAL_MS, signal)) {
            this.catalog.expire();
            this.emptiedDomains.expire();
        }
    }
}

/** Returns a server of the service as a node reads it from its entry, with changes in the platform's format. */
export function readServerEntry(id: string, changes: Readonly<Record<string, unknown>>): RelayServer {
    const entry = { ...makeServerEntry("ready", 1), ...changes };
    const server = new PlatformRecords().decodeServer({
        key: id.replaceAll(" ", "-"),
        value: Buffer.from(JSON.stringify(entry)),
        offset: 0,
    });
    return typeof server === "string" ? assert.fail(server) : { ...server, id };
}

/** Returns the entry of a server in the platform's format. */
export function makeServerEntry(state: string, sequence: number, coldMs = 0): Readonly<Record<string, unknown>> {
    const changes = { Address: "10.0.0.1:80", State: state, Sequence: sequence, ColdRemainingMs: coldMs };
    return new EngineServer("s").serverEntry("service", changes);
}
