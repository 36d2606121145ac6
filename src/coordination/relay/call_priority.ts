/**
 * Calls that wait for a backend server, in the order in which they are served.
 *
 * @module
 */

/** Place of a waiting call. */
export interface CallPriority {
    /** Rank of the workspace; 0 first. */
    readonly workspaceRank: number;
    /** Rank of the route; 0 first. */
    readonly routeRank: number;
    readonly inTimeUntilMs: number;
    readonly arrivedAtMs: number;
    /** Whether the caller was refused before and has come back as it was asked to. */
    readonly hasReturned: boolean;
}

/**
 * Compares two waiting calls: those that can be in time first, then late ones whose callers were refused before and have come
 * back, then other late ones; then by rank of the workspace and of the route; then the newest first. When not all can be served,
 * the newest is the most likely to be in time, and its caller the least likely to leave; served by age, all would be late.
 *
 * @param nowMs Time of the comparison, in milliseconds since the Unix epoch.
 * @returns Negative when `left` goes first.
 */
export function comparePriority(left: CallPriority, right: CallPriority, nowMs: number): number {
    return latenessClass(left, nowMs) - latenessClass(right, nowMs) ||
        left.workspaceRank - right.workspaceRank ||
        left.routeRank - right.routeRank ||
        right.arrivedAtMs - left.arrivedAtMs;
}

function latenessClass(call: CallPriority, nowMs: number): number {
    if (call.inTimeUntilMs >= nowMs) {
        return 0;
    }
    return call.hasReturned ? 1 : 2;
}
