/**
 * Availability of the platform's log as seen by this node.
 *
 * @module
 */

import type { Clock } from "../../state/relay/mod.js";

/** Duration of failures from which the log itself may have expired entries, in milliseconds. */
const OUTAGE_THRESHOLD_MS = 1_000;

/** Time after an outage within which live servers register again, in milliseconds; the platform states about 2 s. */
const REREGISTRATION_MS = 2_200;

/** Receives changes of the log's availability. */
export interface LogHealthObserver {
    /** Called when reads of a topic start to fail. */
    onLost(topic: string, error: unknown): void;
    /** Called when a read of a topic succeeds again, `silentMs` milliseconds after the first failure. */
    onRegained(topic: string, silentMs: number): void;
}

/** Tracks failing topics, and outages after which the removal of an entry may not mean that its owner is gone. */
export class LogHealth {
    private readonly failingSinceMs = new Map<string, number>();
    private uncertainUntilMs = 0;
    private outageStartMs = 0;
    private steadySinceMs: number;
    private restoredUntilMs = 0;
    /** Start of the uninterrupted reads of each topic that this node reads, in milliseconds since the Unix epoch. */
    private readonly readingSinceMs = new Map<string, number>();

    /**
     * @param clock Clock that timestamps results.
     * @param observer Notified when a topic starts or stops failing.
     */
    constructor(private readonly clock: Clock, private readonly observer: LogHealthObserver) {
        this.steadySinceMs = clock.now();
    }

    /**
     * Returns the longest time for which the log has answered any peer without an outage, in milliseconds.
     * If a peer had no outage, the log was available and has expired no entries by itself.
     */
    peerSteadyMs: () => number = () => 0;

    /**
     * Returns the same as stated in the last reports, without the time since then. A peer that has read for as long as servers take to
     * register again has seen all that are left, whatever there was before.
     */
    peerReadMs: () => number = () => 0;

    /**
     * Time for which the log has answered this node without an outage, in milliseconds; 0 during an outage, and while other nodes read
     * in its place.
     */
    get steadyMs(): number {
        if (this.hasOutage() || this.readingSinceMs.size === 0) {
            return 0;
        }
        return this.clock.now() - Math.max(this.steadySinceMs, Math.min(...this.readingSinceMs.values()));
    }

    /** Whether the last read of every topic succeeded. */
    get isAnswering(): boolean {
        return this.failingSinceMs.size === 0;
    }

    /** Whether the log has just been restored from an older copy, and servers may not have registered again. */
    get isRestoring(): boolean {
        return this.clock.now() < this.restoredUntilMs;
    }

    /**
     * Whether an entry that is removed now may merely have expired because the log was unavailable, or be missing from the copy from
     * which it was restored.
     */
    get isRemovalUncertain(): boolean {
        const now = this.clock.now();
        return this.isRestoring ||
            (now < this.uncertainUntilMs || this.hasOutage()) &&
                this.peerSteadyMs() < now - this.outageStartMs && this.peerReadMs() < REREGISTRATION_MS;
    }

    /** Time by which expired entries should be registered again, in milliseconds since the Unix epoch. */
    get reregistrationDeadlineMs(): number {
        const deadlineMs = this.hasOutage() ? this.clock.now() + REREGISTRATION_MS : this.uncertainUntilMs;
        return Math.max(deadlineMs, this.restoredUntilMs);
    }

    /** Records that the log has been restored from an older copy. */
    recordRestore(): void {
        this.restoredUntilMs = this.clock.now() + REREGISTRATION_MS;
    }

    /** Records that another node reads a topic from now on. */
    recordPause(topic: string): void {
        this.readingSinceMs.delete(topic);
    }

    /** Records a successful read of a topic. */
    recordSuccess(topic: string): void {
        if (!this.readingSinceMs.has(topic)) {
            this.readingSinceMs.set(topic, this.clock.now());
        }
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

    /** Records a failed read of a topic. */
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
