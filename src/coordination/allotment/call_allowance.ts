/**
 * What a limit on the calls of all nodes leaves of a server.
 *
 * @module
 */

/** Rate of calls to a server, and the calls that may be sent now. */
export interface CallAllowance {
    readonly callsPerSecond: number;
    readonly availableCalls: number;
}
