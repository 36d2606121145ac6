/**
 * Client for handing calls to other nodes, which send them to the backend servers.
 *
 * @module
 */

import type { DetourCall } from "../gen/relay.js";
import type { AttemptAnswer } from "./relay_client.js";

/** Other node that may take a call. */
export interface DetourPeer {
    readonly node: string;
    /** Address of its port for other nodes. */
    readonly address: string;
}

/** Hands calls to other nodes. */
export abstract class DetourClient {
    /**
     * Hands a call to a peer. A backend server's answer has its seal; an answer without one is the peer's own, and states in its status
     * that the peer reaches no server of the service (421), that the call did not run (503), or that it may have run.
     *
     * @param signal Cancels the call at the peer when aborted.
     * @param maySend Returns whether the call may still be written to a connection that has just been opened.
     */
    abstract send(peer: DetourPeer, call: DetourCall, signal: AbortSignal, maySend: () => boolean): AttemptAnswer;
}
