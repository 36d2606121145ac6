/**
 * Bounded LRU cache of prompt prefixes in an engine.
 *
 * @module
 */

import { createHash } from "node:crypto";

/** Tokens per prefix block. */
export const BLOCK_TOKENS = 64;

/** Characters per token. */
const CHARACTERS_PER_TOKEN = 4;

/** Change of the cache contents. */
export interface CacheEvent {
    readonly kind: "stored" | "evicted";
    /** Hash of the prefix up to and including the block. */
    readonly block: string;
}

/** Prefix cache with least-recently-used eviction. */
export class PrefixCache {
    private readonly blocks = new Map<string, true>();

    /**
     * @param maxBlocks Maximum number of blocks.
     * @param onEvent Called for each change.
     */
    constructor(private readonly maxBlocks: number, private readonly onEvent: (event: CacheEvent) => void = () => undefined) {}

    /** Number of cached blocks. */
    get size(): number {
        return this.blocks.size;
    }

    /** Returns the number of tokens in the longest cached prefix of a prompt. */
    cachedTokens(blocks: readonly string[]): number {
        let count = 0;
        for (const block of blocks) {
            if (!this.blocks.has(block)) {
                break;
            }
            count += 1;
        }
        return count * BLOCK_TOKENS;
    }

    /** Stores the blocks of a prompt as the most recently used ones. */
    store(blocks: readonly string[]): void {
        for (const block of blocks) {
            const existed = this.blocks.delete(block);
            this.blocks.set(block, true);
            if (!existed) {
                this.onEvent({ kind: "stored", block });
            }
        }
        this.evict();
    }

    /** Removes all blocks without events, as a restart does. */
    clear(): void {
        this.blocks.clear();
    }

    private evict(): void {
        for (const block of this.blocks.keys()) {
            if (this.blocks.size <= this.maxBlocks) {
                return;
            }
            this.blocks.delete(block);
            this.onEvent({ kind: "evicted", block });
        }
    }
}

/**
 * Hashes each prefix of a prompt that ends at a block boundary; a partial last block is ignored.
 *
 * @param text Complete prompt.
 */
export function hashBlocks(text: string): readonly string[] {
    const blockLength = BLOCK_TOKENS * CHARACTERS_PER_TOKEN;
    const blocks: string[] = [];
    let previous = "";
    for (let end = blockLength; end <= text.length; end += blockLength) {
        const block = text.slice(end - blockLength, end);
        previous = createHash("sha256").update(previous).update(block).digest("hex").slice(0, 16);
        blocks.push(previous);
    }
    return blocks;
}
