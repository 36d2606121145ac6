/**
 * Naive claims: every node appends each claim separately and reads the whole stream back.
 *
 * @module
 */

import type { LogService } from "../../src/protocol/mod.js";

/** Name of the stream that holds all claims. */
const STREAM = "naive-claims";

/** Node that claims each key with its own append. */
export class AppendEachClaim {
    private readonly owners = new Map<string, string>();
    private nextOffset = 0;

    /**
     * @param node Id of the node.
     * @param log Log that holds the claims.
     */
    constructor(private readonly node: string, private readonly log: LogService) {}

    /**
     * Claims a key.
     *
     * @returns Whether the attempt owns the key.
     */
    async claim(key: string, attempt: string): Promise<boolean> {
        const offset = await this.log.append(STREAM, Buffer.from(JSON.stringify({ key, attempt, node: this.node })));
        while (this.nextOffset <= offset) {
            const { records } = await this.log.read(STREAM, this.nextOffset);
            for (const record of records) {
                this.apply(record.offset, record.data);
            }
        }
        return this.owners.get(key) === attempt;
    }

    /** Appends the outcome of a key that this node owns. */
    async complete(key: string): Promise<void> {
        await this.log.append(STREAM, Buffer.from(JSON.stringify({ key, node: this.node, outcome: "done" })));
    }

    private apply(offset: number, data: Uint8Array): void {
        if (offset < this.nextOffset) {
            return;
        }
        this.nextOffset = offset + 1;
        const { key, attempt } = JSON.parse(Buffer.from(data).toString()) as { readonly key: string; readonly attempt?: string };
        if (attempt !== undefined && !this.owners.has(key)) {
            this.owners.set(key, attempt);
        }
    }
}
