/**
 * Follower of a compacted topic of the platform's log.
 *
 * @module
 */

import { CompactedError, type KeyedLog, type KeyedPage, type KeyedRecord } from "../../protocol/relay/mod.js";
import type { Clock, RandomSource } from "../../state/relay/mod.js";
import type { LogHealth } from "./log_health.js";
import { ReadTiming } from "./read_timing.js";
import { type TopicRead, TopicReadOutcome } from "./topic_read.js";

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
}

/** Reads a snapshot of the topic, then the records appended to it. Ignores answers that end before an offset already seen. */
export class TopicFollower {
    private endOffset: number | undefined;
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
            if (!await this.poll(sentMs)) {
                return this.timing.recordFailure();
            }
            health.recordSuccess(topic);
            return isLongPoll ? 0 : this.timing.intervalMs;
        }
        catch (error) {
            if (error instanceof CompactedError) {
                this.recordRead(sentMs, TopicReadOutcome.Compacted);
                health.recordSuccess(topic);
                this.hasSnapshot = false;
                return 0;
            }
            this.recordRead(sentMs, TopicReadOutcome.Failed);
            health.recordFailure(topic, error);
            return this.timing.recordFailure();
        }
    }

    /** @returns Whether the log's answer was at least as new as the last one. */
    private async poll(sentMs: number): Promise<boolean> {
        const { clock, log, topic } = this.settings;
        const { waitMs, timing } = this;
        const { answerTimeoutMs } = timing;
        if (!this.hasSnapshot || this.endOffset === undefined) {
            return this.applySnapshot(await log.readNewest(topic, { answerTimeoutMs }), sentMs);
        }
        const page = await log.read(topic, this.endOffset, { waitMs, answerTimeoutMs });
        if (page.endOffset < this.endOffset) {
            this.recordRead(sentMs, TopicReadOutcome.Outdated, page.endOffset);
            return false;
        }
        timing.recordAnswer(Math.max(0, clock.now() - sentMs - waitMs));
        this.endOffset = Math.max(this.endOffset, nextOffset(page, this.endOffset));
        if (page.records.length === 0) {
            this.recordRead(sentMs, TopicReadOutcome.Empty, page.endOffset);
            return true;
        }
        this.settings.onRecords(page.records, this.recordRead(sentMs, TopicReadOutcome.Records, page.endOffset));
        return true;
    }

    private applySnapshot(page: KeyedPage, sentMs: number): boolean {
        if (this.endOffset !== undefined && page.endOffset < this.endOffset) {
            this.recordRead(sentMs, TopicReadOutcome.Outdated, page.endOffset);
            return false;
        }
        this.endOffset = page.endOffset;
        this.hasSnapshot = true;
        this.settings.onSnapshot(page.records, this.recordRead(sentMs, TopicReadOutcome.Records, page.endOffset));
        return true;
    }

    private recordRead(sentMs: number, outcome: TopicReadOutcome, endOffset?: number): TopicRead {
        const { clock, topic, onRead } = this.settings;
        const read = { topic, outcome, durationMs: clock.now() - sentMs, endOffset };
        onRead(read);
        return read;
    }
}

function nextOffset(page: KeyedPage, fromOffset: number): number {
    const last = page.records.at(-1);
    return last === undefined ? fromOffset : last.offset + 1;
}
