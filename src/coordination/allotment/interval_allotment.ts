/**
 * Calls that one node may send to a server until its next allotment.
 *
 * @module
 */

import type { Clock, RandomSource } from "../../state/relay/mod.js";
import { allottedShare } from "./allotted_share.js";
import type { ServiceDemands } from "./demand.js";

/** Settings of an {@linkcode IntervalAllotment}. */
export interface AllotmentSettings {
    readonly clock: Clock;
    /** Random source for rounding, so that fractions of a call are not lost. */
    readonly random: RandomSource;
    /** Returns the time between the nodes' reports, in milliseconds. */
    readonly reportIntervalMs: () => number;
    /** Returns the number of nodes that send calls, including this one. */
    readonly nodeCount: () => number;
    /** Returns the demand for a service. */
    readonly demands: (service: string) => ServiceDemands;
}

/** Bounds of one allotment. */
export interface AllotmentBounds {
    /** Report intervals that it covers at most; see {@linkcode allottedShare}. */
    readonly maxIntervals?: number | undefined;
    /** Share of the calls that it takes at most. */
    readonly maxShare?: number | undefined;
    /** Report intervals for which a call that is not used stays allotted; by default, until the next allotment. */
    readonly heldIntervals?: number | undefined;
}

/** Allots a node its share of the calls that may be sent, at most once in an interval between reports. */
export class IntervalAllotment {
    private calls = 0;

    /**
     * @param settings See {@linkcode AllotmentSettings}.
     * @param allottedAtMs Time from which on calls are allotted, in milliseconds since the Unix epoch.
     */
    constructor(private readonly settings: AllotmentSettings, private allottedAtMs: number) {}

    /** Whether a call is left of the last allotment. */
    get hasCall(): boolean {
        return this.calls >= 1;
    }

    /** Records that a call was sent. */
    use(): void {
        this.calls -= 1;
    }

    /**
     * Replaces the last allotment if the next one is due.
     *
     * @param service Service of the server.
     * @param countCalls Returns the calls that all nodes together may send.
     * @param bounds See {@linkcode AllotmentBounds}.
     */
    refresh(service: string, countCalls: () => number, bounds: AllotmentBounds = {}): void {
        const { maxIntervals, maxShare = Infinity, heldIntervals = 1 } = bounds;
        const { clock, random, nodeCount, reportIntervalMs, demands } = this.settings;
        const now = clock.now();
        const elapsedMs = now - this.allottedAtMs;
        const heldMs = reportIntervalMs() * (this.hasCall ? heldIntervals : 1);
        if (elapsedMs < heldMs) {
            return;
        }
        this.allottedAtMs = now;
        const share = allottedShare({
            ...demands(service),
            nodeCount: nodeCount(),
            intervalMs: reportIntervalMs(),
            elapsedMs,
            maxIntervals,
        });
        const calls = Math.max(0, countCalls()) * Math.min(maxShare, share);
        const whole = Math.floor(calls);
        this.calls = whole + (random.next() < calls - whole ? 1 : 0);
    }
}
