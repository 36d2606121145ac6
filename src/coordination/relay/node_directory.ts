/**
 * Directory of the nodes' addresses, discovered through the platform's log.
 *
 * @module
 */

import { z } from "zod";
import { describeCause, isSocketAddress, type KeyedLog, type KeyedRecord } from "../../protocol/relay/mod.js";
import type { Clock, RandomSource } from "../../state/relay/mod.js";
import type { AggregatorCandidate } from "./aggregator_selector.js";

/** Topic with the address of each node. */
const NODE_TOPIC = "keyed.nodes";

/** Delay before a failed request to the log is retried, in milliseconds. */
const RETRY_DELAY_MS = 1_000;

/** Times of the first refreshes after the start, in milliseconds; nodes that start together may register after the first read. */
const EARLY_REFRESH_TIMES_MS = [1_500, 5_000];

/** Refresh interval after the early refreshes, in milliseconds. */
const REFRESH_INTERVAL_MS = 30_000;

/** Time over which nodes spread their registrations after the log was restored from an older copy, in milliseconds. */
const REJOIN_SPREAD_MS = 2_000;

/** CPU capacity assumed for a node that does not state it, in cores. */
const DEFAULT_CORES = 1;

const entrySchema = z.object({
    address: z.string().refine(isSocketAddress, "must be an IPv4 address and a port"),
    failureDomain: z.string(),
    cores: z.number().min(0).default(DEFAULT_CORES),
});

/** Address, failure domain and CPU capacity of a node. */
export type NodeEntry = z.infer<typeof entrySchema>;

/** Settings of a {@linkcode NodeDirectory}. */
export interface NodeDirectorySettings {
    readonly log: KeyedLog;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly node: string;
    readonly failureDomain: string;
    /** CPU capacity of this node, in cores. */
    readonly cores: number;
    /** Address at which peers reach this node. */
    readonly address: () => string;
    /** Called with a description of each failed read or write. */
    readonly onError: (text: string) => void;
    /** Called when this node's entry was missing after a restore of the log and has been written again. */
    readonly onRewrite: (topic: string) => void;
}

/** Registers this node's address once and refreshes those of the others periodically; reports update them between refreshes. */
export class NodeDirectory {
    private readonly entries = new Map<string, NodeEntry>();
    private reads = 0;

    /** @param settings See {@linkcode NodeDirectorySettings}. */
    constructor(private readonly settings: NodeDirectorySettings) {}

    /** Number of times that the entries of the nodes have been read. */
    get completedReads(): number {
        return this.reads;
    }

    /** Number of known nodes, without this one. */
    get size(): number {
        return this.entries.size;
    }

    /** Registers this node and reads the entries of the others; retries until the log answers. */
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
                this.settings.onError(describeCause(cause));
                await this.settings.clock.sleep(RETRY_DELAY_MS, signal);
            }
        }
    }

    /** Registers this node again if the log was restored from a copy without its entry; retries until the log answers. */
    async rejoin(signal: AbortSignal): Promise<void> {
        const { clock, random, onError, onRewrite } = this.settings;
        let delayMs = random.next() * REJOIN_SPREAD_MS;
        while (await clock.sleep(delayMs, signal)) {
            delayMs = RETRY_DELAY_MS;
            try {
                if (!await this.refresh()) {
                    await this.register();
                    onRewrite(NODE_TOPIC);
                }
                return;
            }
            catch (cause) {
                onError(describeCause(cause));
            }
        }
    }

    /** Refreshes the entries of the other nodes until the signal is aborted. */
    async run(signal: AbortSignal): Promise<void> {
        const delays = EARLY_REFRESH_TIMES_MS.map((atMs, index) => atMs - (EARLY_REFRESH_TIMES_MS[index - 1] ?? 0));
        while (await this.settings.clock.sleep(delays.shift() ?? REFRESH_INTERVAL_MS, signal)) {
            try {
                await this.refresh();
            }
            catch (cause) {
                this.settings.onError(describeCause(cause));
            }
        }
    }

    /** Stores the entry of another node; an entry of this node is ignored. */
    update(node: string, entry: NodeEntry): void {
        if (node !== this.settings.node) {
            this.entries.set(node, entry);
        }
    }

    /** Addresses of the other nodes in this node's failure domain. */
    localAddresses(): readonly string[] {
        return this.addressesWhere(entry => entry.failureDomain === this.settings.failureDomain);
    }

    /** Addresses of the nodes in other failure domains. */
    remoteAddresses(): readonly string[] {
        return this.addressesWhere(entry => entry.failureDomain !== this.settings.failureDomain);
    }

    /** The other nodes, with their failure domains. */
    peers(): readonly (AggregatorCandidate & NodeEntry)[] {
        return [...this.entries].map(([node, entry]) => ({ node, ...entry }));
    }

    /** Whether a host is that of a known node. */
    hasHost(host: string): boolean {
        for (const { address } of this.entries.values()) {
            if (address.slice(0, address.lastIndexOf(":")) === host) {
                return true;
            }
        }
        return false;
    }

    /** Failure domains of all known nodes, including this one. */
    failureDomains(): ReadonlySet<string> {
        const domains = new Set([this.settings.failureDomain]);
        for (const { failureDomain } of this.entries.values()) {
            domains.add(failureDomain);
        }
        return domains;
    }

    /** Nodes of a failure domain, including this one, as candidates for its aggregator. */
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

    /** @returns Whether the log holds an entry of this node. */
    private async refresh(): Promise<boolean> {
        const page = await this.settings.log.readNewest(NODE_TOPIC);
        for (const record of page.records) {
            this.applyRecord(record);
        }
        this.reads += 1;
        return page.records.some(record => record.key === this.settings.node);
    }

    private addressesWhere(predicate: (entry: NodeEntry) => boolean): readonly string[] {
        return [...this.entries.values()].filter(predicate).map(entry => entry.address);
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
            this.settings.onError(`Cannot parse the directory entry of node ${record.key}: ${describeCause(cause)}`);
        }
    }
}
