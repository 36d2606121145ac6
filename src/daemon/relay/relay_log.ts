/**
 * Structured, rate-limited logging of a relay node.
 *
 * @module
 */

import type { Logger } from "pino";
import { type CallRecord, CallRecorder, RelayOutcome } from "../../coordination/relay/mod.js";
import {
    type AnswerPlace,
    type AttemptRecord,
    hashKey,
    MAX_LOGGED_ID_LENGTH,
    NOT_RUN_STATUSES,
} from "../../protocol/relay/mod.js";
import type { Clock } from "../../state/relay/mod.js";
import type { WrittenLocalAnswer } from "../../transport/relay/mod.js";

/** One in this many successful calls is logged; sampled by a hash of the call id, so that all nodes log the same calls. */
const SUCCESS_SAMPLING_INTERVAL = 32;

/** Calls that one line about answers without a run names, and the longest time until it is written, in milliseconds. */
const MAX_CALLS_PER_LINE = 32;
const MAX_LINE_DELAY_MS = 200;

/** Milliseconds in a second. */
const MS_PER_SECOND = 1_000;

/** Message of a line that names calls whose callers were promised that they have not run. */
const NOT_RUN_MESSAGE = "calls: answered as not run";

/** Settings of a {@linkcode RelayLog}. */
export interface RelayLogSettings {
    readonly logger: Logger;
    readonly clock: Clock;
    /** Maximum number of log lines per second. Lines about the node itself, and about calls answered as not run, are exempt. */
    readonly linesPerSecond: number;
    /** Called with the record of each completed call, whether it is logged or not. */
    readonly onCallEnded: (record: CallRecord) => void;
}

/** Answer of the node itself that promises that the call has not run, as it is logged. */
interface NotRunEntry {
    readonly id: string | undefined;
    readonly status: number;
    readonly place: AnswerPlace;
    /** What the node knew of its attempts. */
    readonly attempts: readonly AttemptRecord[] | undefined;
}

/**
 * Logs completed calls and their events up to a rate limit; dropped lines are counted and reported. Answers that promise that a call has
 * not run are exempt from the limit, and share lines.
 */
export class RelayLog extends CallRecorder {
    private notRunEntries: NotRunEntry[] = [];
    private secondStartMs = 0;
    private linesInSecond = 0;
    private dropped = 0;
    private totalDropped = 0;
    private linesPerSecond: number;

    /** @param settings See {@linkcode RelayLogSettings}. */
    constructor(private readonly settings: RelayLogSettings) {
        super();
        this.linesPerSecond = settings.linesPerSecond;
    }

    /** Number of lines dropped since the start. */
    get droppedLines(): number {
        return this.totalDropped;
    }

    /** Changes the maximum number of lines per second. */
    setLinesPerSecond(linesPerSecond: number): void {
        this.linesPerSecond = linesPerSecond;
    }

    override record(record: CallRecord): void {
        this.settings.onCallEnded(record);
        const isSuccess = record.outcome === RelayOutcome.Answered && record.status < 400;
        if (isSuccess && hashKey(record.call.head.id) % SUCCESS_SAMPLING_INTERVAL !== 0 || !this.tryAcquireLine()) {
            return;
        }
        this.settings.logger.info({
            id: record.call.head.id,
            route: record.route?.name,
            workspace: record.workspace?.name,
            version: record.configurationVersion,
            outcome: record.outcome,
            status: record.status,
            reason: record.reason === "" ? undefined : record.reason,
            places: record.placements,
            detours: record.detours.length === 0 ? undefined : record.detours,
            isDetour: record.isDetour || undefined,
            sentMs: round(record.times.sentMs),
            firstMs: round(record.times.firstMs),
            endMs: round(record.times.endMs),
        }, "call: ended");
    }

    override logEvent(callId: string, text: string, detail: Readonly<Record<string, unknown>>): void {
        if (this.tryAcquireLine()) {
            this.settings.logger.info({ id: callId, ...detail }, `call: ${text}`);
        }
    }

    /** Logs an answer of the node itself if it promises that the call has not run. */
    recordLocalAnswer({ id, localAnswer, execution }: WrittenLocalAnswer): void {
        const { status, place, replacedStatus } = localAnswer;
        if (replacedStatus !== undefined) {
            this.warn("call: the node gave it up as not run, although it may have run", { id, place, replacedStatus, status });
        }
        if (!NOT_RUN_STATUSES.has(status)) {
            return;
        }
        if (this.notRunEntries.length === 0) {
            void this.settings.clock.sleep(MAX_LINE_DELAY_MS).then(() => this.writeNotRunEntries());
        }
        const attempts = execution.attempts.length === 0 ? undefined : execution.attempts.map(attempt => ({ ...attempt }));
        this.notRunEntries.push({ id: id?.slice(0, MAX_LOGGED_ID_LENGTH), status, place, attempts });
        if (this.notRunEntries.length >= MAX_CALLS_PER_LINE) {
            this.writeNotRunEntries();
        }
    }

    /** Writes the line that is being collected. */
    writeNotRunEntries(): void {
        const calls = this.notRunEntries;
        if (calls.length > 0) {
            this.notRunEntries = [];
            this.settings.logger.info({ calls }, NOT_RUN_MESSAGE);
        }
    }

    override logError(callId: string, error: unknown): void {
        this.error("call: failed inside the node", error, { id: callId });
    }

    /** Logs an error inside the node; not rate-limited. */
    error(text: string, error: unknown, detail: Readonly<Record<string, unknown>> = {}): void {
        this.settings.logger.error(
            { ...detail, error: String(error), stack: (error as Partial<Error> | undefined)?.stack },
            text,
        );
    }

    /** Logs a message about the node itself or its view of the system; not rate-limited. */
    info(text: string, detail: Readonly<Record<string, unknown>> = {}): void {
        this.settings.logger.info(detail, text);
    }

    /** Logs a warning about the node itself; not rate-limited. */
    warn(text: string, detail: Readonly<Record<string, unknown>> = {}): void {
        this.settings.logger.warn(detail, text);
    }

    /** Takes one line from the allowance of the current second; counts a dropped line if none is left. */
    private tryAcquireLine(): boolean {
        const now = this.settings.clock.now();
        if (now - this.secondStartMs >= MS_PER_SECOND) {
            if (this.dropped > 0) {
                this.settings.logger.warn({ dropped: this.dropped }, "log: lines were dropped");
            }
            this.secondStartMs = now;
            this.linesInSecond = 0;
            this.dropped = 0;
        }
        if (this.linesInSecond >= this.linesPerSecond) {
            this.dropped += 1;
            this.totalDropped += 1;
            return false;
        }
        this.linesInSecond += 1;
        return true;
    }
}

function round(ms: number | undefined): number | undefined {
    return ms === undefined ? undefined : Math.round(ms);
}
