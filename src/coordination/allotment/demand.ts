/**
 * Demand of the nodes for the slots of a service.
 *
 * @module
 */

/** Age of a node's view of its peers, in report intervals: one for the report in transit and one until the next report. */
export const STALENESS_REPORT_INTERVALS = 2;

/** Demand for the slots of a service. */
export interface Demand {
    /** Waiting calls that can still meet their latency objective. */
    readonly inTimeCalls: number;
    /** Waiting calls that are late. */
    readonly lateCalls: number;
    /** Arrival rate of calls that can still meet their latency objective. */
    readonly arrivalsPerSecond: number;
    /** As `inTimeCalls` and `arrivalsPerSecond`, of calls beyond the share of their workspace, which those do not include; 0 by default. */
    readonly aboveShareCalls?: number;
    readonly aboveShareArrivalsPerSecond?: number;
}

/** Adds up the demands of several nodes for the same service. */
export function sumDemands(demands: Iterable<Demand>): Demand {
    let inTimeCalls = 0;
    let lateCalls = 0;
    let arrivalsPerSecond = 0;
    let aboveShareCalls = 0;
    let aboveShareArrivalsPerSecond = 0;
    for (const demand of demands) {
        inTimeCalls += demand.inTimeCalls;
        lateCalls += demand.lateCalls;
        arrivalsPerSecond += demand.arrivalsPerSecond;
        aboveShareCalls += demand.aboveShareCalls ?? 0;
        aboveShareArrivalsPerSecond += demand.aboveShareArrivalsPerSecond ?? 0;
    }
    return { inTimeCalls, lateCalls, arrivalsPerSecond, aboveShareCalls, aboveShareArrivalsPerSecond };
}

/** Demand for a service at this node and at all others. */
export interface ServiceDemands {
    readonly own: Demand;
    readonly peers: Demand;
}
