/**
 * Index of the prompt prefixes that backend servers have cached.
 *
 * @module
 */

import type { Clock } from "./clock.js";

/** Default number of blocks kept; the least recently stored block is evicted first. */
const DEFAULT_MAX_BLOCKS = 100_000;

/** Default age after which a block is assumed to be no longer cached, in milliseconds. */
const DEFAULT_MAX_AGE_MS = 300_000;

/** Backend servers kept per block; the least recently stored one is evicted first. */
const MAX_HOLDERS = 4;

/** Tokens per prefix block. */
export const PREFIX_BLOCK_TOKENS = 64;

/** Settings of a {@linkcode PrefixIndex}. */
export interface PrefixIndexSettings {
    /** Maximum number of blocks kept. Defaults to 100,000. */
    readonly maxBlocks?: number;
    /** Age after which a block is ignored, in milliseconds. Defaults to 300,000. */
    readonly maxAgeMs?: number;
}

/** Backend server that is expected to have a prefix of a prompt in its cache. */
export interface PrefixHolder {
    readonly server: string;
    /** Length of the cached prefix, in tokens. */
    readonly tokens: number;
}

/**
 * Tracks which backend servers have which prefix blocks in their caches. The hash of a block covers the whole prefix that ends
 * with it, so a server that has a block is assumed to have all preceding blocks too.
 *
 * @example
 * const index = new PrefixIndex(clock);
 * index.store("engine-1", blocks);
 * const [holder] = index.find(blocks);
 */
export class PrefixIndex {
    private readonly blocks = new Map<string, Map<string, number>>();
    private readonly maxBlocks: number;
    private readonly maxAgeMs: number;

    /**
     * @param clock Clock that determines the age of blocks.
     * @param settings See {@linkcode PrefixIndexSettings}.
     */
    constructor(private readonly clock: Clock, settings: PrefixIndexSettings = {}) {
        this.maxBlocks = settings.maxBlocks ?? DEFAULT_MAX_BLOCKS;
        this.maxAgeMs = settings.maxAgeMs ?? DEFAULT_MAX_AGE_MS;
    }

    /** Number of blocks in the index. */
    get size(): number {
        return this.blocks.size;
    }

    /** Records that a backend server has cached blocks. */
    store(server: string, blocks: Iterable<string>): void {
        const nowMs = this.clock.now();
        for (const block of blocks) {
            const holders = this.blocks.get(block) ?? new Map<string, number>();
            this.blocks.delete(block);
            this.blocks.set(block, holders);
            holders.delete(server);
            holders.set(server, nowMs);
            evictOldest(holders, MAX_HOLDERS);
        }
        evictOldest(this.blocks, this.maxBlocks);
    }

    /** Records that a backend server has evicted blocks from its cache. */
    evict(server: string, blocks: Iterable<string>): void {
        for (const block of blocks) {
            const holders = this.blocks.get(block);
            if (holders?.delete(server) && holders.size === 0) {
                this.blocks.delete(block);
            }
        }
    }

    /**
     * Finds the backend servers that have a prefix of a prompt in their caches, longest prefix first.
     *
     * @param blocks Blocks of the prompt, in order.
     */
    find(blocks: readonly string[]): readonly PrefixHolder[] {
        const oldestMs = this.clock.now() - this.maxAgeMs;
        const found = new Map<string, number>();
        for (let index = blocks.length - 1; index >= 0 && found.size < MAX_HOLDERS; index--) {
            for (const [server, atMs] of this.blocks.get(blocks[index]) ?? []) {
                if (atMs >= oldestMs && !found.has(server)) {
                    found.set(server, (index + 1) * PREFIX_BLOCK_TOKENS);
                }
            }
        }
        return Array.from(found, ([server, tokens]) => ({ server, tokens }));
    }
}

function evictOldest(map: Map<string, unknown>, limit: number): void {
    for (const key of map.keys()) {
        if (map.size <= limit) {
            return;
        }
        map.delete(key);
    }
}
