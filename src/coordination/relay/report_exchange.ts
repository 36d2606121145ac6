/**
 * Strategy that decides which reports are sent to which nodes, and which received reports are counted.
 *
 * @module
 */

import type { PeerReport, ReportReceiver } from "../../protocol/relay/mod.js";

/** Report and its receivers. */
export interface OutgoingReport {
    readonly report: PeerReport;
    readonly receivers: readonly ReportReceiver[];
}

/** Topology over which reports are exchanged. */
export abstract class ReportExchange {
    /** Report interval, in milliseconds. */
    abstract readonly intervalMs: number;

    /**
     * Handles a received report.
     *
     * @returns Reports whose figures are to be counted as those of peers.
     */
    abstract receive(report: PeerReport): readonly PeerReport[];

    /** Returns and clears the names of peers whose figures must no longer be counted. */
    abstract takeSuperseded(): readonly string[];

    /**
     * Returns the reports to send now.
     *
     * @param ownReport Report with the figures of this node alone.
     */
    abstract prepareReports(ownReport: PeerReport): readonly OutgoingReport[];
}
