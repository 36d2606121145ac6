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
const INTERVAL_MS = 200;

/** Most datagrams a second to nodes of other failure domains, to which bytes are dear. */
const MAX_FAR_PER_SECOND = 40;

/** Milliseconds in a second. */
const MS_PER_SECOND = 1_000;

/** Sends this node's report to all: each time within the failure domain, more rarely to others. */
export class MeshExchange extends ReportExchange {
    override readonly intervalMs = INTERVAL_MS;
    private farSentAtMs = 0;

    /**
     * @param clock Clock that paces reports to other failure domains.
     * @param directory Addresses of the nodes.
     */
    constructor(private readonly clock: Clock, private readonly directory: NodeDirectory) {
        super();
    }

    override take(report: PeerReport): readonly PeerReport[] {
        return report.scope === ReportScope.NODE ? [report] : [];
    }

    override takeReplaced(): readonly string[] {
        return [];
    }

    override send(own: PeerReport): readonly OutgoingReport[] {
        const addresses = [...this.directory.near()];
        const far = this.directory.far();
        if (this.clock.now() - this.farSentAtMs >= far.length * MS_PER_SECOND / MAX_FAR_PER_SECOND) {
            this.farSentAtMs = this.clock.now();
            addresses.push(...far);
        }
        return [{ report: own, receivers: addresses.map(address => ({ address })) }];
    }
}
