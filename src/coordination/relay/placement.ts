/**
 * Choice of the backend server for one call.
 *
 * Answers unlike engines whose speeds differ several times over: a call goes where its first event comes soonest, as long as a
 * place is free there.
 *
 * @module
 */

import type { ServerState } from "./server_state.js";

/** Cost of crossing failure domains, in milliseconds of delay; bytes between domains are dear. */
const CROSS_DOMAIN_COST_MS = 25;

/** Weight of the time that a stream occupies its place against the time to its first event. */
const OCCUPANCY_WEIGHT = 0.05;

/** Share of bad calls from which on a server gets new calls only as trials. */
const MAX_FAILURE_RATE = 0.5;

/** Delay that a wholly bad server is worth, in milliseconds; spreads calls away from a server that fails some. */
const FAILURE_RATE_COST_MS = 400;

/** Spread of choices for each node of the fleet, in milliseconds, so that nodes that know the same do not all choose the same. */
const JITTER_MS_PER_NODE = 1;

/** Largest spread, in milliseconds; servers that differ by more are not equally good. */
const MAX_JITTER_MS = 100;

/** Delay that an answer which surely comes after its deadline is worth, in milliseconds. */
const MISSED_DEADLINE_COST_MS = 1_000;

/** Slope of the chance to finish over the logarithm of the time needed; callers' estimates err by half on average. */
const DURATION_ESTIMATE_SCALE = 0.28;

/** What is placed. */
export interface PlacementRequest {
    readonly promptTokens: number;
    /** Events that the answer is expected to have. */
    readonly expectedEvents: number;
    /** Failure domain of the node. */
    readonly failureDomain: string;
    /** Servers to which the call was sent before. */
    readonly excluded: ReadonlySet<string>;
    /** Server that holds the call's prompt in its cache, as far as is known. */
    readonly cachedAt: string | undefined;
    /** Time that the caller still waits, in milliseconds. */
    readonly leftMs: number;
}

/** Spread of choices among nodes that know the same. */
export interface PlacementJitter {
    /** Nodes that send calls, this one included. */
    readonly nodeCount: number;
    /** Returns a random number from 0 to 1. */
    readonly next: () => number;
}

/** Choice among servers. */
export interface PlacementChoice {
    readonly state: ServerState;
    /** Whether the call tries out a server that has not worked of late. */
    readonly isTrial: boolean;
}

/**
 * Chooses a server with a free place.
 *
 * @param servers Servers of the service that may be chosen.
 * @param call What is placed.
 * @param jitter See {@linkcode PlacementJitter}.
 * @returns `undefined` when no place is free.
 */
export function chooseServer(
    servers: readonly ServerState[],
    call: PlacementRequest,
    jitter: PlacementJitter,
): PlacementChoice | undefined {
    const isWorseThanHalf = isMajorityFailing(servers);
    const spreadMs = Math.min(MAX_JITTER_MS, jitter.nodeCount * JITTER_MS_PER_NODE);
    let best: PlacementChoice | undefined;
    let bestCost = Infinity;
    for (const server of servers) {
        if (call.excluded.has(server.server.id) || server.isSuspended || server.allCalls >= server.server.slots) {
            continue;
        }
        const isDoubtful = server.isUnresponsive || server.failureRate >= MAX_FAILURE_RATE && !isWorseThanHalf;
        if (isDoubtful) {
            if (server.isTrialDue && best === undefined) {
                best = { state: server, isTrial: true };
            }
            continue;
        }
        const cost = placementCost(server, call) + jitter.next() * spreadMs;
        if (cost < bestCost) {
            bestCost = cost;
            best = { state: server, isTrial: false };
        }
    }
    return best;
}

/** @returns Whether so many servers fail that the fault is not theirs alone and none is worth avoiding. */
function isMajorityFailing(servers: readonly ServerState[]): boolean {
    let bad = 0;
    for (const server of servers) {
        bad += server.failureRate >= MAX_FAILURE_RATE ? 1 : 0;
    }
    return bad * 2 > servers.length;
}

function placementCost(server: ServerState, call: PlacementRequest): number {
    const isCached = call.cachedAt === server.server.id;
    const firstEventMs = server.expectedFirstEventMs(isCached ? 0 : call.promptTokens);
    const occupiedMs = call.expectedEvents * server.msPerEvent;
    const domainMs = server.server.failureDomain === call.failureDomain ? 0 : CROSS_DOMAIN_COST_MS;
    const unfinishedMs = MISSED_DEADLINE_COST_MS * deadlineMissProbability((firstEventMs + occupiedMs) / call.leftMs);
    return firstEventMs + occupiedMs * OCCUPANCY_WEIGHT + unfinishedMs + domainMs + server.failureRate * FAILURE_RATE_COST_MS;
}

/**
 * @param needed Time that an answer is expected to need against the time that its caller waits.
 * @returns Chance that it comes after the deadline, from 0 to 1.
 */
function deadlineMissProbability(needed: number): number {
    return needed > 0 ? 1 / (1 + needed ** (-1 / DURATION_ESTIMATE_SCALE)) : 0;
}
