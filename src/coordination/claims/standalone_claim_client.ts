/**
 * Claim client for a node without peers.
 *
 * @module
 */

import { ClaimClient, ClaimPeerError, type claimWire } from "../../protocol/mod.js";

/** Fails every commit without sending it, so that the node appends all claims itself. */
export class StandaloneClaimClient extends ClaimClient {
    override async commit(address: string): Promise<claimWire.ClaimVerdict> {
        throw new ClaimPeerError(address, false, new Error("this node has no peers"));
    }
}
