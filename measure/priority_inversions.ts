/**
 * Detection of priority inversions between tiers, shared by tests and experiments.
 *
 * @module
 */

import { Departure, type QueueRecord } from "./decision_history.js";

/** Time after a shed within which the dispatch of a lower-tier call counts as concurrent with it, in milliseconds. */
const CONCURRENT_DISPATCH_WINDOW_MS = 100;

/** Higher-tier call that was shed although a lower-tier call was still waiting or was dispatched. */
export interface PriorityInversion {
    readonly shed: QueueRecord;
    readonly lowerTier: QueueRecord;
    readonly reason: "still waiting" | "dispatched beside" | "went ahead";
}

/**
 * Finds the calls that were shed although a lower-tier call of the same pool, on any node, was still waiting or was dispatched.
 *
 * A shed is an inversion when a lower-tier call is still waiting after it, when one is dispatched within
 * `CONCURRENT_DISPATCH_WINDOW_MS` after it, or, for a call that was shed as late, when one was dispatched while it waited.
 *
 * @param records Complete history of all nodes.
 */
export function findPriorityInversions(records: readonly QueueRecord[]): readonly PriorityInversion[] {
    const inversions: PriorityInversion[] = [];
    for (const shed of records) {
        if (shed.departure !== Departure.Shed && shed.departure !== Departure.Late) {
            continue;
        }
        for (const other of records) {
            const reason = other.pool === shed.pool && other.rank > shed.rank ? findInversionReason(shed, other) : undefined;
            if (reason !== undefined) {
                inversions.push({ shed, lowerTier: other, reason });
                break;
            }
        }
    }
    return inversions;
}

function findInversionReason(shed: QueueRecord, lower: QueueRecord): PriorityInversion["reason"] | undefined {
    const atMs = shed.leftAtMs;
    if (lower.arrivedAtMs <= atMs && lower.leftAtMs > atMs) {
        return "still waiting";
    }
    if (lower.departure !== Departure.Dispatched) {
        return undefined;
    }
    if (lower.leftAtMs > atMs && lower.leftAtMs <= atMs + CONCURRENT_DISPATCH_WINDOW_MS) {
        return "dispatched beside";
    }
    const wentAhead = lower.leftAtMs > shed.arrivedAtMs && lower.leftAtMs < atMs;
    return shed.departure === Departure.Late && wentAhead ? "went ahead" : undefined;
}
