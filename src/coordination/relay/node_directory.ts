/**
 * Addresses of the nodes, found through the platform's log.
 *
 * @module
 */

import { z } from "zod";
import { describeCause, type KeyedLog, type KeyedRecord } from "../../protocol/relay/mod.js";
import type { Clock } from "../../state/relay/mod.js";
import type { AggregatorCandidate } from "./aggregator_selector.js";

/** Topic in which the nodes keep their addresses. */
const NODE_TOPIC = "keyed.nodes";

/** Pause after a call of the log that failed, in milliseconds. */
const RETRY_DELAY_MS = 1_000;

/** Times after the start at which the other nodes are read again, in milliseconds; nodes that start together register late. */
const EARLY_REFRESH_TIMES_MS = [1_500, 5_000];

/** Interval at which the other nodes are read after that, in milliseconds. */
const REFRESH_INTERVAL_MS = 30_000;

/** Processors of a node that does not tell them, as a number of cores. */
const DEFAULT_CORES = 1;

const entrySchema = z.object({
    address: z.string(),
    failureDomain: z.string(),
    cores: z.number().default(DEFAULT_CORES),
});

/** Where a node is. */
export type NodeEntry = z.infer<typeof entrySchema>;

/** Settings of a {@linkcode NodeDirectory}. */
export interface NodeDirectorySettings {
    readonly log: KeyedLog;
    readonly clock: Clock;
    readonly node: string;
    readonly failureDomain: string;
    /** Processors of this node, as a number of cores. */
    readonly cores: number;
    /** Address at which peers reach this node. */
    readonly address: () => string;
    /** Told of what could not be read or written. */
    readonly onProblem: (text: string) => void;
}

/** Writes this node's address once and reads those of the others now and then; between reads, they are learned from reports. */
export class NodeDirectory {
    private readonly entries = new Map<string, NodeEntry>();

    /** @param settings See {@linkcode NodeDirectorySettings}. */
    constructor(private readonly settings: NodeDirectorySettings) {}

    /** Nodes that are known, without this one. */
    get size(): number {
        return this.entries.size;
    }

    /** Registers this node and learns of the others; tries until the log answers. */
    async join(signal: AbortSignal): Promise<void> {
        let isRegistered = false;
        while (!signal.aborted) {
            try {
                if (!isRegistered) {
                    await this.register();
                    isRegistered = true;
                }
                await this.refresh();
                return;
            }
            catch (cause) {
                this.settings.onProblem(describeCause(cause));
                await this.settings.clock.sleep(RETRY_DELAY_MS, signal);
            }
        }
    }

    /** Reads the others again until the signal is aborted. */
    async run(signal: AbortSignal): Promise<void> {
        const pauses = EARLY_REFRESH_TIMES_MS.map((atMs, index) => atMs - (EARLY_REFRESH_TIMES_MS[index - 1] ?? 0));
        while (await this.settings.clock.sleep(pauses.shift() ?? REFRESH_INTERVAL_MS, signal)) {
            try {
                await this.refresh();
            }
            catch (cause) {
                this.settings.onProblem(describeCause(cause));
            }
        }
    }

    /** Learns from a node's report where it is. */
    update(node: string, entry: NodeEntry): void {
        if (node !== this.settings.node) {
            this.entries.set(node, entry);
        }
    }

    /** Addresses of the other nodes of this failure domain. */
    localAddresses(): readonly string[] {
        return this.addressesWhere(entry => entry.failureDomain === this.settings.failureDomain);
    }

    /** Addresses of the nodes of other failure domains. */
    remoteAddresses(): readonly string[] {
        return this.addressesWhere(entry => entry.failureDomain !== this.settings.failureDomain);
    }

    /** Failure domains of all nodes. */
    failureDomains(): ReadonlySet<string> {
        const domains = new Set([this.settings.failureDomain]);
        for (const { failureDomain } of this.entries.values()) {
            domains.add(failureDomain);
        }
        return domains;
    }

    /** Nodes of a failure domain, this one included. */
    candidates(failureDomain: string): readonly AggregatorCandidate[] {
        const candidates: AggregatorCandidate[] = [];
        if (failureDomain === this.settings.failureDomain) {
            const { node, address, cores } = this.settings;
            candidates.push({ node, address: address(), cores });
        }
        for (const [node, entry] of this.entries) {
            if (entry.failureDomain === failureDomain) {
                candidates.push({ node, ...entry });
            }
        }
        return candidates;
    }

    private async refresh(): Promise<void> {
        const page = await this.settings.log.readNewest(NODE_TOPIC);
        for (const record of page.records) {
            this.applyRecord(record);
        }
    }

    private addressesWhere(isWanted: (entry: NodeEntry) => boolean): readonly string[] {
        return [...this.entries.values()].filter(isWanted).map(entry => entry.address);
    }

    private async register(): Promise<void> {
        const { log, node, failureDomain, cores, address } = this.settings;
        await log.append(NODE_TOPIC, node, Buffer.from(JSON.stringify({ address: address(), failureDomain, cores })));
    }

    private applyRecord(record: KeyedRecord): void {
        if (record.value === undefined) {
            return;
        }
        try {
            this.update(record.key, entrySchema.parse(JSON.parse(Buffer.from(record.value).toString("utf8"))));
        }
        catch (cause) {
            this.settings.onProblem(`Cannot read the entry of node ${record.key}: ${describeCause(cause)}`);
        }
    }
}
