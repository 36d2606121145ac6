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
import { type AggregatorChoice, AggregatorChooser } from "./aggregator_choice.js";
import type { NodeDirectory } from "./node_directory.js";
import { type OutgoingReport, ReportExchange } from "./report_exchange.js";
import { ReportSums, withoutOwnPart } from "./report_sums.js";

/** Time between reports, in milliseconds; a figure passes two or three of them, and a place is taken again within tens. */
const INTERVAL_MS = 100;

/** Name under which sums of the own failure domain are kept among those of all. */
const OWN_DOMAIN = "";

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
    override readonly intervalMs = INTERVAL_MS;
    private readonly chooser: AggregatorChooser;
    private readonly members: ReportSums;
    private readonly memberAddresses = new Map<string, string>();
    private readonly domains: ReportSums;
    /** Aggregator whose sums of another failure domain are used. */
    private readonly aggregators = new Map<string, string>();
    private aggregator: string | undefined;
    private replaced: string[] = [];
    private sequence = 0;

    /** @param settings See {@linkcode TreeExchangeSettings}. */
    constructor(private readonly settings: TreeExchangeSettings) {
        super();
        this.chooser = new AggregatorChooser(settings.clock, settings.node);
        this.members = new ReportSums(settings.clock);
        this.domains = new ReportSums(settings.clock);
    }

    override take(report: PeerReport): readonly PeerReport[] {
        switch (report.scope) {
            case ReportScope.FLEET:
                return this.takeFleet(report);
            case ReportScope.DOMAIN:
                return this.takeDomain(report);
            default:
                return this.takeMember(report);
        }
    }

    override takeReplaced(): readonly string[] {
        const { replaced } = this;
        this.replaced = [];
        return replaced;
    }

    override send(own: PeerReport): readonly OutgoingReport[] {
        const choice = this.chooser.choose(this.settings.directory.candidates(this.settings.failureDomain));
        this.replaceAggregator(choice.chosen?.node);
        const outgoing: OutgoingReport[] = [];
        const receivers = this.receiversOf(choice);
        if (receivers.length > 0) {
            outgoing.push({ report: own, receivers });
        }
        this.members.expire();
        const members = this.memberReceivers();
        if (this.isAggregator || members.length > 0) {
            this.members.take(this.settings.node, own);
            outgoing.push(...this.sendSums(own, members));
        }
        return outgoing;
    }

    private get isAggregator(): boolean {
        return this.aggregator === this.settings.node;
    }

    private takeFleet(report: PeerReport): readonly PeerReport[] {
        this.chooser.recordHeard(report.node);
        return report.node === this.aggregator ? [withoutOwnPart(report)] : [];
    }

    private takeDomain(report: PeerReport): readonly PeerReport[] {
        const { failureDomain, directory } = this.settings;
        if (report.failureDomain === failureDomain) {
            return [];
        }
        this.chooser.recordHeard(report.node);
        const { chosen } = this.chooser.choose(directory.candidates(report.failureDomain));
        const inUse = this.aggregators.get(report.failureDomain);
        if (chosen !== undefined && chosen.node !== report.node && chosen.node === inUse) {
            return [];
        }
        if (inUse !== undefined && inUse !== report.node) {
            this.replaced.push(inUse);
        }
        this.aggregators.set(report.failureDomain, report.node);
        this.domains.take(report.failureDomain, report);
        return this.isAggregator ? [report] : [];
    }

    private takeMember(report: PeerReport): readonly PeerReport[] {
        if (report.failureDomain !== this.settings.failureDomain) {
            return [];
        }
        this.members.take(report.node, report);
        this.memberAddresses.set(report.node, report.address);
        return this.isAggregator ? [report] : [];
    }

    private sendSums(own: PeerReport, members: readonly ReportReceiver[]): readonly OutgoingReport[] {
        this.domains.expire();
        this.sequence += 1;
        const base = { ...own, sequence: this.sequence, leaving: false };
        const domain = { ...base, ...this.members.sum(), scope: ReportScope.DOMAIN };
        this.domains.take(OWN_DOMAIN, domain);
        const fleet = { ...base, ...this.domains.sum(), scope: ReportScope.FLEET };
        return [
            { report: domain, receivers: this.isAggregator ? this.farReceivers() : [] },
            { report: fleet, receivers: members },
        ];
    }

    private memberReceivers(): readonly ReportReceiver[] {
        const receivers: ReportReceiver[] = [];
        for (const [node, address] of this.memberAddresses) {
            const ownPart = this.members.isHeard(node) ? this.members.partOf(node) : undefined;
            if (ownPart === undefined) {
                this.memberAddresses.delete(node);
                continue;
            }
            receivers.push({ address, ownPart });
        }
        return receivers;
    }

    private farReceivers(): readonly ReportReceiver[] {
        const { directory, failureDomain } = this.settings;
        const receivers: ReportReceiver[] = [];
        for (const domain of directory.failureDomains()) {
            if (domain !== failureDomain) {
                receivers.push(...this.receiversOf(this.chooser.choose(directory.candidates(domain))));
            }
        }
        return receivers;
    }

    private receiversOf({ chosen, asked }: AggregatorChoice): readonly ReportReceiver[] {
        const candidates = chosen === undefined ? asked : [chosen, ...asked];
        return candidates.filter(({ node }) => node !== this.settings.node);
    }

    private replaceAggregator(chosen: string | undefined): void {
        if (chosen === this.aggregator) {
            return;
        }
        if (this.isAggregator) {
            this.replaced.push(...this.members.reports().map(report => report.node), ...this.aggregators.values());
        }
        else if (this.aggregator !== undefined) {
            this.replaced.push(this.aggregator);
        }
        this.aggregator = chosen;
    }
}
