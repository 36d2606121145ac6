/**
 * Order in which calls that wait for a backend server are dispatched.
 *
 * @module
 */

/** Properties of a waiting call that decide its priority. */
export interface CallPriority {
    /** Rank of the workspace; 0 is the highest priority. */
    readonly workspaceRank: number;
    /** Rank of the route; 0 is the highest priority. */
    readonly routeRank: number;
    /** Time after which the call is late, in milliseconds since the Unix epoch. */
    readonly inTimeUntilMs: number;
    /** Arrival, in milliseconds since the Unix epoch. */
    readonly arrivedAtMs: number;
    /** Whether the caller was refused before and retries as it was asked to. */
    readonly isCallerRetry: boolean;
}

/**
 * Compares two waiting calls. Calls in time come first, then late calls whose callers retry after a refusal, then other late calls.
 * Ties are broken by the rank of the workspace, then of the route, then newest first (LIFO). Under overload the newest call is the
 * most likely to be in time and its caller the least likely to disconnect; in FIFO order all calls would be late.
 *
 * @param nowMs Current time, in milliseconds since the Unix epoch.
 * @returns A negative number if `left` is dispatched first.
 */
export function comparePriority(left: CallPriority, right: CallPriority, nowMs: number): number {
    return latenessClass(left, nowMs) - latenessClass(right, nowMs) ||
        left.workspaceRank - right.workspaceRank ||
        left.routeRank - right.routeRank ||
        right.arrivedAtMs - left.arrivedAtMs;
}

/** @returns 0 for a call in time, 1 for a late call of a retrying caller, 2 for another late call. */
function latenessClass(call: CallPriority, nowMs: number): number {
    if (call.inTimeUntilMs >= nowMs) {
        return 0;
    }
    return call.isCallerRetry ? 1 : 2;
}
