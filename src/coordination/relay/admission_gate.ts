/**
 * Share of the free places that one of many nodes may take.
 *
 * Answers bursts that many nodes see at once: what they know of each other is a fraction of a second old, so if each of them took
 * every place that looks free, calls would pile up at the engines, which know no priorities.
 *
 * @module
 */

import type { RandomSource } from "../../state/relay/mod.js";

/** Reports in which what nodes know of each other grows old: one on its way, one until the next. */
const STALENESS_REPORT_INTERVALS = 2;

/** Part of the places that is given out; the rest covers calls that no report holds yet. */
const ALLOTTED_FRACTION = 0.8;

/** Milliseconds in a second. */
const MS_PER_SECOND = 1_000;

/** Calls of a service that ask for places. */
export interface Demand {
    /** Waiting calls that can still be in time. */
    readonly inTimeCalls: number;
    /** Waiting calls that are late. */
    readonly lateCalls: number;
    /** Calls that arrive in time. */
    readonly arrivalsPerSecond: number;
}

/** Adds up demands of the same service. */
export function sumDemands(demands: Iterable<Demand>): Demand {
    let inTimeCalls = 0;
    let lateCalls = 0;
    let arrivalsPerSecond = 0;
    for (const demand of demands) {
        inTimeCalls += demand.inTimeCalls;
        lateCalls += demand.lateCalls;
        arrivalsPerSecond += demand.arrivalsPerSecond;
    }
    return { inTimeCalls, lateCalls, arrivalsPerSecond };
}

/** Places of one server that come free. */
export interface ServerCapacity {
    readonly slots: number;
    /** Calls under way there, as far as is known. */
    readonly calls: number;
    /** Time that a call takes there, in milliseconds. */
    readonly callMs: number;
}

/** Places that this node may take until the next allotment. */
interface Allotment {
    inTime: number;
    late: number;
}

/**
 * Takes part of the fleet's places for this node: as large as its part of the fleet's demand, calls in time first. What calls in
 * time have not used goes to late ones in the next interval.
 */
export class AdmissionGate {
    private allotment: Allotment = { inTime: Infinity, late: Infinity };
    private allottedAtMs = -Infinity;
    private isSaturated = false;

    /**
     * @param random Source for rounding, so that small parts are not lost.
     * @param reportIntervalMs Returns the time between the nodes' reports, in milliseconds; places are allotted as often.
     */
    constructor(private readonly random: RandomSource, private readonly reportIntervalMs: () => number) {}

    /** Whether the next allotment is due. */
    isDue(nowMs: number): boolean {
        return nowMs - this.allottedAtMs >= this.reportIntervalMs();
    }

    /**
     * Allots places until the next time.
     *
     * @param nowMs Time in milliseconds.
     * @param own Demand of this node.
     * @param peers Demand of all other nodes.
     * @param servers Servers that take calls.
     */
    allot(nowMs: number, own: Demand, peers: Demand, servers: Iterable<ServerCapacity>): void {
        this.allottedAtMs = nowMs;
        const ageMs = STALENESS_REPORT_INTERVALS * this.reportIntervalMs();
        const places = ALLOTTED_FRACTION * countAvailableSlots(servers, ageMs);
        const ownInTime = expectedInTimeCalls(own, ageMs);
        const allInTime = ownInTime + expectedInTimeCalls(peers, ageMs);
        const allLate = own.lateCalls + peers.lateCalls;
        this.isSaturated = places <= allInTime;
        const unused = this.allotment.inTime === Infinity ? 0 : this.allotment.inTime;
        this.allotment = {
            inTime: this.allotmentFor(ownInTime, places / allInTime),
            late: this.allotmentFor(own.lateCalls, (places - allInTime) / allLate) + unused,
        };
    }

    /** Whether calls in time ask for all places, so that late ones get none. */
    get rejectsLateCalls(): boolean {
        return this.isSaturated;
    }

    /** Describes what decides whether calls may take places, for logs; `undefined` stands for no limit. */
    describe(): Readonly<Record<string, number | undefined>> {
        const { inTime, late } = this.allotment;
        return {
            allottedInTime: Number.isFinite(inTime) ? inTime : undefined,
            allottedLate: Number.isFinite(late) ? late : undefined,
        };
    }

    /** Whether a call may take a place. */
    mayAdmit(isLate: boolean): boolean {
        return (isLate ? this.allotment.late : this.allotment.inTime) > 0;
    }

    /** Counts a call that took a place. */
    recordAdmitted(isLate: boolean): void {
        this.allotment[isLate ? "late" : "inTime"] -= 1;
    }

    private allotmentFor(demand: number, share: number): number {
        // Also without any demand there is no limit: the share is then infinite or not a number.
        if (!(share < 1)) {
            return Infinity;
        }
        const places = Math.max(0, share) * demand / STALENESS_REPORT_INTERVALS;
        const whole = Math.floor(places);
        return whole + (this.random.next() < places - whole ? 1 : 0);
    }
}

/** @returns Calls in time that ask for places while what is known grows old. */
function expectedInTimeCalls({ inTimeCalls, arrivalsPerSecond }: Demand, ageMs: number): number {
    return inTimeCalls + arrivalsPerSecond * ageMs / MS_PER_SECOND;
}

/** @returns Places that are free or come free while what is known grows old, if all are taken. */
function countAvailableSlots(servers: Iterable<ServerCapacity>, ageMs: number): number {
    let places = 0;
    for (const { slots, calls, callMs } of servers) {
        places += Math.max(0, slots - calls + slots * ageMs / callMs);
    }
    return places;
}
