/**
 * Which reports a node sends to whom, and which of those that come in count.
 *
 * @module
 */

import type { PeerReport, ReportReceiver } from "../../protocol/relay/mod.js";

/** Report with those to whom it is sent. */
export interface OutgoingReport {
    readonly report: PeerReport;
    readonly receivers: readonly ReportReceiver[];
}

/** Way in which reports travel. */
export abstract class ReportExchange {
    /** Time between reports, in milliseconds. */
    abstract readonly intervalMs: number;

    /**
     * Takes a report that came in.
     *
     * @returns Reports whose figures are to be counted as those of peers.
     */
    abstract receive(report: PeerReport): readonly PeerReport[];

    /** Names of peers whose figures must count no more. */
    abstract takeSuperseded(): readonly string[];

    /**
     * Returns what is to be sent now.
     *
     * @param own Report of this node alone.
     */
    abstract prepareReports(own: PeerReport): readonly OutgoingReport[];
}
