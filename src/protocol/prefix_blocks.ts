/**
 * Hashes of prompt-prefix blocks, which identify blocks in the engines' cache events.
 *
 * @module
 */

import { createHash } from "node:crypto";

/** Number of characters in one block: 64 tokens of 4 characters. */
const BLOCK_CHARACTERS = 256;

/** Number of hexadecimal characters kept of a block's hash. */
const BLOCK_HASH_CHARACTERS = 16;

/** Maximum number of blocks hashed per prompt; the rest of a long prompt does not affect routing. */
const MAX_HASHED_BLOCKS = 64;

/** Change of an engine's prefix cache. Changes are reported with a delay, and some are never reported. */
export interface CacheEvent {
    readonly kind: "stored" | "evicted";
    /** Hash of the prefix that ends with the block. */
    readonly block: string;
}

/**
 * Hashes each prefix of a prompt that ends at a block boundary. Each hash is a truncated SHA-256 over the previous block's hash and
 * the block's text.
 *
 * @param text Complete prompt.
 */
export function hashPrefix(text: string): readonly string[] {
    const blocks: string[] = [];
    let hash = "";
    for (let end = BLOCK_CHARACTERS; end <= text.length && blocks.length < MAX_HASHED_BLOCKS; end += BLOCK_CHARACTERS) {
        const blockText = text.slice(end - BLOCK_CHARACTERS, end);
        hash = createHash("sha256").update(hash).update(blockText).digest("hex").slice(0, BLOCK_HASH_CHARACTERS);
        blocks.push(hash);
    }
    return blocks;
}
