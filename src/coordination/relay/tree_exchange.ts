/**
 * Reports by way of one node in each failure domain, for large fleets.
 *
 * Answers fleets of dozens of nodes, in which reports of all to all would cost more than the calls: each node sends and receives
 * one report at a time, and what it learns is as fresh as in a small fleet.
 *
 * @module
 */

import { type PeerReport, type ReportReceiver, ReportScope } from "../../protocol/relay/mod.js";
import type { Clock } from "../../state/relay/mod.js";
import { type AggregatorSelection, AggregatorSelector } from "./aggregator_selector.js";
import type { NodeDirectory } from "./node_directory.js";
import { type OutgoingReport, ReportExchange } from "./report_exchange.js";
import { ReportSums, withoutOwnPart } from "./report_sums.js";

/** Time between reports, in milliseconds; a figure passes two or three of them, and a place is taken again within tens. */
const REPORT_INTERVAL_MS = 100;

/** Name under which sums of the own failure domain are kept among those of all. */
const OWN_DOMAIN_KEY = "";

/** Settings of a {@linkcode TreeExchange}. */
export interface TreeExchangeSettings {
    readonly node: string;
    readonly failureDomain: string;
    readonly clock: Clock;
    readonly directory: NodeDirectory;
}

/**
 * Sends this node's report to the aggregator of its failure domain, which answers with the sum of the fleet. Aggregators exchange
 * the sums of their domains. A node aggregates as soon as it chooses itself or is sent a report.
 */
export class TreeExchange extends ReportExchange {
    override readonly intervalMs = REPORT_INTERVAL_MS;
    private readonly selector: AggregatorSelector;
    private readonly memberSums: ReportSums;
    private readonly memberAddresses = new Map<string, string>();
    private readonly domainSums: ReportSums;
    /** Aggregator whose sums of another failure domain are used. */
    private readonly remoteAggregators = new Map<string, string>();
    private aggregator: string | undefined;
    private superseded: string[] = [];
    private sequence = 0;

    /** @param settings See {@linkcode TreeExchangeSettings}. */
    constructor(private readonly settings: TreeExchangeSettings) {
        super();
        this.selector = new AggregatorSelector(settings.clock, settings.node);
        this.memberSums = new ReportSums(settings.clock);
        this.domainSums = new ReportSums(settings.clock);
    }

    override receive(report: PeerReport): readonly PeerReport[] {
        switch (report.scope) {
            case ReportScope.FLEET:
                return this.receiveFleetSum(report);
            case ReportScope.DOMAIN:
                return this.receiveDomainSum(report);
            default:
                return this.receiveMemberReport(report);
        }
    }

    override takeSuperseded(): readonly string[] {
        const { superseded: replaced } = this;
        this.superseded = [];
        return replaced;
    }

    override prepareReports(own: PeerReport): readonly OutgoingReport[] {
        const choice = this.selector.select(this.settings.directory.candidates(this.settings.failureDomain));
        this.replaceAggregator(choice.selected?.node);
        const outgoing: OutgoingReport[] = [];
        const receivers = this.receiversOf(choice);
        if (receivers.length > 0) {
            outgoing.push({ report: own, receivers });
        }
        this.memberSums.expire();
        const members = this.memberReceivers();
        if (this.isAggregator || members.length > 0) {
            this.memberSums.record(this.settings.node, own);
            outgoing.push(...this.prepareSums(own, members));
        }
        return outgoing;
    }

    private get isAggregator(): boolean {
        return this.aggregator === this.settings.node;
    }

    private receiveFleetSum(report: PeerReport): readonly PeerReport[] {
        this.selector.recordResponse(report.node);
        return report.node === this.aggregator ? [withoutOwnPart(report)] : [];
    }

    private receiveDomainSum(report: PeerReport): readonly PeerReport[] {
        const { failureDomain, directory } = this.settings;
        if (report.failureDomain === failureDomain) {
            return [];
        }
        this.selector.recordResponse(report.node);
        const { selected: chosen } = this.selector.select(directory.candidates(report.failureDomain));
        const inUse = this.remoteAggregators.get(report.failureDomain);
        if (chosen !== undefined && chosen.node !== report.node && chosen.node === inUse) {
            return [];
        }
        if (inUse !== undefined && inUse !== report.node) {
            this.superseded.push(inUse);
        }
        this.remoteAggregators.set(report.failureDomain, report.node);
        this.domainSums.record(report.failureDomain, report);
        return this.isAggregator ? [report] : [];
    }

    private receiveMemberReport(report: PeerReport): readonly PeerReport[] {
        if (report.failureDomain !== this.settings.failureDomain) {
            return [];
        }
        this.memberSums.record(report.node, report);
        this.memberAddresses.set(report.node, report.address);
        return this.isAggregator ? [report] : [];
    }

    private prepareSums(own: PeerReport, members: readonly ReportReceiver[]): readonly OutgoingReport[] {
        this.domainSums.expire();
        this.sequence += 1;
        const base = { ...own, sequence: this.sequence, leaving: false };
        const domain = { ...base, ...this.memberSums.sum(), scope: ReportScope.DOMAIN };
        this.domainSums.record(OWN_DOMAIN_KEY, domain);
        const fleet = { ...base, ...this.domainSums.sum(), scope: ReportScope.FLEET };
        return [
            { report: domain, receivers: this.isAggregator ? this.remoteReceivers() : [] },
            { report: fleet, receivers: members },
        ];
    }

    private memberReceivers(): readonly ReportReceiver[] {
        const receivers: ReportReceiver[] = [];
        for (const [node, address] of this.memberAddresses) {
            const ownPart = this.memberSums.isReporting(node) ? this.memberSums.partOf(node) : undefined;
            if (ownPart === undefined) {
                this.memberAddresses.delete(node);
                continue;
            }
            receivers.push({ address, ownPart });
        }
        return receivers;
    }

    private remoteReceivers(): readonly ReportReceiver[] {
        const { directory, failureDomain } = this.settings;
        const receivers: ReportReceiver[] = [];
        for (const domain of directory.failureDomains()) {
            if (domain !== failureDomain) {
                receivers.push(...this.receiversOf(this.selector.select(directory.candidates(domain))));
            }
        }
        return receivers;
    }

    private receiversOf({ selected: chosen, probed: asked }: AggregatorSelection): readonly ReportReceiver[] {
        const candidates = chosen === undefined ? asked : [chosen, ...asked];
        return candidates.filter(({ node }) => node !== this.settings.node);
    }

    private replaceAggregator(chosen: string | undefined): void {
        if (chosen === this.aggregator) {
            return;
        }
        if (this.isAggregator) {
            this.superseded.push(...this.memberSums.reports().map(report => report.node), ...this.remoteAggregators.values());
        }
        else if (this.aggregator !== undefined) {
            this.superseded.push(this.aggregator);
        }
        this.aggregator = chosen;
    }
}
