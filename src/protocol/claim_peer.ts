/**
 * Calls between daemons, and of operators, about run-once claims.
 *
 * @module
 */

import type { ClaimVerdict, CommitClaimRequest, ListUnknownReply, ListUnknownRequest } from "./gen/claims.js";
import { PeerError } from "./peer.js";

/** Call to a combiner that failed. */
export class ClaimPeerError extends PeerError {
    override readonly name: string = "ClaimPeerError";

    /**
     * @param peer Address of the daemon.
     * @param sent Whether the call can have reached the daemon.
     * @param cause Error underneath.
     */
    constructor(peer: string, readonly sent: boolean, cause: unknown) {
        super("commit claim", peer, cause);
    }
}

/** Connection to the combiners of other daemons. */
export abstract class ClaimClient {
    /**
     * Asks a daemon to bring an entry into the log.
     *
     * @param address IP number and port of the daemon.
     * @param request Entry and its stream.
     * @param timeoutMs Longest time to wait, in milliseconds.
     * @throws {ClaimPeerError} When no answer came in time; if the call was sent, the entry can stand in the log all the same.
     */
    abstract commit(address: string, request: CommitClaimRequest, timeoutMs: number): Promise<ClaimVerdict>;
}

/** Answers calls about claims. */
export abstract class ClaimHandler {
    /** Brings an entry of another daemon into the log. */
    abstract commit(request: CommitClaimRequest): Promise<ClaimVerdict>;

    /** Lists calls whose outcome nobody recorded. */
    abstract listUnknown(request: ListUnknownRequest): Promise<ListUnknownReply>;
}
