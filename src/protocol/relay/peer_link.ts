/**
 * Transport of load reports between the nodes of the relay.
 *
 * @module
 */

import type { PeerReport } from "../gen/relay.js";

/** Recipient of a report. */
export interface ReportReceiver {
    readonly address: string;
    /** The receiver's own share of the report's figures, which it subtracts. */
    readonly ownPart?: PeerReport;
}

/** Sends reports to peers without waiting for acknowledgements. */
export abstract class PeerLink {
    /** Sends a report to each receiver. */
    abstract send(report: PeerReport, receivers: Iterable<ReportReceiver>): void;
}
