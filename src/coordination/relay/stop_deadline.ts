/**
 * End of a stopping node's service, and which calls it may still pass on before.
 *
 * The load that this answers: callers keep sending on open connections while a node stops, and bodies that end late, waiting calls and
 * repetitions become ready to be sent until the last moment. What is sent must be answered before the process ends; what cannot be is
 * refused while it is still certain that it has not run, so that its caller turns to another node.
 *
 * @module
 */

import type { Clock } from "../../state/relay/mod.js";

/** Multiple of a call's expected duration that must be left; about half of all calls last longer than expected. */
const DURATION_MARGIN_FACTOR = 1.5;

/** Longest time, and part of the grace of a stop, that is kept for the final answers of calls that are still open. */
const MAX_RESERVE_MS = 600;
const RESERVE_SHARE = 1 / 6;

/**
 * Returns the time at the end of a stop, in milliseconds, in which open calls get their final answers.
 *
 * @param graceMs Time from the begin of the stop until the process is killed, in milliseconds.
 */
export function stopReserveMs(graceMs: number): number {
    return Math.min(MAX_RESERVE_MS, graceMs * RESERVE_SHARE);
}

/** Measured speed of a backend server. */
export interface ServerSpeed {
    /** Time from sending a call to its first event, in milliseconds. */
    readonly firstEventMs: number;
    /** Time between the events of a stream, in milliseconds. */
    readonly msPerEvent: number;
    /** Duration of a call of the service, in milliseconds; `undefined` before one is measured. */
    readonly callMs: number | undefined;
}

/** What is known of a call before it is sent. */
export interface CallExtent {
    readonly isStream: boolean;
    /** Expected number of events; 0 if the caller states none. */
    readonly expectedEvents: number;
    /** Time within which an answer earns its full value, in milliseconds; the expectation without a measurement. */
    readonly objectiveMs: number;
}

/** Returns the expected duration of a call at a server, in milliseconds. */
export function expectedDurationMs({ firstEventMs, msPerEvent, callMs }: ServerSpeed, call: CallExtent): number {
    if (callMs === undefined) {
        return call.objectiveMs;
    }
    return call.isStream && call.expectedEvents > 0 ?
        firstEventMs + call.expectedEvents * msPerEvent :
        Math.max(firstEventMs, callMs);
}

/** Time at which a stopping node gives all open calls their final answers. */
export class StopDeadline {
    private endsAtMs = Infinity;
    private isOver = false;
    private readonly watchers = new Set<() => void>();

    /** @param clock Time source. */
    constructor(private readonly clock: Clock) {}

    /** Whether the node is stopping. */
    get isStopping(): boolean {
        return this.endsAtMs !== Infinity;
    }

    /** Starts the stop. */
    start(endsAtMs: number): void {
        this.endsAtMs = endsAtMs;
    }

    /** Returns whether a call of an expected duration, in milliseconds, may be passed on now. */
    mayPassOn(durationMs: number): boolean {
        return !this.isOver && this.clock.now() + durationMs * DURATION_MARGIN_FACTOR <= this.endsAtMs;
    }

    /** Ends the service: no call is passed on any more, and open calls get their final answers. */
    end(): void {
        this.isOver = true;
        for (const onEnd of [...this.watchers]) {
            onEnd();
        }
    }

    /**
     * Adds a function that is called at the end.
     *
     * @returns Function that removes it.
     */
    watch(onEnd: () => void): () => void {
        this.watchers.add(onEnd);
        return () => this.watchers.delete(onEnd);
    }
}
