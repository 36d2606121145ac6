/**
 * Records of completed calls for logs and metrics.
 *
 * @module
 */

import type { RelayCall } from "../../protocol/relay/mod.js";
import type { RelayRoute, RelayWorkspace } from "../../state/relay/mod.js";

/** Final outcome of a call. */
export enum RelayOutcome {
    /** The caller received a backend server's complete answer, whether a success or that server's own error. */
    Answered = "answered",
    /** The node refused the call, which was not run. */
    Refused = "refused",
    /** No backend server answered, or the node cannot tell whether the call ran. */
    Failed = "failed",
    /** The stream to the caller was cut off before its last event. */
    BrokenOff = "brokenOff",
    /** The caller disconnected. */
    CallerGone = "callerGone",
}

/** Times of the steps of a call, in milliseconds since its arrival. */
export interface CallTimes {
    /** When the first attempt was sent. */
    sentMs: number | undefined;
    /** When the first event of a stream or the complete answer was received. */
    firstMs: number | undefined;
    endMs: number;
}

/** Slot that an attempt of a call took, with the figures behind the choice. */
export interface PlacementRecord {
    readonly server: string;
    /** Expected time to the first event, in milliseconds. */
    readonly expectedMs: number;
    /** Calls of this node in flight at the server, including this one. */
    readonly ownCalls: number;
    /** Calls of other nodes in flight at the server, as last reported. */
    readonly peerCalls: number;
    /** Time from the call's arrival until the slot was reserved, in milliseconds. */
    readonly waitedMs: number;
}

/** Peer to which a call was handed, and how that ended. */
export interface DetourRecord {
    readonly peer: string;
    readonly outcome: string;
}

/** Record of a completed call. */
export interface CallRecord {
    readonly call: RelayCall;
    readonly route: RelayRoute | undefined;
    readonly workspace: RelayWorkspace | undefined;
    readonly configurationVersion: number;
    /** Whether a peer handed the call to this node, which then also records it. */
    readonly isDetour: boolean;
    readonly outcome: RelayOutcome;
    /** HTTP status that the caller received; 0 for none. */
    readonly status: number;
    /** Reason for an outcome other than `Answered`; otherwise empty. */
    readonly reason: string;
    /** Placements of the call's attempts, in order. */
    readonly placements: readonly PlacementRecord[];
    /** Peers to which the call was handed, in order. */
    readonly detours: readonly DetourRecord[];
    readonly times: CallTimes;
}

/** Receives records of completed calls and events of calls in progress. */
export abstract class CallRecorder {
    /** Records a completed call. */
    abstract record(record: CallRecord): void;
    /** Logs an event of a call in progress, such as a failed attempt. */
    abstract logEvent(callId: string, text: string, detail: Readonly<Record<string, unknown>>): void;
    /** Logs an error inside the node that ended a call. */
    abstract logError(callId: string, error: unknown): void;
}
