/**
 * Claim service for peers and operators.
 *
 * @module
 */

import { UnknownCalls } from "../coordination/mod.js";
import { ClaimHandler, type claimWire } from "../protocol/mod.js";
import type { EntryNode } from "./entry_node.js";

/** Names that a claim stream may have. */
const CLAIM_STREAM_PATTERN = /^claims-(minute|undated)-\d{1,12}$/;

/** Appends claim entries of other nodes to the log, and lists the calls whose outcome is unknown. */
export class ClaimService extends ClaimHandler {
    private readonly unknownCalls: UnknownCalls;

    /** @param node Node whose claim streams and log are used. */
    constructor(private readonly node: EntryNode) {
        super();
        this.unknownCalls = new UnknownCalls({ ...node.settings, ring: node.ring, members: node });
    }

    override async commit({ stream, entry, waitMs }: claimWire.CommitClaimRequest): Promise<claimWire.ClaimVerdict> {
        if (entry === undefined || !CLAIM_STREAM_PATTERN.test(stream)) {
            throw new Error(`Cannot commit claim: stream "${stream}" is no claim stream, or the entry is missing`);
        }
        return this.node.guard.streams.open(stream).submit(entry, this.node.settings.clock.now() + waitMs);
    }

    override async listUnknown({ sinceMs }: claimWire.ListUnknownRequest): Promise<claimWire.ListUnknownReply> {
        return { calls: await this.unknownCalls.list(sinceMs) };
    }
}
