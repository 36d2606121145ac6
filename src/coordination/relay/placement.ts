/**
 * Choice of the backend server for one call.
 *
 * Speeds of engines differ several times over, so a call is sent to the server with a free slot at which its first event is expected
 * soonest, adjusted for the other costs below.
 *
 * @module
 */

import type { ServerState } from "./server_state.js";

/** Cost of crossing failure domains, as a delay in milliseconds; traffic between domains is expensive. */
const CROSS_DOMAIN_COST_MS = 25;

/** Weight of the time for which a stream occupies its slot, relative to the time to its first event. */
const OCCUPANCY_WEIGHT = 0.05;

/** Failure rate at and above which a server gets new calls only as trials. */
const MAX_FAILURE_RATE = 0.5;

/** Cost of a failure rate of 1, as a delay in milliseconds; moves calls away from a server that fails some of them. */
const FAILURE_RATE_COST_MS = 400;

/** Jitter of the cost for each node of the fleet, in milliseconds, so that nodes with the same view do not all choose the same server. */
const JITTER_MS_PER_NODE = 1;

/** Largest jitter, in milliseconds; servers whose costs differ by more are not equally good. */
const MAX_JITTER_MS = 100;

/** Cost of an answer that is certain to miss its deadline, as a delay in milliseconds. */
const MISSED_DEADLINE_COST_MS = 1_000;

/**
 * Scale of the logistic deadline-miss probability over the logarithm of the expected duration; callers' estimates are off by half on
 * average.
 */
const DURATION_ESTIMATE_SCALE = 0.28;

/** Call for which a server is chosen. */
export interface PlacementRequest {
    readonly promptTokens: number;
    /** Expected number of events of the answer. */
    readonly expectedEvents: number;
    /** Failure domain of this node. */
    readonly failureDomain: string;
    /** Servers at which earlier attempts of the call failed. */
    readonly excludedServers: ReadonlySet<string>;
    /** Server that probably has the call's prompt in its cache. */
    readonly cachedServer: string | undefined;
    /** Time that the caller still waits, in milliseconds. */
    readonly remainingMs: number;
}

/** Jitter that spreads the choices of nodes with the same view. */
export interface PlacementJitter {
    /** Nodes that send calls, including this one. */
    readonly nodeCount: number;
    /** Returns a random number between 0 and 1. */
    readonly next: () => number;
}

/** Chosen server. */
export interface PlacementChoice {
    readonly state: ServerState;
    /** Whether the call is a trial of a server that is unresponsive or has failed recently. */
    readonly isTrial: boolean;
}

/**
 * Chooses the healthy server with a free slot, a call left by its limit, and the lowest cost. If there is none, an unhealthy server that
 * is due for a trial is chosen.
 *
 * @param servers Servers of the service that may be chosen.
 * @param call Call for which a server is chosen.
 * @param jitter See {@linkcode PlacementJitter}.
 * @returns `undefined` if no server may take the call.
 */
export function chooseServer(
    servers: readonly ServerState[],
    call: PlacementRequest,
    jitter: PlacementJitter,
): PlacementChoice | undefined {
    const isMajorityBad = isMajorityFailing(servers);
    const jitterMs = Math.min(MAX_JITTER_MS, jitter.nodeCount * JITTER_MS_PER_NODE);
    let best: PlacementChoice | undefined;
    let bestCost = Infinity;
    for (const server of servers) {
        if (call.excludedServers.has(server.server.id) || server.isSuspended || server.isFull) {
            continue;
        }
        const isUnhealthy = server.isUnresponsive || server.failureRate >= MAX_FAILURE_RATE && !isMajorityBad;
        if (isUnhealthy) {
            if (server.isTrialDue && best === undefined) {
                best = { state: server, isTrial: true };
            }
            continue;
        }
        const cost = placementCost(server, call) + jitter.next() * jitterMs;
        if (cost < bestCost) {
            bestCost = cost;
            best = { state: server, isTrial: false };
        }
    }
    return best;
}

/** @returns Whether more than half of the servers are failing, so that the fault is not theirs alone and none is worth avoiding. */
function isMajorityFailing(servers: readonly ServerState[]): boolean {
    let failing = 0;
    for (const server of servers) {
        failing += server.failureRate >= MAX_FAILURE_RATE ? 1 : 0;
    }
    return failing * 2 > servers.length;
}

/** @returns Cost of sending a call to a server, as a delay in milliseconds. */
function placementCost(server: ServerState, call: PlacementRequest): number {
    const isCached = call.cachedServer === server.server.id;
    const firstEventMs = server.expectedFirstEventMs(isCached ? 0 : call.promptTokens);
    const occupiedMs = call.expectedEvents * server.msPerEvent;
    const domainMs = server.server.failureDomain === call.failureDomain ? 0 : CROSS_DOMAIN_COST_MS;
    const missedDeadlineMs = MISSED_DEADLINE_COST_MS * deadlineMissProbability((firstEventMs + occupiedMs) / call.remainingMs);
    return firstEventMs + occupiedMs * OCCUPANCY_WEIGHT + missedDeadlineMs + domainMs + server.failureRate * FAILURE_RATE_COST_MS;
}

/**
 * @param relativeDuration Expected duration of an answer divided by the time that its caller still waits.
 * @returns Probability that the answer misses its deadline, from 0 to 1.
 */
function deadlineMissProbability(relativeDuration: number): number {
    return relativeDuration > 0 ? 1 / (1 + relativeDuration ** (-1 / DURATION_ESTIMATE_SCALE)) : 0;
}
