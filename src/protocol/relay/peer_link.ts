/**
 * Link between the nodes of the relay.
 *
 * @module
 */

import type { PeerReport } from "../gen/relay.js";

/** Node to which a report is sent. */
export interface ReportReceiver {
    readonly address: string;
    /** Part of the figures that is the receiver's own. */
    readonly ownPart?: PeerReport;
}

/** Sends reports to peers without waiting for an answer. */
export abstract class PeerLink {
    /** Sends a report to each receiver. */
    abstract send(report: PeerReport, receivers: Iterable<ReportReceiver>): void;
}
