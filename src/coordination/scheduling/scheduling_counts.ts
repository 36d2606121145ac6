/**
 * Counters of scheduling decisions, for metrics and the event timeline.
 *
 * @module
 */

import { type EventRing, Part } from "../../state/mod.js";
import { SchedulingObserver, SHED_REASON_TEXTS, type ShedReason } from "./scheduling_observer.js";
import type { WaitingCall } from "./waiting_call.js";

/** Number of calls of one tier that were shed for one reason. */
export interface ShedCount {
    readonly tier: string;
    readonly reason: ShedReason;
    readonly count: number;
}

/** Counts scheduling decisions, and records shed calls, withdrawn calls and ejections on the event timeline. */
export class SchedulingCounts extends SchedulingObserver {
    /** Number of ejections of backend servers. */
    ejections = 0;
    /** Number of answers for which less of the prompt was cached than the prefix index predicted. */
    stalePrefixes = 0;
    private readonly sheds = new Map<string, ShedCount>();

    /** @param ring Event timeline. */
    constructor(private readonly ring: EventRing) {
        super();
    }

    /** Numbers of shed calls by tier and reason. */
    get shedCounts(): Iterable<ShedCount> {
        return this.sheds.values();
    }

    override recordDispatch(): void {
        // The dispatcher records dispatches.
    }

    override recordShed(waiting: WaitingCall, reason: ShedReason): void {
        const tier = waiting.call.tier.name;
        const key = `${tier} ${reason}`;
        this.sheds.set(key, { tier, reason, count: (this.sheds.get(key)?.count ?? 0) + 1 });
        const text = `Call of tier ${tier} was shed: ${SHED_REASON_TEXTS[reason]}.`;
        this.ring.record({ part: Part.Schedule, kind: "shed", text, requestId: waiting.call.incoming.id });
    }

    override recordWithdrawn(waiting: WaitingCall): void {
        const text = "Call was removed from the queue because its deadline passed or its caller disconnected.";
        this.ring.record({ part: Part.Schedule, kind: "withdrawn", text, requestId: waiting.call.incoming.id });
    }

    override recordEjected(server: string): void {
        this.ejections += 1;
        const text = `Backend server ${server} was ejected after failed calls and temporarily gets no new calls.`;
        this.ring.record({ part: Part.Schedule, kind: "ejected", text, peer: server });
    }

    override recordStalePrefix(): void {
        this.stalePrefixes += 1;
    }
}
