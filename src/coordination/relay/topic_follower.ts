/**
 * Follower of a compacted topic of the platform's log.
 *
 * @module
 */

import { CompactedError, type KeyedLog, type KeyedPage, type KeyedRecord } from "../../protocol/relay/mod.js";
import type { Clock } from "../../state/relay/mod.js";
import type { LogHealth } from "./log_health.js";
import { type TopicRead, TopicReadOutcome } from "./topic_read.js";

/** Delay before a failed read is retried, in milliseconds; short compared to the time in which a change must be in force. */
const RETRY_DELAY_MS = 250;

/** Settings of a {@linkcode TopicFollower}. */
export interface TopicFollowerSettings {
    readonly log: KeyedLog;
    readonly topic: string;
    readonly clock: Clock;
    readonly health: LogHealth;
    /** Long-poll timeout: how long the log holds a read that finds no records, in milliseconds. */
    readonly waitMs: number;
    /** Delay between reads, in milliseconds; batches the records of a busy topic. */
    readonly pollDelayMs: number;
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

    /** @param settings See {@linkcode TopicFollowerSettings}. */
    constructor(private readonly settings: TopicFollowerSettings) {}

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
        const { clock, health, topic, pollDelayMs } = this.settings;
        const sentMs = clock.now();
        try {
            const isCurrent = await this.poll(sentMs);
            health.recordSuccess(topic);
            return isCurrent ? pollDelayMs : RETRY_DELAY_MS;
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
            return RETRY_DELAY_MS;
        }
    }

    /** @returns Whether the log's answer was at least as new as the last one. */
    private async poll(sentMs: number): Promise<boolean> {
        const { log, topic, waitMs } = this.settings;
        if (!this.hasSnapshot || this.endOffset === undefined) {
            return this.applySnapshot(await log.readNewest(topic), sentMs);
        }
        const page = await log.read(topic, this.endOffset, { waitMs });
        if (page.endOffset < this.endOffset) {
            this.recordRead(sentMs, TopicReadOutcome.Outdated, page.endOffset);
            return false;
        }
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
