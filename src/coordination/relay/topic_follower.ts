/**
 * Follows a keyed topic of the platform's log.
 *
 * @module
 */

import { CompactedError, type KeyedLog, type KeyedPage, type KeyedRecord } from "../../protocol/relay/mod.js";
import type { Clock } from "../../state/relay/mod.js";
import type { LogHealth } from "./log_health.js";

/** Pause after a read that failed, in milliseconds; short against the time in which a change has to be in force. */
const RETRY_DELAY_MS = 250;

/** Settings of a {@linkcode TopicFollower}. */
export interface TopicFollowerSettings {
    readonly log: KeyedLog;
    readonly topic: string;
    readonly clock: Clock;
    readonly health: LogHealth;
    /** Time for which the log holds a read that finds nothing, in milliseconds. */
    readonly waitMs: number;
    /** Pause between reads, in milliseconds; gathers records of a busy topic into one read. */
    readonly pauseMs: number;
    /** Takes the newest record of every key; keys that are missing are gone. */
    readonly onAll: (records: readonly KeyedRecord[]) => void;
    /** Takes records in the order of the log. */
    readonly onRecords: (records: readonly KeyedRecord[]) => void;
}

/** Reads the newest record of each key once, then what is appended. Never goes back behind an offset that it has seen. */
export class TopicFollower {
    private endOffset: number | undefined;
    private hasSnapshot = false;

    /** @param settings See {@linkcode TopicFollowerSettings}. */
    constructor(private readonly settings: TopicFollowerSettings) {}

    /** Follows until the signal is aborted. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            const pauseMs = await this.tryPoll();
            if (pauseMs > 0) {
                await this.settings.clock.sleep(pauseMs, signal);
            }
        }
    }

    private async tryPoll(): Promise<number> {
        const { health, topic, pauseMs } = this.settings;
        try {
            const isFresh = await this.poll();
            health.recordSuccess(topic);
            return isFresh ? pauseMs : RETRY_DELAY_MS;
        }
        catch (error) {
            if (error instanceof CompactedError) {
                health.recordSuccess(topic);
                this.hasSnapshot = false;
                return 0;
            }
            health.recordFailure(topic, error);
            return RETRY_DELAY_MS;
        }
    }

    /** @returns Whether the log's answer was not older than what is known. */
    private async poll(): Promise<boolean> {
        const { log, topic, waitMs } = this.settings;
        if (!this.hasSnapshot || this.endOffset === undefined) {
            return this.applySnapshot(await log.readNewest(topic));
        }
        const page = await log.read(topic, this.endOffset, { waitMs });
        if (page.endOffset < this.endOffset) {
            return false;
        }
        this.endOffset = Math.max(this.endOffset, nextOffset(page, this.endOffset));
        if (page.records.length > 0) {
            this.settings.onRecords(page.records);
        }
        return true;
    }

    private applySnapshot(page: KeyedPage): boolean {
        if (this.endOffset !== undefined && page.endOffset < this.endOffset) {
            return false;
        }
        this.endOffset = page.endOffset;
        this.hasSnapshot = true;
        this.settings.onAll(page.records);
        return true;
    }
}

function nextOffset(page: KeyedPage, fromOffset: number): number {
    const last = page.records.at(-1);
    return last === undefined ? fromOffset : last.offset + 1;
}
