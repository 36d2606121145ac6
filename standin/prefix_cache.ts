/**
 * Cache of prompt prefixes in an engine's limited memory.
 *
 * @module
 */

import { createHash } from "node:crypto";

/** Tokens in one block of a prefix. */
export const BLOCK_TOKENS = 64;

/** Characters in one token. */
const CHARACTERS_PER_TOKEN = 4;

/** Change of the cache. */
export interface CacheEvent {
    readonly kind: "stored" | "evicted";
    /** Hash of the prefix that ends with the block. */
    readonly block: string;
}

/** Least recently used blocks are evicted first. */
export class PrefixCache {
    private readonly blocks = new Map<string, true>();

    /**
     * @param maxBlocks Blocks that fit.
     * @param onEvent Is told of each change.
     */
    constructor(private readonly maxBlocks: number, private readonly onEvent: (event: CacheEvent) => void = () => undefined) {}

    /** Number of blocks held. */
    get size(): number {
        return this.blocks.size;
    }

    /** Returns how many tokens of a prompt are cached. */
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

    /** Stores the blocks of a prompt. */
    store(blocks: readonly string[]): void {
        for (const block of blocks) {
            const known = this.blocks.delete(block);
            this.blocks.set(block, true);
            if (!known) {
                this.onEvent({ kind: "stored", block });
            }
        }
        this.evict();
    }

    /** Forgets everything, as at a restart. */
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
 * Hashes each prefix of a prompt that ends at a block's end.
 *
 * @param text Whole prompt.
 */
export function hashBlocks(text: string): readonly string[] {
    const blockLength = BLOCK_TOKENS * CHARACTERS_PER_TOKEN;
    const blocks: string[] = [];
    let previous = "";
    for (let end = blockLength; end <= text.length; end += blockLength) {
        const part = text.slice(end - blockLength, end);
        previous = createHash("sha256").update(previous).update(part).digest("hex").slice(0, 16);
        blocks.push(previous);
    }
    return blocks;
}
