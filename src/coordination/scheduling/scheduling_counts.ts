/**
 * Counts of the scheduler's decisions, for metrics and the time line.
 *
 * @module
 */

import { type EventRing, Part } from "../../state/mod.js";
import { SchedulingObserver, SHED_REASON_TEXTS, type ShedReason } from "./scheduling_observer.js";
import type { WaitingCall } from "./waiting_call.js";

/** Calls shed of one tier for one reason. */
export interface ShedCount {
    readonly tier: string;
    readonly reason: ShedReason;
    readonly count: number;
}

/** Keeps counts, and records sheds and ejections on the time line. */
export class SchedulingCounts extends SchedulingObserver {
    /** Ejections of backend servers. */
    ejections = 0;
    /** Dispatches at which less of the prompt was cached than the index held. */
    stalePrefixes = 0;
    private readonly sheds = new Map<string, ShedCount>();

    /** @param ring Time line. */
    constructor(private readonly ring: EventRing) {
        super();
    }

    /** Sheds by tier and reason. */
    get shedCounts(): Iterable<ShedCount> {
        return this.sheds.values();
    }

    override recordDispatch(): void {
        // The dispatcher records each dispatch.
    }

    override recordShed(waiting: WaitingCall, reason: ShedReason): void {
        const tier = waiting.call.tier.name;
        const key = `${tier} ${reason}`;
        this.sheds.set(key, { tier, reason, count: (this.sheds.get(key)?.count ?? 0) + 1 });
        const text = `Call of tier ${tier} was shed: ${SHED_REASON_TEXTS[reason]}.`;
        this.ring.record({ part: Part.Schedule, kind: "shed", text, requestId: waiting.call.incoming.id });
    }

    override recordWithdrawn(waiting: WaitingCall): void {
        const text = "Call left the queue at its deadline or with its caller.";
        this.ring.record({ part: Part.Schedule, kind: "withdrawn", text, requestId: waiting.call.incoming.id });
    }

    override recordEjected(server: string): void {
        this.ejections += 1;
        const text = `Backend server ${server} gets no new work for a time, since its calls failed.`;
        this.ring.record({ part: Part.Schedule, kind: "ejected", text, peer: server });
    }

    override recordStalePrefix(): void {
        this.stalePrefixes += 1;
    }
}
