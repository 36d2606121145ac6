/**
 * Index of the backend servers that hold prompt prefixes in their caches.
 *
 * @module
 */

import type { Clock } from "./clock.js";

/** Blocks kept by default; the one stored longest ago is forgotten first. */
const DEFAULT_MAX_BLOCKS = 100_000;

/** Age after which a block is no longer believed to be cached, in milliseconds. */
const DEFAULT_MAX_AGE_MS = 300_000;

/** Backend servers kept for one block; the one stored longest ago is forgotten first. */
const MAX_HOLDERS = 4;

/** Tokens in one block of a prefix. */
export const PREFIX_BLOCK_TOKENS = 64;

/** Settings of a {@linkcode PrefixIndex}. */
export interface PrefixIndexSettings {
    /** Blocks kept. Defaults to 100,000. */
    readonly maxBlocks?: number;
    /** Age after which a block is forgotten, in milliseconds. Defaults to 300,000. */
    readonly maxAgeMs?: number;
}

/** Backend server that is believed to hold the beginning of a prompt. */
export interface PrefixHolder {
    readonly server: string;
    /** Tokens of the prompt that it is believed to hold. */
    readonly tokens: number;
}

/**
 * Remembers which backend servers store which blocks. A block's hash covers the whole prefix that ends with it, so that a holder
 * of a block is believed to hold all before it.
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
     * @param clock Clock that ages are measured by.
     * @param settings See {@linkcode PrefixIndexSettings}.
     */
    constructor(private readonly clock: Clock, settings: PrefixIndexSettings = {}) {
        this.maxBlocks = settings.maxBlocks ?? DEFAULT_MAX_BLOCKS;
        this.maxAgeMs = settings.maxAgeMs ?? DEFAULT_MAX_AGE_MS;
    }

    /** Number of blocks kept. */
    get size(): number {
        return this.blocks.size;
    }

    /** Records that a backend server holds blocks. */
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

    /** Records that a backend server no longer holds blocks. */
    evict(server: string, blocks: Iterable<string>): void {
        for (const block of blocks) {
            const holders = this.blocks.get(block);
            if (holders?.delete(server) && holders.size === 0) {
                this.blocks.delete(block);
            }
        }
    }

    /**
     * Finds the backend servers that hold the beginning of a prompt, the longest first.
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
