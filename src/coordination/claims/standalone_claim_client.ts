/**
 * Claim connections of a node that runs alone.
 *
 * @module
 */

import { ClaimClient, ClaimPeerError, type claimWire } from "../../protocol/mod.js";

/** Reaches no other daemon, so that the node appends all claims by itself. */
export class StandaloneClaimClient extends ClaimClient {
    override async commit(address: string): Promise<claimWire.ClaimVerdict> {
        throw new ClaimPeerError(address, false, new Error("this node has no connections to others"));
    }
}
