/**
 * Follower of the operator's and the servers' topics of the platform's log.
 *
 * @module
 */

import { isDeepStrictEqual } from "node:util";
import {
    type EmptiedDomains,
    type LogHealth,
    runInSteps,
    type ServerCatalog,
    TopicFollower,
    type TopicFollowerSettings,
    type TopicRead,
    TopicReadOutcome,
    type TopicRestart,
    type TopicViews,
    type VersionRollouts,
} from "../../coordination/relay/mod.js";
import { describeCause, type KeyedLog, type KeyedRecord, type LogPosition } from "../../protocol/relay/mod.js";
import type { Clock, RandomSource, RelayConfiguration, RelayServer } from "../../state/relay/mod.js";
import type { RecordReader } from "./record_reader.js";
import type { RelayLog } from "./relay_log.js";

/** Difference from a countdown up to which an entry confirms it, in milliseconds: how much later entries are read than written. */
const COUNTDOWN_TOLERANCE_MS = 600;

/** Entry of a server and the time at which it was read, in milliseconds since the Unix epoch. */
interface ReadEntry {
    readonly server: RelayServer;
    readonly readAtMs: number;
}

/** Settings of a {@linkcode LogFollower}. */
export interface LogFollowerSettings {
    readonly log: KeyedLog;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly records: RecordReader;
    readonly health: LogHealth;
    readonly views: TopicViews;
    readonly catalog: ServerCatalog;
    readonly rollouts: VersionRollouts;
    readonly emptiedDomains: EmptiedDomains;
    readonly relayLog: RelayLog;
    /** Time from the writing of a configuration until it must be in force, in milliseconds. */
    readonly applyMs: number;
    /** Time from a server's notice of leaving until it must receive no more calls, in milliseconds. */
    readonly leaveMs: number;
    /** Called after each read of a topic. */
    readonly onRead: (read: TopicRead) => void;
    /** Called with each configuration that comes into force. */
    readonly onConfiguration: (configuration: RelayConfiguration) => void;
}

/** Follows the operator's records and the servers' entries. A configuration is never replaced by an older one. */
export class LogFollower {
    private current: RelayConfiguration | undefined;
    private serversLoaded = false;
    /** Servers as the log's newest records state them, by key. */
    private readonly servers = new Map<string, ReadEntry>();

    /** @param settings See {@linkcode LogFollowerSettings}. */
    constructor(private readonly settings: LogFollowerSettings) {}

    /** Configuration in force; `undefined` until one has been read. */
    get configuration(): RelayConfiguration | undefined {
        return this.current;
    }

    /** Whether the servers' entries have been read. */
    get hasLoadedServers(): boolean {
        return this.serversLoaded;
    }

    /** Follows the operator's records until the signal is aborted. */
    followOperatorRecords(signal: AbortSignal): Promise<void> {
        const { clock, records, applyMs } = this.settings;
        const applyRecords = (list: readonly KeyedRecord[], read: TopicRead) =>
            runInSteps(list, clock, record => this.applyOperatorRecord(record, read));
        return this.follow(
            records.operatorTopic,
            {
                applyMs,
                isLongPoll: true,
                onSnapshot: async (list, read) => {
                    // First and in one step, as calls are sent once a configuration is in force.
                    this.applyDomainOrders(list, read);
                    this.settings.emptiedDomains.endUnlisted(new Set(list.map(({ key }) => key)), positionOf(read));
                    await applyRecords(list, read);
                },
                onRecords: async (list, read) => {
                    this.applyDomainOrders(list, read);
                    await applyRecords(list, read);
                    return list.at(-1);
                },
            },
            signal,
        );
    }

    /** Follows the servers' entries until the signal is aborted. */
    followServerEntries(signal: AbortSignal): Promise<void> {
        const { clock, records } = this.settings;
        return this.follow(records.serverTopic, {
            applyMs: this.settings.leaveMs,
            isLongPoll: false,
            onSnapshot: async list => {
                this.servers.clear();
                await runInSteps(list, clock, record => {
                    this.recordServerChange(record, this.decodeServer(record));
                });
                this.settings.catalog.removeUnlisted(new Set(this.servers.keys()));
                await runInSteps(list, clock, record => {
                    this.tryApply(record, () => this.putServer(record.key));
                });
                this.serversLoaded = true;
            },
            onRecords: async list => {
                let changed: KeyedRecord | undefined;
                await runInSteps(list, clock, record => {
                    // A record that could not be applied counts as a change, so that other nodes read it too.
                    changed = this.tryApply(record, () => this.applyServerRecord(record)) ?? true ? record : changed;
                });
                return changed;
            },
        }, signal);
    }

    private follow(
        topic: string,
        options: Pick<TopicFollowerSettings, "applyMs" | "isLongPoll" | "onSnapshot" | "onRecords">,
        signal: AbortSignal,
    ): Promise<void> {
        const { log, clock, random, health, views } = this.settings;
        const onRead = (read: TopicRead) => this.handleRead(read);
        const onRestart = (restart: TopicRestart) => this.settings.relayLog.warn("log: read again in a new era", { ...restart });
        return new TopicFollower({ log, clock, random, topic, health, views, onRead, onRestart, ...options }).run(signal);
    }

    private handleRead(read: TopicRead): void {
        this.settings.onRead(read);
        if (read.outcome === TopicReadOutcome.Outdated || read.outcome === TopicReadOutcome.Compacted) {
            const { topic, outcome, durationMs, end } = read;
            this.settings.relayLog.warn(`log: read was ${outcome}`, { topic, readMs: Math.round(durationMs), end });
        }
    }

    private applyDomainOrders(list: readonly KeyedRecord[], read: TopicRead): void {
        for (const record of list) {
            const { key, offset } = record;
            try {
                const order = this.settings.records.decodeDomainOrder(record);
                if (order !== undefined) {
                    this.settings.emptiedDomains.apply(order, key, { ...positionOf(read), offset });
                }
            }
            catch (error) {
                this.settings.relayLog.warn("domain: order ignored", { key, offset, error: describeCause(error) });
            }
        }
    }

    private applyOperatorRecord(record: KeyedRecord, read: TopicRead): void {
        let next: RelayConfiguration | undefined;
        try {
            const order = this.settings.records.decodeOrder(record);
            if (order !== undefined) {
                this.settings.rollouts.applyOrder(order, { ...positionOf(read), offset: record.offset });
            }
            next = this.settings.records.decodeConfiguration(record);
        }
        catch (error) {
            const { key, offset } = record;
            this.settings.relayLog.warn("configuration: unreadable", { key, offset, error: String(error) });
            return;
        }
        if (next === undefined || this.current !== undefined && next.version <= this.current.version) {
            return;
        }
        this.tryApply(record, () => this.applyConfiguration(next, record, read));
    }

    private applyConfiguration(next: RelayConfiguration, record: KeyedRecord, read: TopicRead): void {
        this.settings.relayLog.info("configuration: in force", {
            version: next.version,
            before: this.current?.version,
            routes: next.routes.routes.length,
            offset: record.offset,
            readMs: Math.round(read.durationMs),
        });
        this.current = next;
        this.settings.onConfiguration(next);
    }

    /** @returns Whether the record does more than confirm the entry before it. */
    private applyServerRecord(record: KeyedRecord): boolean {
        if (record.value === undefined) {
            this.servers.delete(record.key);
            this.settings.catalog.recordRemoval(this.settings.records.serverId(record));
            return true;
        }
        const server = this.decodeServer(record);
        const isChange = this.recordServerChange(record, server);
        this.putServer(record.key);
        return isChange;
    }

    private putServer(key: string): void {
        const entry = this.servers.get(key);
        if (entry !== undefined) {
            this.settings.catalog.put(entry.server);
        }
    }

    /**
     * Applies a record. An error is logged and concerns no other record.
     *
     * @returns The result; `undefined` after an error.
     */
    private tryApply<Result>({ key, offset }: KeyedRecord, apply: () => Result): Result | undefined {
        try {
            return apply();
        }
        catch (error) {
            this.settings.relayLog.error("log: record not applied", error, { key, offset });
            return undefined;
        }
    }

    private recordServerChange({ key }: KeyedRecord, server: RelayServer | undefined): boolean {
        const before = this.servers.get(key);
        if (server === undefined) {
            this.servers.delete(key);
            return true;
        }
        const entry = { server, readAtMs: this.settings.clock.now() };
        this.servers.set(key, entry);
        return before === undefined || !isSameServer(before, entry);
    }

    private decodeServer(record: KeyedRecord): RelayServer | undefined {
        const server = this.settings.records.decodeServer(record);
        if (typeof server === "string") {
            this.settings.relayLog.logEvent("", "server entry ignored", { key: record.key, reason: server });
            return undefined;
        }
        return server;
    }
}

/** @returns Era and end of the topic when it was read. */
function positionOf({ end }: TopicRead): LogPosition {
    return end ?? { era: 0, offset: 0 };
}

/**
 * @returns Whether two entries differ only in the count of reports and in a warm-up that goes on: a server that turns cold, or becomes warm
 * before its time, is a change that all nodes have to read.
 */
function isSameServer(left: ReadEntry, right: ReadEntry): boolean {
    return isSameWarmUp(left, right) &&
        isDeepStrictEqual({ ...left.server, sequence: 0, warmUpMs: 0 }, { ...right.server, sequence: 0, warmUpMs: 0 });
}

function isSameWarmUp(left: ReadEntry, right: ReadEntry): boolean {
    const before = left.server.warmUpMs ?? 0;
    const after = right.server.warmUpMs ?? 0;
    const expected = Math.max(0, before - (right.readAtMs - left.readAtMs));
    return before === 0 ? after === 0 : Math.abs(after - expected) <= COUNTDOWN_TOLERANCE_MS;
}
