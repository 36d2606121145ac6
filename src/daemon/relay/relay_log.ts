/**
 * Structured log lines of a relay node, bounded and never blocking.
 *
 * @module
 */

import type { Logger } from "pino";
import { type CallRecord, CallRecorder, RelayOutcome } from "../../coordination/relay/mod.js";
import { hashKey } from "../../protocol/relay/mod.js";
import type { Clock } from "../../state/relay/mod.js";

/** One of so many calls that went well is logged; chosen by the call's id, so that all nodes choose the same. */
const SUCCESS_SAMPLING_INTERVAL = 32;

/** Milliseconds in a second. */
const MS_PER_SECOND = 1_000;

/** Settings of a {@linkcode RelayLog}. */
export interface RelayLogSettings {
    readonly logger: Logger;
    readonly clock: Clock;
    /** Lines a second at most. Lines about the node itself are not counted. */
    readonly linesPerSecond: number;
    /** Told of each call that ended, logged or not. */
    readonly onCallEnded: (record: CallRecord) => void;
}

/** Writes one line for each decision, up to a rate; beyond it, drops are counted and told. */
export class RelayLog extends CallRecorder {
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

    /** Lines that were dropped since the start. */
    get droppedLines(): number {
        return this.totalDropped;
    }

    /** Changes the lines a second at most. */
    setLinesPerSecond(linesPerSecond: number): void {
        this.linesPerSecond = linesPerSecond;
    }

    override record(record: CallRecord): void {
        this.settings.onCallEnded(record);
        const isGood = record.outcome === RelayOutcome.Answered && record.status < 400;
        if (isGood && hashKey(record.call.head.id) % SUCCESS_SAMPLING_INTERVAL !== 0 || !this.tryAcquireLine()) {
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
            places: record.places,
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

    /** Writes a line about the node itself or what it believes. */
    info(text: string, detail: Readonly<Record<string, unknown>> = {}): void {
        this.settings.logger.info(detail, text);
    }

    /** Writes a warning about the node itself. */
    warn(text: string, detail: Readonly<Record<string, unknown>> = {}): void {
        this.settings.logger.warn(detail, text);
    }

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
