/**
 * Servers that probably have a prompt in their cache.
 *
 * @module
 */

import type { Clock } from "../../state/relay/mod.js";

/** Time for which an engine is expected to keep a prompt in its cache, in milliseconds. */
const PROMPT_CACHE_TTL_MS = 10_000;

/** Largest number of prompts whose server is tracked; the one sent longest ago is evicted first. */
const MAX_TRACKED_PROMPTS = 2_000;

/** Server to which a prompt was sent, and when. */
interface PromptLocation {
    readonly server: string;
    readonly atMs: number;
}

/** Tracks the server to which each prompt was last sent. */
export class PromptLocations {
    private readonly locations = new Map<string, PromptLocation>();

    /** @param clock Time source of the cache expiry. */
    constructor(private readonly clock: Clock) {}

    /** Finds the server that probably still has a prompt in its cache, by the id of the prompt's last part. */
    find(partId: string | undefined): string | undefined {
        const location = partId === undefined ? undefined : this.locations.get(partId);
        return location !== undefined && this.clock.now() - location.atMs < PROMPT_CACHE_TTL_MS ? location.server : undefined;
    }

    /** Records that a prompt was sent to a server. */
    record(partId: string | undefined, server: string): void {
        if (partId === undefined) {
            return;
        }
        this.locations.delete(partId);
        this.locations.set(partId, { server, atMs: this.clock.now() });
        if (this.locations.size > MAX_TRACKED_PROMPTS) {
            const [oldest] = this.locations.keys();
            this.locations.delete(oldest ?? "");
        }
    }
}
