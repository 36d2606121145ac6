/**
 * Share of the calls to a limited server that one node takes.
 *
 * With a limit of a few calls a second, a call that may be sent is seen by all nodes at the same moment. If each of them sent one, the
 * server would get as many as there are nodes.
 *
 * @module
 */

import { type Demand, STALENESS_REPORT_INTERVALS, sumDemands } from "./demand.js";

/** Demand that is assumed at each node in addition to the reported one, in calls; a burst reaches many nodes before they report it. */
const ASSUMED_DEMAND_CALLS = 0.5;

/** Report intervals that one allotment covers at most by default; bounds the calls that many nodes send at once after a pause. */
const DEFAULT_MAX_INTERVALS = 5;

/** Milliseconds in a second. */
const MS_PER_SECOND = 1_000;

/** Demand for a service and the exchange of reports about it. */
export interface AllotmentInput {
    /** Demand at this node, and at all others. */
    readonly own: Demand;
    readonly peers: Demand;
    /** Nodes that send calls, including this one. */
    readonly nodeCount: number;
    /** Time between the nodes' reports, in milliseconds. */
    readonly intervalMs: number;
    /** Time since this node's last allotment, in milliseconds. */
    readonly elapsedMs: number;
    /** Report intervals that the allotment covers at most. */
    readonly maxIntervals?: number | undefined;
}

/**
 * Returns the share of the calls that may be sent to a server which this node takes: its share of the demand, divided by the age of the
 * nodes' views, for each interval between reports since its last allotment. A node allots only when it has a call to send.
 */
export function allottedShare(input: AllotmentInput): number {
    const { own, peers, nodeCount, intervalMs, elapsedMs, maxIntervals = DEFAULT_MAX_INTERVALS } = input;
    const stalenessMs = STALENESS_REPORT_INTERVALS * intervalMs;
    const ownCalls = countCalls(own, stalenessMs) + ASSUMED_DEMAND_CALLS;
    const allCalls = countCalls(sumDemands([own, peers]), stalenessMs) + ASSUMED_DEMAND_CALLS * nodeCount;
    const intervals = Math.min(maxIntervals, elapsedMs / intervalMs);
    return ownCalls / allCalls / STALENESS_REPORT_INTERVALS * intervals;
}

/** @returns Calls that wait now or arrive within a time. */
function countCalls(demand: Demand, durationMs: number): number {
    const { inTimeCalls, lateCalls, arrivalsPerSecond, aboveShareCalls = 0, aboveShareArrivalsPerSecond = 0 } = demand;
    const arrivals = (arrivalsPerSecond + aboveShareArrivalsPerSecond) * durationMs / MS_PER_SECOND;
    return inTimeCalls + lateCalls + aboveShareCalls + arrivals;
}
