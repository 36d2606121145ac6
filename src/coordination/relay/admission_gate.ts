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
import type { SlotClass, SlotSupply } from "./slot_forecast.js";

/** Fraction of the available slots that is allotted; the rest covers calls that no report includes yet. */
const ALLOTTED_FRACTION = 0.8;

/**
 * Fraction of all slots that calls beyond the share of their workspace leave free. A call within its share then finds a slot at once, at a
 * server that is not busy.
 */
const RESERVED_FRACTION = 0.1;

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
type Allotment = Record<SlotClass, number>;

/**
 * Allots this node a share of the fleet's slots in proportion to its share of the fleet's demand. Calls in time are allotted first, of
 * them those within the share of their workspace; what they leave unused goes to the others in the next interval.
 */
export class AdmissionGate {
    private allotment: Allotment = { inTime: Infinity, aboveShare: Infinity, late: Infinity };
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
     * @returns Basis of the allotment.
     */
    allot(nowMs: number, ownDemand: Demand, peerDemand: Demand, servers: readonly ServerCapacity[]): SlotSupply {
        this.allottedAtMs = nowMs;
        const stalenessMs = STALENESS_REPORT_INTERVALS * this.reportIntervalMs();
        const slots = ALLOTTED_FRACTION * countAvailableSlots(servers, stalenessMs);
        const ownInTime = expectedInTimeCalls(ownDemand, stalenessMs);
        const allInTime = ownInTime + expectedInTimeCalls(peerDemand, stalenessMs);
        const ownAbove = expectedAboveCalls(ownDemand, stalenessMs);
        const allAbove = ownAbove + expectedAboveCalls(peerDemand, stalenessMs);
        const allLate = ownDemand.lateCalls + peerDemand.lateCalls;
        const lentSlots = slots - allInTime - (allAbove > 0 ? RESERVED_FRACTION * countSlots(servers) : 0);
        this.isSaturated = slots <= allInTime + allAbove;
        // A slot that a call within its share leaves unused stays free for the next one while others are above theirs.
        const unused = allAbove > 0 || this.allotment.inTime === Infinity ? 0 : this.allotment.inTime;
        this.allotment = {
            inTime: this.allotmentFor(ownInTime, slots / allInTime),
            aboveShare: allAbove > 0 ? this.allotmentFor(ownAbove, lentSlots / allAbove) : Infinity,
            late: this.allotmentFor(ownDemand.lateCalls, (slots - allInTime - allAbove) / allLate) + unused,
        };
        return {
            windowMs: stalenessMs,
            inTime: { slots, peerCalls: allInTime - ownInTime },
            aboveShare: { slots: lentSlots, peerCalls: allAbove - ownAbove },
            late: { slots: slots - allInTime - allAbove, peerCalls: peerDemand.lateCalls },
        };
    }

    /** Whether calls in time need all slots, so that late calls get none. */
    get refusesLateCalls(): boolean {
        return this.isSaturated;
    }

    /** Returns the current allotment for log lines; `undefined` means unlimited. */
    describe(): Readonly<Record<string, number | undefined>> {
        const { inTime, aboveShare, late } = this.allotment;
        return {
            allottedInTime: Number.isFinite(inTime) ? inTime : undefined,
            allottedAboveShare: Number.isFinite(aboveShare) ? aboveShare : undefined,
            allottedLate: Number.isFinite(late) ? late : undefined,
        };
    }

    /** Whether a call may take a slot. */
    mayAdmit(isLate: boolean): boolean {
        return this.mayAdmitClass(isLate ? "late" : "inTime");
    }

    /** Counts a call that took a slot against the allotment. */
    recordAdmitted(isLate: boolean): void {
        this.recordAdmittedClass(isLate ? "late" : "inTime");
    }

    /** As {@linkcode mayAdmit}, where calls beyond the share of their workspace are a class of their own. */
    mayAdmitClass(slotClass: SlotClass): boolean {
        return this.allotment[slotClass] > 0;
    }

    /** As {@linkcode recordAdmitted}, by class. */
    recordAdmittedClass(slotClass: SlotClass): void {
        this.allotment[slotClass] -= 1;
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

function countSlots(servers: readonly ServerCapacity[]): number {
    return servers.reduce((sum, { slots }) => sum + slots, 0);
}

/** @returns Calls beyond the share of their workspace, as {@linkcode expectedInTimeCalls}. */
function expectedAboveCalls({ aboveShareCalls = 0, aboveShareArrivalsPerSecond = 0 }: Demand, stalenessMs: number): number {
    return aboveShareCalls + aboveShareArrivalsPerSecond * stalenessMs / MS_PER_SECOND;
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
