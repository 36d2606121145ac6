/**
 * Reports of each node to every other, for small fleets.
 *
 * @module
 */

import { type PeerReport, ReportScope } from "../../protocol/relay/mod.js";
import type { Clock } from "../../state/relay/mod.js";
import type { NodeDirectory } from "./node_directory.js";
import { type OutgoingReport, ReportExchange } from "./report_exchange.js";

/** Time between reports, in milliseconds; a tenth of a typical call's time at an engine. */
const REPORT_INTERVAL_MS = 200;

/** Most datagrams a second to nodes of other failure domains, to which bytes are dear. */
const MAX_REMOTE_REPORTS_PER_SECOND = 40;

/** Milliseconds in a second. */
const MS_PER_SECOND = 1_000;

/** Sends this node's report to all: each time within the failure domain, more rarely to others. */
export class MeshExchange extends ReportExchange {
    override readonly intervalMs = REPORT_INTERVAL_MS;
    private remoteSentAtMs = 0;

    /**
     * @param clock Clock that paces reports to other failure domains.
     * @param directory Addresses of the nodes.
     */
    constructor(private readonly clock: Clock, private readonly directory: NodeDirectory) {
        super();
    }

    override receive(report: PeerReport): readonly PeerReport[] {
        return report.scope === ReportScope.NODE ? [report] : [];
    }

    override takeSuperseded(): readonly string[] {
        return [];
    }

    override prepareReports(own: PeerReport): readonly OutgoingReport[] {
        const addresses = [...this.directory.localAddresses()];
        const far = this.directory.remoteAddresses();
        if (this.clock.now() - this.remoteSentAtMs >= far.length * MS_PER_SECOND / MAX_REMOTE_REPORTS_PER_SECOND) {
            this.remoteSentAtMs = this.clock.now();
            addresses.push(...far);
        }
        return [{ report: own, receivers: addresses.map(address => ({ address })) }];
    }
}
