/**
 * Servers that have read a prompt of late.
 *
 * @module
 */

import type { Clock } from "../../state/relay/mod.js";

/** Time for which an engine is expected to keep a prompt in its cache, in milliseconds. */
const PROMPT_CACHE_TTL_MS = 10_000;

/** Prompts whose server is remembered. */
const MAX_TRACKED_PROMPTS = 2_000;

/** Server that read a prompt. */
interface PromptLocation {
    readonly server: string;
    readonly atMs: number;
}

/** Remembers the server to which a prompt was last sent. */
export class PromptLocations {
    private readonly locations = new Map<string, PromptLocation>();

    /** @param clock Clock that dates prompts. */
    constructor(private readonly clock: Clock) {}

    /** Server that probably still holds a prompt, by the prompt's last part. */
    find(partId: string | undefined): string | undefined {
        const cached = partId === undefined ? undefined : this.locations.get(partId);
        return cached !== undefined && this.clock.now() - cached.atMs < PROMPT_CACHE_TTL_MS ? cached.server : undefined;
    }

    /** Records that a prompt is sent to a server. */
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
