/**
 * Link between the nodes of the relay.
 *
 * @module
 */

import type { PeerReport } from "../gen/relay.js";

/** Sends reports to peers without waiting for an answer. */
export abstract class PeerLink {
    /** Sends a report to each address. */
    abstract send(report: PeerReport, addresses: Iterable<string>): void;
}
