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

const entrySchema = z.object({ address: z.string() });

/** Settings of a {@linkcode NodeDirectory}. */
export interface NodeDirectorySettings {
    readonly log: KeyedLog;
    readonly clock: Clock;
    readonly node: string;
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
    private readonly addresses = new Map<string, string>();

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

    /** Learns a node's address from its report. */
    learn(node: string, address: string): void {
        if (node !== this.settings.node) {
            this.addresses.set(node, address);
        }
    }

    /** Addresses of all other nodes that are known. */
    peers(): Iterable<string> {
        return this.addresses.values();
    }

    private async register(): Promise<void> {
        const { log, node, address } = this.settings;
        await log.append(NODE_TOPIC, node, Buffer.from(JSON.stringify({ address: address() })));
    }

    private takeRecord(record: KeyedRecord): void {
        if (record.value === undefined || this.addresses.has(record.key)) {
            return;
        }
        try {
            const { address } = entrySchema.parse(JSON.parse(Buffer.from(record.value).toString("utf8")));
            this.learn(record.key, address);
        }
        catch (cause) {
            this.settings.onProblem(`Cannot read the entry of node ${record.key}: ${describeCause(cause)}`);
        }
    }
}
