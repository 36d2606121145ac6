/**
 * Follower of a compacted topic of the platform's log.
 *
 * @module
 */

import {
    CompactedError,
    type KeyedLog,
    type KeyedPage,
    type KeyedRecord,
    type LogPosition,
    OutdatedEraError,
} from "../../protocol/relay/mod.js";
import type { Clock, RandomSource } from "../../state/relay/mod.js";
import type { LogHealth } from "./log_health.js";
import { ReadTiming } from "./read_timing.js";
import { type TopicRead, TopicReadOutcome, type TopicRestart } from "./topic_read.js";

/** Settings of a {@linkcode TopicFollower}. */
export interface TopicFollowerSettings {
    readonly log: KeyedLog;
    readonly topic: string;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly health: LogHealth;
    /** Time from the append of a record until it must be applied, in milliseconds. */
    readonly applyMs: number;
    /** Whether the log holds a read that finds no records; otherwise reads are spaced, which batches the records of a busy topic. */
    readonly isLongPoll: boolean;
    /** Receives a snapshot with the latest record of every key; keys that are missing have been removed. */
    readonly onSnapshot: (records: readonly KeyedRecord[], read: TopicRead) => void;
    /** Receives new records in log order. */
    readonly onRecords: (records: readonly KeyedRecord[], read: TopicRead) => void;
    /** Called after each read, before its records are passed on. */
    readonly onRead: (read: TopicRead) => void;
    /** Called before the snapshot of a new era is passed on. */
    readonly onRestart: (restart: TopicRestart) => void;
}

/**
 * Reads a snapshot of the topic, then the records appended to it. Ignores answers that end before an offset already seen in the same
 * era, and starts again from a snapshot when the era changes.
 */
export class TopicFollower {
    /** End of the topic as last read; `undefined` before the first snapshot. */
    private end: LogPosition | undefined;
    private hasSnapshot = false;
    private readonly timing: ReadTiming;

    /** @param settings See {@linkcode TopicFollowerSettings}. */
    constructor(private readonly settings: TopicFollowerSettings) {
        this.timing = new ReadTiming(settings.applyMs, settings.random);
    }

    /** Time for which the log may hold a read, in milliseconds. */
    private get waitMs(): number {
        return this.settings.isLongPoll ? this.timing.intervalMs : 0;
    }

    /** Follows until the signal is aborted. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            const delayMs = await this.tryPoll();
            if (delayMs > 0) {
                await this.settings.clock.sleep(delayMs, signal);
            }
        }
    }

    /** @returns Delay until the next read, in milliseconds. */
    private async tryPoll(): Promise<number> {
        const { clock, health, topic, isLongPoll } = this.settings;
        const sentMs = clock.now();
        try {
            const outcome = await this.poll(sentMs);
            if (outcome === TopicReadOutcome.Outdated) {
                return this.timing.recordFailure();
            }
            health.recordSuccess(topic);
            const isReadAtOnce = isLongPoll || outcome === TopicReadOutcome.NewEra;
            return isReadAtOnce ? 0 : Math.max(0, sentMs + this.timing.intervalMs - clock.now());
        }
        catch (error) {
            if (error instanceof CompactedError) {
                this.recordRead(sentMs, TopicReadOutcome.Compacted);
                health.recordSuccess(topic);
                this.hasSnapshot = false;
                return 0;
            }
            if (error instanceof OutdatedEraError) {
                this.recordRead(sentMs, TopicReadOutcome.Outdated);
                return this.timing.recordFailure();
            }
            this.recordRead(sentMs, TopicReadOutcome.Failed);
            health.recordFailure(topic, error);
            return this.timing.recordFailure();
        }
    }

    private async poll(sentMs: number): Promise<TopicReadOutcome> {
        const { clock, log, topic } = this.settings;
        const { end, waitMs, timing } = this;
        const { answerTimeoutMs } = timing;
        if (!this.hasSnapshot || end === undefined) {
            return this.applySnapshot(await log.readNewest(topic, { answerTimeoutMs }), sentMs);
        }
        const page = await log.read(topic, end.offset, { waitMs, answerTimeoutMs });
        timing.recordAnswer(Math.max(0, clock.now() - sentMs - waitMs));
        if (page.era !== end.era) {
            this.hasSnapshot = false;
            return this.recordRead(sentMs, TopicReadOutcome.NewEra, endOf(page)).outcome;
        }
        if (page.endOffset < end.offset) {
            return this.recordRead(sentMs, TopicReadOutcome.Outdated, endOf(page)).outcome;
        }
        this.end = { era: end.era, offset: Math.max(end.offset, nextOffset(page, end.offset)) };
        if (page.records.length === 0) {
            return this.recordRead(sentMs, TopicReadOutcome.Empty, endOf(page)).outcome;
        }
        const read = this.recordRead(sentMs, TopicReadOutcome.Records, endOf(page));
        this.settings.onRecords(page.records, read);
        return read.outcome;
    }

    private applySnapshot(page: KeyedPage, sentMs: number): TopicReadOutcome {
        const before = this.end;
        const after = endOf(page);
        if (before !== undefined && before.era === after.era && after.offset < before.offset) {
            return this.recordRead(sentMs, TopicReadOutcome.Outdated, after).outcome;
        }
        this.end = after;
        this.hasSnapshot = true;
        if (before !== undefined && before.era !== after.era) {
            this.settings.onRestart({ topic: this.settings.topic, before, after });
        }
        const read = this.recordRead(sentMs, TopicReadOutcome.Records, after);
        this.settings.onSnapshot(page.records, read);
        return read.outcome;
    }

    private recordRead(sentMs: number, outcome: TopicReadOutcome, end?: LogPosition): TopicRead {
        const { clock, topic, onRead } = this.settings;
        const read = { topic, outcome, durationMs: clock.now() - sentMs, end };
        onRead(read);
        return read;
    }
}

function endOf(page: KeyedPage): LogPosition {
    return { era: page.era, offset: page.endOffset };
}

function nextOffset(page: KeyedPage, fromOffset: number): number {
    const last = page.records.at(-1);
    return last === undefined ? fromOffset : last.offset + 1;
}
