/**
 * Simulated log service of the platform.
 *
 * @module
 */

import { Executed, type LogPage, type LogReadSettings, type LogRecord, LogService, PlatformError } from "../src/protocol/mod.js";
import type { Clock } from "../src/state/mod.js";

/** Name of the log service in errors. */
const PEER_NAME = "log";

/** Maximum interval at which a waiting read checks whether the log is down, in milliseconds. */
const DOWN_POLL_INTERVAL_MS = 100;

/** Faults that tests inject. */
export interface LogFaults {
    /** All calls fail, and appends take no effect. */
    down: boolean;
    /** Appends take effect, but their answers are lost. */
    loseAnswers: boolean;
    /** Error that the next append throws without taking effect. */
    nextAppendError?: Error;
}

/** Settings of a {@linkcode LogModel}. */
export interface LogModelSettings {
    /** Maximum rate of appends per second, over all streams. Defaults to 300. */
    readonly appendsPerSecond?: number;
    /** Duration of one call, in milliseconds. Defaults to 2. */
    readonly callMs?: number;
    /** Retention time of records, in milliseconds. Defaults to 7 days. */
    readonly retentionMs?: number;
}

/** Record with the timestamp of its append. */
interface StoredRecord extends LogRecord {
    readonly atMs: number;
}

/** Stream with its retained records. */
interface StoredStream {
    readonly records: StoredRecord[];
    endOffset: number;
    /** Aborted by the next append, which wakes waiting reads. */
    nextAppend: AbortController;
}

/** Simulated log service, used in process by tests and served over HTTP by a stand-in process. */
export class LogModel extends LogService {
    readonly faults: LogFaults = { down: false, loseAnswers: false };
    /** Number of appends that took effect. */
    appendCount = 0;
    private readonly streams = new Map<string, StoredStream>();
    private readonly appendsPerSecond: number;
    private readonly callMs: number;
    private readonly retentionMs: number;
    private nextAppendAtMs = 0;

    /**
     * @param clock Clock that times the calls.
     * @param settings See {@linkcode LogModelSettings}.
     */
    constructor(private readonly clock: Clock, settings: LogModelSettings = {}) {
        super();
        this.appendsPerSecond = settings.appendsPerSecond ?? 300;
        this.callMs = settings.callMs ?? 2;
        this.retentionMs = settings.retentionMs ?? 7 * 86_400_000;
    }

    override async append(stream: string, data: Uint8Array): Promise<number> {
        const nowMs = this.clock.now();
        this.nextAppendAtMs = Math.max(nowMs, this.nextAppendAtMs + 1_000 / this.appendsPerSecond);
        await this.clock.sleep(this.nextAppendAtMs - nowMs + this.callMs);
        this.checkAvailable(`append to stream ${stream}`);
        const { nextAppendError } = this.faults;
        if (nextAppendError !== undefined) {
            this.faults.nextAppendError = undefined;
            throw nextAppendError;
        }
        const stored = this.stream(stream);
        const offset = stored.endOffset;
        stored.endOffset += 1;
        stored.records.push({ offset, data, atMs: this.clock.now() });
        this.appendCount += 1;
        stored.nextAppend.abort();
        stored.nextAppend = new AbortController();
        if (this.faults.loseAnswers) {
            throw new PlatformError(`append to stream ${stream}`, PEER_NAME, Executed.Unknown, new Error("the answer was lost"));
        }
        return offset;
    }

    override async read(stream: string, fromOffset: number, settings: LogReadSettings = {}): Promise<LogPage> {
        await this.clock.sleep(this.callMs);
        const stored = this.stream(stream);
        const deadlineMs = this.clock.now() + (settings.waitMs ?? 0);
        while (stored.endOffset <= fromOffset && this.clock.now() < deadlineMs && !this.faults.down) {
            await this.clock.sleep(Math.min(DOWN_POLL_INTERVAL_MS, deadlineMs - this.clock.now()), stored.nextAppend.signal);
        }
        this.checkAvailable(`read stream ${stream}`);
        this.expireRecords(stored);
        const firstOffset = stored.records[0]?.offset ?? stored.endOffset;
        const start = Math.max(0, fromOffset - firstOffset);
        const records = stored.records.slice(start, start + (settings.maxRecords ?? 1_000));
        return { records, firstOffset, endOffset: stored.endOffset };
    }

    private stream(name: string): StoredStream {
        let stored = this.streams.get(name);
        if (stored === undefined) {
            stored = { records: [], endOffset: 0, nextAppend: new AbortController() };
            this.streams.set(name, stored);
        }
        return stored;
    }

    private expireRecords(stored: StoredStream): void {
        const expiredBeforeMs = this.clock.now() - this.retentionMs;
        while (stored.records.length > 0 && stored.records[0].atMs < expiredBeforeMs) {
            stored.records.shift();
        }
    }

    private checkAvailable(step: string): void {
        if (this.faults.down) {
            throw new PlatformError(step, PEER_NAME, Executed.Unknown, new Error("the log is down"));
        }
    }
}
