/**
 * Blocks of prompt prefixes, as engines name them in their cache events.
 *
 * @module
 */

import { createHash } from "node:crypto";

/** Characters in one block: 64 tokens of 4 characters. */
const BLOCK_CHARACTERS = 256;

/** Characters of a block's name. */
const BLOCK_HASH_CHARACTERS = 16;

/** Blocks that are hashed of one prompt at most; the rest of a long prompt does not decide on where it is sent. */
const MAX_HASHED_BLOCKS = 64;

/** Change of an engine's prefix cache; changes come late, and some never come. */
export interface CacheEvent {
    readonly kind: "stored" | "evicted";
    /** Hash of the prefix that ends with the block. */
    readonly block: string;
}

/**
 * Hashes each prefix of a prompt that ends at a block's end: SHA-256 over the name before and the block's text.
 *
 * @param text Whole prompt.
 */
export function hashPrefix(text: string): readonly string[] {
    const blocks: string[] = [];
    let previous = "";
    for (let end = BLOCK_CHARACTERS; end <= text.length && blocks.length < MAX_HASHED_BLOCKS; end += BLOCK_CHARACTERS) {
        const part = text.slice(end - BLOCK_CHARACTERS, end);
        previous = createHash("sha256").update(previous).update(part).digest("hex").slice(0, BLOCK_HASH_CHARACTERS);
        blocks.push(previous);
    }
    return blocks;
}
