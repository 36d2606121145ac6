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
import type { TopicViews } from "./topic_views.js";
import { WakeablePause } from "./wakeable_pause.js";

/** Settings of a {@linkcode TopicFollower}. */
export interface TopicFollowerSettings {
    readonly log: KeyedLog;
    readonly topic: string;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly health: LogHealth;
    readonly views: TopicViews;
    /** Time from the append of a record until it must be applied, in milliseconds. */
    readonly applyMs: number;
    /** Whether the log holds a read that finds no records; otherwise reads are spaced, which batches the records of a busy topic. */
    readonly isLongPoll: boolean;
    /** Receives a snapshot with the latest record of every key; keys that are missing have been removed. */
    readonly onSnapshot: (records: readonly KeyedRecord[], read: TopicRead) => Promise<void>;
    /** Receives new records in log order, and returns the last one that changes something. */
    readonly onRecords: (records: readonly KeyedRecord[], read: TopicRead) => Promise<KeyedRecord | undefined>;
    /** Called after each read, before its records are passed on. */
    readonly onRead: (read: TopicRead) => void;
    /** Called before the snapshot of a new era is passed on. */
    readonly onRestart: (restart: TopicRestart) => void;
}

/**
 * Reads a snapshot of the topic, then the records appended to it. Ignores answers that end before an offset already seen in the same
 * era, and starts again from a snapshot when the era changes.
 *
 * One node reads for all: as long as its reports confirm that nothing has changed, the others don't read. Each node reads for itself
 * when a report tells of a change, or when no report has confirmed its position for half of the time to apply a record.
 */
export class TopicFollower {
    /** End of the topic as last read or confirmed; `undefined` before the first snapshot. */
    private end: LogPosition | undefined;
    private hasSnapshot = false;
    /** End of the snapshot, from which on this node has seen every record that changed something. */
    private baseOffset = 0;
    /** Offset after the last record that changed something. */
    private changedOffset = 0;
    /** Time at which this node's position was last confirmed by its own read, in milliseconds since the Unix epoch. */
    private confirmedAtMs = 0;
    private readSentAtMs = 0;
    private isReader = true;
    /** Age of the last confirmation from which this node reads again, in milliseconds. */
    private staleMs = 0;
    private readonly pause: WakeablePause;
    private readonly timing: ReadTiming;

    /** @param settings See {@linkcode TopicFollowerSettings}. */
    constructor(private readonly settings: TopicFollowerSettings) {
        this.timing = new ReadTiming(settings.applyMs, settings.random);
        this.pause = new WakeablePause(settings.clock);
        settings.views.listen(settings.topic, () => this.pause.wake());
    }

    /** Time from one read to the next while this node reads, in milliseconds. */
    private get intervalMs(): number {
        return this.settings.views.hasPeers ? this.timing.sharedIntervalMs : this.timing.intervalMs;
    }

    /** Follows until the signal is aborted. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            const pauseMs = this.pauseMs();
            if (pauseMs > 0) {
                await this.pause.sleep(pauseMs, signal);
                continue;
            }
            const delayMs = await this.tryPoll();
            if (delayMs > 0) {
                await this.settings.clock.sleep(delayMs, signal);
            }
        }
    }

    /** @returns Time until the next read, unless there is news before, in milliseconds; 0 if this node reads. */
    private pauseMs(): number {
        const { end, timing } = this;
        if (this.isReader || !this.hasSnapshot || end === undefined) {
            return 0;
        }
        const now = this.settings.clock.now();
        let confirmedAtMs = this.confirmedAtMs;
        let isBehind = false;
        for (const view of this.settings.views.viewsOf(this.settings.topic)) {
            const isLater = view.changedOffset > view.baseOffset && view.changedOffset > end.offset;
            isBehind ||= view.era > end.era || view.era === end.era && isLater;
            if (view.era === end.era && view.changedOffset <= end.offset) {
                confirmedAtMs = Math.max(confirmedAtMs, view.confirmedAtMs);
                this.end = { era: end.era, offset: Math.max(this.end?.offset ?? 0, view.endOffset) };
            }
        }
        if (isBehind) {
            const spacingMs = this.settings.isLongPoll ? timing.catchUpIntervalMs : timing.intervalMs;
            return this.readSentAtMs + spacingMs - now;
        }
        if (now >= confirmedAtMs + this.staleMs) {
            this.isReader = true;
            return 0;
        }
        return confirmedAtMs + this.staleMs - now;
    }

    /** @returns Delay until the next read, in milliseconds. */
    private async tryPoll(): Promise<number> {
        const { clock, health, topic, isLongPoll } = this.settings;
        const sentMs = clock.now();
        this.readSentAtMs = sentMs;
        try {
            const outcome = await this.poll(sentMs);
            if (outcome === TopicReadOutcome.Outdated) {
                return this.timing.recordFailure();
            }
            health.recordSuccess(topic);
            this.shareView();
            const isReadAtOnce = isLongPoll || outcome === TopicReadOutcome.NewEra || !this.isReader;
            return isReadAtOnce ? 0 : Math.max(0, sentMs + this.intervalMs - clock.now());
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

    /** Announces this node's position, unless a peer reads in its place. */
    private shareView(): void {
        const { clock, health, topic, views } = this.settings;
        const { end, baseOffset, changedOffset, confirmedAtMs } = this;
        if (!this.hasSnapshot || end === undefined) {
            return;
        }
        const base = { era: end.era, offset: baseOffset };
        if (!this.isReader || views.hasReader(topic, base, clock.now() - this.timing.freshMs)) {
            this.staleMs = this.timing.drawStaleMs();
            this.isReader = false;
            views.withdraw(topic);
            health.recordPause(topic);
            return;
        }
        views.announce(topic, { era: end.era, baseOffset, changedOffset, endOffset: end.offset, confirmedAtMs });
    }

    private async poll(sentMs: number): Promise<TopicReadOutcome> {
        const { clock, log, topic, isLongPoll } = this.settings;
        const { end, timing } = this;
        const { answerTimeoutMs } = timing;
        if (!this.hasSnapshot || end === undefined) {
            return await this.applySnapshot(await log.readNewest(topic, { answerTimeoutMs }), sentMs);
        }
        const waitMs = isLongPoll && this.isReader ? this.intervalMs : 0;
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
            // The log has found no record at the end of its wait.
            this.confirmedAtMs = sentMs + waitMs;
            return this.recordRead(sentMs, TopicReadOutcome.Empty, endOf(page)).outcome;
        }
        if (this.end.offset >= page.endOffset) {
            this.confirmedAtMs = sentMs;
        }
        const read = this.recordRead(sentMs, TopicReadOutcome.Records, endOf(page));
        const changed = await this.settings.onRecords(page.records, read);
        this.changedOffset = changed === undefined ? this.changedOffset : changed.offset + 1;
        return read.outcome;
    }

    private async applySnapshot(page: KeyedPage, sentMs: number): Promise<TopicReadOutcome> {
        const before = this.end;
        const after = endOf(page);
        if (before !== undefined && before.era === after.era && after.offset < before.offset) {
            return this.recordRead(sentMs, TopicReadOutcome.Outdated, after).outcome;
        }
        this.end = after;
        this.hasSnapshot = true;
        this.baseOffset = after.offset;
        this.changedOffset = after.offset;
        this.confirmedAtMs = sentMs;
        if (before !== undefined && before.era !== after.era) {
            this.settings.onRestart({ topic: this.settings.topic, before, after });
        }
        const read = this.recordRead(sentMs, TopicReadOutcome.Records, after);
        await this.settings.onSnapshot(page.records, read);
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
