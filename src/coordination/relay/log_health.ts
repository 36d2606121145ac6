/**
 * Whether the platform's log answers this node.
 *
 * @module
 */

import type { Clock } from "../../state/relay/mod.js";

/** Time without an answer after which entries may have lapsed for the log's own reasons, in milliseconds. */
const OUTAGE_THRESHOLD_MS = 1_000;

/** Time after an outage in which servers that live have registered again, in milliseconds; the platform states about 2 s. */
const REREGISTRATION_MS = 2_200;

/** Receives the changes of a log's health. */
export interface LogHealthObserver {
    /** The log stopped answering. */
    onLost(topic: string, error: unknown): void;
    /** The log answers again, after a silence in milliseconds. */
    onRegained(topic: string, silentMs: number): void;
}

/** Remembers, for each topic, when the log last answered. */
export class LogHealth {
    private readonly failingSinceMs = new Map<string, number>();
    private uncertainUntilMs = 0;
    private outageStartMs = 0;
    private steadySinceMs: number;

    /**
     * @param clock Clock that dates answers.
     * @param observer Told of losses and returns.
     */
    constructor(private readonly clock: Clock, private readonly observer: LogHealthObserver) {
        this.steadySinceMs = clock.now();
    }

    /**
     * Source of what peers say: the longest time for which the log has answered one of them without an outage, in milliseconds.
     * A log that answered others all the while has dropped no entries by itself.
     */
    peerSteadyMs: () => number = () => 0;

    /** Time for which the log has answered this node without an outage, in milliseconds; 0 in an outage. */
    get steadyMs(): number {
        return this.hasOutage() ? 0 : this.clock.now() - this.steadySinceMs;
    }

    /** Whether every topic was answered when last asked. */
    get isAnswering(): boolean {
        return this.failingSinceMs.size === 0;
    }

    /**
     * Whether an entry that vanishes now may only have lapsed while the log was away.
     */
    get isRemovalUncertain(): boolean {
        const now = this.clock.now();
        return (now < this.uncertainUntilMs || this.hasOutage()) && this.peerSteadyMs() < now - this.outageStartMs;
    }

    /** Time until which entries that have lapsed may return, in milliseconds since the Unix epoch. */
    get reregistrationDeadlineMs(): number {
        return this.hasOutage() ? this.clock.now() + REREGISTRATION_MS : this.uncertainUntilMs;
    }

    /** Records that the log answered. */
    recordSuccess(topic: string): void {
        const sinceMs = this.failingSinceMs.get(topic);
        if (sinceMs === undefined) {
            return;
        }
        this.failingSinceMs.delete(topic);
        const silentMs = this.clock.now() - sinceMs;
        if (silentMs >= OUTAGE_THRESHOLD_MS) {
            this.uncertainUntilMs = this.clock.now() + REREGISTRATION_MS;
            this.outageStartMs = sinceMs;
            this.steadySinceMs = this.clock.now();
        }
        this.observer.onRegained(topic, silentMs);
    }

    /** Records that the log failed to answer. */
    recordFailure(topic: string, error: unknown): void {
        if (!this.failingSinceMs.has(topic)) {
            this.failingSinceMs.set(topic, this.clock.now());
            this.observer.onLost(topic, error);
        }
    }

    private hasOutage(): boolean {
        const now = this.clock.now();
        for (const sinceMs of this.failingSinceMs.values()) {
            if (now - sinceMs >= OUTAGE_THRESHOLD_MS) {
                return true;
            }
        }
        return false;
    }
}
