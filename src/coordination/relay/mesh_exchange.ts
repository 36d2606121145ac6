/**
 * Full-mesh exchange of reports, for small fleets.
 *
 * @module
 */

import { type PeerReport, ReportScope } from "../../protocol/relay/mod.js";
import type { Clock } from "../../state/relay/mod.js";
import type { NodeDirectory } from "./node_directory.js";
import { type OutgoingReport, ReportExchange } from "./report_exchange.js";

/** Report interval, in milliseconds; a tenth of the typical duration of a call on an engine. */
const REPORT_INTERVAL_MS = 200;

/** Maximum rate of datagrams to other failure domains, in datagrams per second; traffic between domains is expensive. */
const MAX_REMOTE_REPORTS_PER_SECOND = 40;

/** Milliseconds in a second. */
const MS_PER_SECOND = 1_000;

/** Sends this node's report to all other nodes: at every interval within its failure domain, less often to other domains. */
export class MeshExchange extends ReportExchange {
    override readonly intervalMs = REPORT_INTERVAL_MS;
    private remoteSentAtMs = 0;

    /**
     * @param clock Clock that limits the rate of reports to other failure domains.
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

    override prepareReports(ownReport: PeerReport): readonly OutgoingReport[] {
        const addresses = [...this.directory.localAddresses()];
        const remoteAddresses = this.directory.remoteAddresses();
        if (this.clock.now() - this.remoteSentAtMs >= remoteAddresses.length * MS_PER_SECOND / MAX_REMOTE_REPORTS_PER_SECOND) {
            this.remoteSentAtMs = this.clock.now();
            addresses.push(...remoteAddresses);
        }
        return [{ report: ownReport, receivers: addresses.map(address => ({ address })) }];
    }
}
