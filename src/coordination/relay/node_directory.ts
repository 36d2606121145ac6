/**
 * Addresses of the nodes, found through the platform's log.
 *
 * @module
 */

import { z } from "zod";
import { describeCause, type KeyedLog, type KeyedRecord } from "../../protocol/relay/mod.js";
import type { Clock } from "../../state/relay/mod.js";

/** Topic in which the nodes keep their addresses. */
const NODE_TOPIC = "keyed.nodes";

/** Pause after a call of the log that failed, in milliseconds. */
const RETRY_PAUSE_MS = 1_000;

const entrySchema = z.object({ address: z.string(), failureDomain: z.string() });

/** Where a node is. */
export type NodeEntry = z.infer<typeof entrySchema>;

/** Settings of a {@linkcode NodeDirectory}. */
export interface NodeDirectorySettings {
    readonly log: KeyedLog;
    readonly clock: Clock;
    readonly node: string;
    readonly failureDomain: string;
    /** Address at which peers reach this node. */
    readonly address: () => string;
    /** Told of what could not be read or written. */
    readonly onProblem: (text: string) => void;
}

/**
 * Writes this node's address once and reads those of the others once. A node that starts later is learned from its reports, so
 * nothing is polled.
 */
export class NodeDirectory {
    private readonly entries = new Map<string, NodeEntry>();

    /** @param settings See {@linkcode NodeDirectorySettings}. */
    constructor(private readonly settings: NodeDirectorySettings) {}

    /** Registers this node and learns of the others; tries until the log answers. */
    async run(signal: AbortSignal): Promise<void> {
        let isRegistered = false;
        while (!signal.aborted) {
            try {
                if (!isRegistered) {
                    await this.register();
                    isRegistered = true;
                }
                const page = await this.settings.log.readNewest(NODE_TOPIC);
                for (const record of page.records) {
                    this.takeRecord(record);
                }
                return;
            }
            catch (cause) {
                this.settings.onProblem(describeCause(cause));
                await this.settings.clock.sleep(RETRY_PAUSE_MS, signal);
            }
        }
    }

    /** Learns from a node's report where it is. */
    learn(node: string, entry: NodeEntry): void {
        if (node !== this.settings.node) {
            this.entries.set(node, entry);
        }
    }

    /** Addresses of the other nodes of this failure domain. */
    near(): readonly string[] {
        return this.addresses(entry => entry.failureDomain === this.settings.failureDomain);
    }

    /** Addresses of the nodes of other failure domains. */
    far(): readonly string[] {
        return this.addresses(entry => entry.failureDomain !== this.settings.failureDomain);
    }

    private addresses(isWanted: (entry: NodeEntry) => boolean): readonly string[] {
        return [...this.entries.values()].filter(isWanted).map(entry => entry.address);
    }

    private async register(): Promise<void> {
        const { log, node, failureDomain, address } = this.settings;
        await log.append(NODE_TOPIC, node, Buffer.from(JSON.stringify({ address: address(), failureDomain })));
    }

    private takeRecord(record: KeyedRecord): void {
        if (record.value === undefined || this.entries.has(record.key)) {
            return;
        }
        try {
            this.learn(record.key, entrySchema.parse(JSON.parse(Buffer.from(record.value).toString("utf8"))));
        }
        catch (cause) {
            this.settings.onProblem(`Cannot read the entry of node ${record.key}: ${describeCause(cause)}`);
        }
    }
}
