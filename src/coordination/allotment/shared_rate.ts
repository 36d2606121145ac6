/**
 * Rate of calls to a server that all nodes keep together without a coordinator.
 *
 * @module
 */

import { type AllotmentBounds, type AllotmentSettings, IntervalAllotment } from "./interval_allotment.js";
import { type BucketLimits, SharedTokenBucket } from "./shared_token_bucket.js";

/** Settings of a {@linkcode SharedRate}. */
export interface SharedRateSettings extends AllotmentSettings {
    /** Returns the share of all nodes that are unreachable but may still send calls, from 0 to 1. */
    readonly unreachableShare: () => number;
}

/** Rate of the calls of all nodes, and bounds of a node's part of it. */
export interface RateLimits extends BucketLimits, AllotmentBounds {}

/** Calls that a server has got and may get from all nodes; this node sends its share of them. */
export class SharedRate {
    private readonly bucket: SharedTokenBucket;
    private readonly allotment: IntervalAllotment;

    /**
     * @param settings See {@linkcode SharedRateSettings}.
     * @param level Calls that may be sent at the start; negative for calls of before that count.
     * @param maxFirstTotal Calls of a peer's first total that are charged at most.
     */
    constructor(private readonly settings: SharedRateSettings, level = 0, maxFirstTotal = 0) {
        this.bucket = new SharedTokenBucket(settings.clock, level, maxFirstTotal);
        this.allotment = new IntervalAllotment(settings, settings.clock.now());
    }

    /** Calls that this node has sent while the rate was in force. */
    get ownTotal(): number {
        return this.bucket.ownTotal;
    }

    /** Returns the calls that all nodes together may send now. */
    availableCalls(limits: RateLimits): number {
        this.refill(limits);
        return Math.max(0, this.bucket.available);
    }

    /** Whether this node may send a call now. */
    mayReceive(limits: RateLimits, service: string): boolean {
        this.allotment.refresh(service, () => this.availableCalls(limits), limits);
        return this.allotment.hasCall;
    }

    /** Records that this node sends a call. */
    recordSent(): void {
        this.allotment.use();
        this.bucket.use(1);
    }

    /** Records a peer's total; `incarnation` identifies the peer and its start. */
    recordPeerTotal(limits: RateLimits | undefined, incarnation: string, total: number): void {
        if (limits !== undefined) {
            this.refill(limits);
        }
        this.bucket.recordPeerTotal(incarnation, total);
    }

    /** Removes a peer that is gone. */
    removePeer(incarnation: string): void {
        this.bucket.removePeer(incarnation);
    }

    /** Starts again with a number of calls, after a time in which calls were not counted. */
    restart(calls: number): void {
        this.bucket.restart(calls);
    }

    private refill(limits: RateLimits): void {
        this.bucket.refill(limits, 1 - this.settings.unreachableShare());
    }
}
