/**
 * Admission control that limits how many of the fleet's free slots this node may take.
 *
 * A burst reaches many nodes at once, and each node's view of the others is a fraction of a second old. If every node took every
 * slot that looks free, calls would queue up at the engines, which have no priorities.
 *
 * @module
 */

import type { RandomSource } from "../../state/relay/mod.js";
import { type CallAllowance, type Demand, STALENESS_REPORT_INTERVALS } from "../allotment/mod.js";

/** Fraction of the available slots that is allotted; the rest covers calls that no report includes yet. */
const ALLOTTED_FRACTION = 0.8;

/** Milliseconds in a second. */
const MS_PER_SECOND = 1_000;

/** Slots of one server and their turnover. */
export interface ServerCapacity {
    readonly slots: number;
    /** Calls in flight at the server, as far as this node knows. */
    readonly calls: number;
    /** Duration of a call at the server, in milliseconds. */
    readonly callMs: number;
    /** What the server's limit on the calls of all nodes leaves; `undefined` if it states none. */
    readonly allowance?: CallAllowance | undefined;
}

/** Slots that this node may take until the next allotment. */
interface Allotment {
    inTime: number;
    late: number;
}

/**
 * Allots this node a share of the fleet's slots in proportion to its share of the fleet's demand. Calls in time are allotted first;
 * what they leave unused goes to late calls in the next interval.
 */
export class AdmissionGate {
    private allotment: Allotment = { inTime: Infinity, late: Infinity };
    private allottedAtMs = -Infinity;
    private isSaturated = false;

    /**
     * @param random Random source for rounding, so that fractions of a slot are not lost.
     * @param reportIntervalMs Returns the time between the nodes' reports, in milliseconds; slots are allotted once per interval.
     */
    constructor(private readonly random: RandomSource, private readonly reportIntervalMs: () => number) {}

    /** Whether the next allotment is due. */
    isDue(nowMs: number): boolean {
        return nowMs - this.allottedAtMs >= this.reportIntervalMs();
    }

    /**
     * Allots slots for the next interval.
     *
     * @param nowMs Current time, in milliseconds since the Unix epoch.
     * @param ownDemand Demand of this node.
     * @param peerDemand Total demand of all other nodes.
     * @param servers Servers that accept calls.
     */
    allot(nowMs: number, ownDemand: Demand, peerDemand: Demand, servers: Iterable<ServerCapacity>): void {
        this.allottedAtMs = nowMs;
        const stalenessMs = STALENESS_REPORT_INTERVALS * this.reportIntervalMs();
        const slots = ALLOTTED_FRACTION * countAvailableSlots(servers, stalenessMs);
        const ownInTime = expectedInTimeCalls(ownDemand, stalenessMs);
        const allInTime = ownInTime + expectedInTimeCalls(peerDemand, stalenessMs);
        const allLate = ownDemand.lateCalls + peerDemand.lateCalls;
        this.isSaturated = slots <= allInTime;
        const unused = this.allotment.inTime === Infinity ? 0 : this.allotment.inTime;
        this.allotment = {
            inTime: this.allotmentFor(ownInTime, slots / allInTime),
            late: this.allotmentFor(ownDemand.lateCalls, (slots - allInTime) / allLate) + unused,
        };
    }

    /** Whether calls in time need all slots, so that late calls get none. */
    get refusesLateCalls(): boolean {
        return this.isSaturated;
    }

    /** Returns the current allotment for log lines; `undefined` means unlimited. */
    describe(): Readonly<Record<string, number | undefined>> {
        const { inTime, late } = this.allotment;
        return {
            allottedInTime: Number.isFinite(inTime) ? inTime : undefined,
            allottedLate: Number.isFinite(late) ? late : undefined,
        };
    }

    /** Whether a call may take a slot. */
    mayAdmit(isLate: boolean): boolean {
        return (isLate ? this.allotment.late : this.allotment.inTime) > 0;
    }

    /** Counts a call that took a slot against the allotment. */
    recordAdmitted(isLate: boolean): void {
        this.allotment[isLate ? "late" : "inTime"] -= 1;
    }

    private allotmentFor(demand: number, share: number): number {
        // Without demand the share is infinite or NaN, which also means no limit.
        if (!(share < 1)) {
            return Infinity;
        }
        const slots = Math.max(0, share) * demand / STALENESS_REPORT_INTERVALS;
        const whole = Math.floor(slots);
        return whole + (this.random.next() < slots - whole ? 1 : 0);
    }
}

/** @returns Calls in time that wait now or arrive within the staleness of the node's view. */
function expectedInTimeCalls({ inTimeCalls, arrivalsPerSecond }: Demand, stalenessMs: number): number {
    return inTimeCalls + arrivalsPerSecond * stalenessMs / MS_PER_SECOND;
}

/** @returns Slots that are free now or become free within the staleness of the node's view, if all slots are kept occupied. */
function countAvailableSlots(servers: Iterable<ServerCapacity>, stalenessMs: number): number {
    let available = 0;
    for (const { slots, calls, callMs, allowance } of servers) {
        const allowedCalls = allowance === undefined ?
            Infinity :
            allowance.availableCalls + allowance.callsPerSecond * stalenessMs / MS_PER_SECOND;
        available += Math.max(0, Math.min(allowedCalls, slots - calls + slots * stalenessMs / callMs));
    }
    return available;
}
