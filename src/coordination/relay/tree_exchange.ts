/**
 * Exchange of reports through one aggregator per failure domain, for large fleets.
 *
 * In a fleet of dozens of nodes, a full mesh of reports would cost more than the calls. Here, each node sends and receives one
 * report per interval, and its figures are as fresh as in a small fleet.
 *
 * @module
 */

import { type PeerReport, type ReportReceiver, ReportScope } from "../../protocol/relay/mod.js";
import type { Clock } from "../../state/relay/mod.js";
import { type AggregatorSelection, AggregatorSelector } from "./aggregator_selector.js";
import type { NodeDirectory } from "./node_directory.js";
import { type OutgoingReport, ReportExchange } from "./report_exchange.js";
import { ReportSums, withoutOwnPart } from "./report_sums.js";

/** Report interval, in milliseconds; figures arrive after two or three intervals, and free slots are reused within tens of ms. */
const REPORT_INTERVAL_MS = 100;

/** Key of this node's failure domain among the sums of all domains. */
const OWN_DOMAIN_KEY = "";

/** Settings of a {@linkcode TreeExchange}. */
export interface TreeExchangeSettings {
    readonly node: string;
    readonly failureDomain: string;
    readonly clock: Clock;
    readonly directory: NodeDirectory;
}

/**
 * Sends this node's report to the aggregator of its failure domain, which answers with the sum over the fleet. Aggregators
 * exchange the sums of their domains. A node aggregates as soon as it selects itself or receives a report from its domain.
 */
export class TreeExchange extends ReportExchange {
    override readonly intervalMs = REPORT_INTERVAL_MS;
    private readonly selector: AggregatorSelector;
    private readonly memberSums: ReportSums;
    private readonly memberAddresses = new Map<string, string>();
    private readonly domainSums: ReportSums;
    /** Aggregator whose sums are used, by remote failure domain. */
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
            case ReportScope.NODE:
                return this.receiveMemberReport(report);
            default:
                // Another build may send scopes that this one does not know.
                return [];
        }
    }

    override takeSuperseded(): readonly string[] {
        const { superseded } = this;
        this.superseded = [];
        return superseded;
    }

    override prepareReports(ownReport: PeerReport): readonly OutgoingReport[] {
        const selection = this.selector.select(this.settings.directory.candidates(this.settings.failureDomain));
        this.replaceAggregator(selection.selected?.node);
        const outgoing: OutgoingReport[] = [];
        const receivers = this.receiversOf(selection);
        if (receivers.length > 0) {
            outgoing.push({ report: ownReport, receivers });
        }
        this.memberSums.expire();
        const members = this.memberReceivers();
        if (this.isAggregator || members.length > 0) {
            this.memberSums.record(this.settings.node, ownReport);
            outgoing.push(...this.prepareSums(ownReport, members));
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
        const { selected } = this.selector.select(directory.candidates(report.failureDomain));
        const current = this.remoteAggregators.get(report.failureDomain);
        if (selected !== undefined && selected.node !== report.node && selected.node === current) {
            return [];
        }
        if (current !== undefined && current !== report.node) {
            this.superseded.push(current);
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

    private prepareSums(ownReport: PeerReport, members: readonly ReportReceiver[]): readonly OutgoingReport[] {
        this.domainSums.expire();
        this.sequence += 1;
        const base = { ...ownReport, sequence: this.sequence, leaving: false };
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

    private receiversOf({ selected, probed }: AggregatorSelection): readonly ReportReceiver[] {
        const candidates = selected === undefined ? probed : [selected, ...probed];
        return candidates.filter(({ node }) => node !== this.settings.node);
    }

    private replaceAggregator(selected: string | undefined): void {
        if (selected === this.aggregator) {
            return;
        }
        if (this.isAggregator) {
            this.superseded.push(...this.memberSums.reports().map(report => report.node), ...this.remoteAggregators.values());
        }
        else if (this.aggregator !== undefined) {
            this.superseded.push(this.aggregator);
        }
        this.aggregator = selected;
    }
}
