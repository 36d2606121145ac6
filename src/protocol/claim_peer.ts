/**
 * Interfaces for calls about claims on idempotency keys, from other daemons and from operators.
 *
 * @module
 */

import type { ClaimVerdict, CommitClaimRequest, ListUnknownReply, ListUnknownRequest } from "./gen/claims.js";
import { PeerError } from "./peer.js";

/** Failure of a call to another daemon's combiner. */
export class ClaimPeerError extends PeerError {
    override readonly name: string = "ClaimPeerError";

    /**
     * @param peer Address of the daemon.
     * @param sent Whether the call may have reached the daemon.
     * @param cause Underlying error.
     */
    constructor(peer: string, readonly sent: boolean, cause: unknown) {
        super("commit a claim at", peer, cause);
    }
}

/** Client for the combiners of other daemons, which batch the appends of a claim stream. */
export abstract class ClaimClient {
    /**
     * Asks a daemon to append an entry to the log.
     *
     * @param address IP address and port of the daemon.
     * @param request Entry and its stream.
     * @param timeoutMs Timeout, in milliseconds.
     * @throws {ClaimPeerError} When no answer came in time; if the call was sent, the entry may have been appended nevertheless.
     */
    abstract commit(address: string, request: CommitClaimRequest, timeoutMs: number): Promise<ClaimVerdict>;
}

/** Handles calls about claims from other daemons and from operators. */
export abstract class ClaimHandler {
    /** Appends an entry of another daemon to the log. */
    abstract commit(request: CommitClaimRequest): Promise<ClaimVerdict>;

    /** Lists claimed calls without a recorded outcome. */
    abstract listUnknown(request: ListUnknownRequest): Promise<ListUnknownReply>;
}
