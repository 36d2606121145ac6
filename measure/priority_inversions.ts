/**
 * Checker for inversions of the tiers, shared by tests and experiments.
 *
 * @module
 */

import { Departure, type QueueRecord } from "./decision_history.js";

/** Time after a shed within which the dispatch of a lower tier counts as admitted beside it, in milliseconds. */
const CONCURRENT_DISPATCH_WINDOW_MS = 100;

/** Higher-tier call that was shed before a lower-tier one. */
export interface PriorityInversion {
    readonly shed: QueueRecord;
    readonly lowerTier: QueueRecord;
    readonly reason: "still waiting" | "dispatched beside" | "went ahead";
}

/**
 * Finds the calls that were shed before a lower tier on the same pool, on the same or another node.
 *
 * A shed is an inversion when a lower-tier call waits on after it, when one is dispatched just after it, and, for a call that was
 * given up as late, when one was dispatched while it waited.
 *
 * @param stays Whole history.
 */
export function findPriorityInversions(stays: readonly QueueRecord[]): readonly PriorityInversion[] {
    const inversions: PriorityInversion[] = [];
    for (const shed of stays) {
        if (shed.departure !== Departure.Shed && shed.departure !== Departure.Late) {
            continue;
        }
        for (const other of stays) {
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
    const ahead = lower.leftAtMs > shed.arrivedAtMs && lower.leftAtMs < atMs;
    return shed.departure === Departure.Late && ahead ? "went ahead" : undefined;
}
