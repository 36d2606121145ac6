/**
 * Calls that wait for a backend server, in the order in which they are served.
 *
 * @module
 */

/** Place of a waiting call. */
export interface WaitingOrder {
    /** Rank of the workspace; 0 first. */
    readonly workspaceRank: number;
    /** Rank of the route; 0 first. */
    readonly routeRank: number;
    readonly inTimeUntilMs: number;
    readonly arrivedAtMs: number;
}

/**
 * Compares two waiting calls: those that can be in time before late ones, then by rank of the workspace and of the route, then
 * by arrival. Among late calls the newest goes first, since its caller is the least likely to leave before it is answered.
 *
 * @param nowMs Time of the comparison, in milliseconds since the Unix epoch.
 * @returns Negative when `left` goes first.
 */
export function compareWaiting(left: WaitingOrder, right: WaitingOrder, nowMs: number): number {
    const isLeftLate = left.inTimeUntilMs < nowMs;
    const isRightLate = right.inTimeUntilMs < nowMs;
    if (isLeftLate !== isRightLate) {
        return isLeftLate ? 1 : -1;
    }
    if (left.workspaceRank !== right.workspaceRank) {
        return left.workspaceRank - right.workspaceRank;
    }
    if (left.routeRank !== right.routeRank) {
        return left.routeRank - right.routeRank;
    }
    return isLeftLate ? right.arrivedAtMs - left.arrivedAtMs : left.arrivedAtMs - right.arrivedAtMs;
}
