/**
 * What became of a call, for logs and metrics.
 *
 * @module
 */

import type { RelayCall } from "../../protocol/relay/mod.js";
import type { RelayRoute, RelayWorkspace } from "../../state/relay/mod.js";

/** Final outcome of a call. */
export enum RelayOutcome {
    /** The caller got a backend server's whole answer, be it a success or a failure of that server's own. */
    Answered = "answered",
    /** The node refused the call: it has not run. */
    Refused = "refused",
    /** The node could not tell what became of the call, or no backend server answered. */
    Failed = "failed",
    /** A stream ended before its last event. */
    BrokenOff = "brokenOff",
    /** The caller left. */
    CallerGone = "callerGone",
}

/** Steps of a call in time, in milliseconds since its arrival. */
export interface CallTimes {
    /** First attempt sent. */
    sentMs: number | undefined;
    /** First event of a stream or whole answer. */
    firstMs: number | undefined;
    endMs: number;
}

/** Place that a call got, with what decided it. */
export interface PlacementRecord {
    readonly server: string;
    /** Time to the first event that was expected, in milliseconds. */
    readonly expectedMs: number;
    /** Calls of this node at the server, this one included. */
    readonly ownCalls: number;
    /** Calls of other nodes at the server as they last reported. */
    readonly peerCalls: number;
    /** Time that the call had waited, in milliseconds. */
    readonly waitedMs: number;
}

/** Call that ended. */
export interface CallRecord {
    readonly call: RelayCall;
    readonly route: RelayRoute | undefined;
    readonly workspace: RelayWorkspace | undefined;
    readonly configurationVersion: number;
    readonly outcome: RelayOutcome;
    /** Status that the caller got, 0 for none. */
    readonly status: number;
    /** Sentence that says why the outcome was not `Answered`. */
    readonly reason: string;
    /** Places of the call's attempts, in order. */
    readonly places: readonly PlacementRecord[];
    readonly times: CallTimes;
}

/** Receives calls that ended. */
export abstract class CallRecorder {
    abstract record(record: CallRecord): void;
    /** Takes a decision about a call under way, such as a retry. */
    abstract logEvent(callId: string, text: string, detail: Readonly<Record<string, unknown>>): void;
}
