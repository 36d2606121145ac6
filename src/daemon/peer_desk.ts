/**
 * Answers of a daemon to other daemons.
 *
 * @module
 */

import { PeerHandler, type wire } from "../protocol/mod.js";
import type { EntryNode } from "./entry_node.js";

/** Answers other daemons from the state of the daemon. */
export class PeerDesk extends PeerHandler {
    /** @param node Node that answers. */
    constructor(private readonly node: EntryNode) {
        super();
    }

    override async probe(request: wire.ProbeRequest): Promise<wire.ProbeReply> {
        this.node.hybridClock.observe({ wallMs: request.wallMs, counter: request.counter });
        const time = this.node.hybridClock.tick();
        return { node: this.node.settings.node, ...time, configurationVersion: this.node.view.published.version };
    }
}
