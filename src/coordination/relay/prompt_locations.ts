/**
 * Servers that have read a prompt of late.
 *
 * @module
 */

import type { Clock } from "../../state/relay/mod.js";

/** Time for which an engine is expected to keep a prompt in its cache, in milliseconds. */
const CACHED_FOR_MS = 10_000;

/** Prompts whose server is remembered. */
const MAX_REMEMBERED_PARTS = 2_000;

/** Server that read a prompt. */
interface CachedPart {
    readonly server: string;
    readonly atMs: number;
}

/** Remembers the server to which a prompt was last sent. */
export class PromptLocations {
    private readonly parts = new Map<string, CachedPart>();

    /** @param clock Clock that dates prompts. */
    constructor(private readonly clock: Clock) {}

    /** Server that probably still holds a prompt, by the prompt's last part. */
    find(partId: string | undefined): string | undefined {
        const cached = partId === undefined ? undefined : this.parts.get(partId);
        return cached !== undefined && this.clock.now() - cached.atMs < CACHED_FOR_MS ? cached.server : undefined;
    }

    /** Records that a prompt is sent to a server. */
    record(partId: string | undefined, server: string): void {
        if (partId === undefined) {
            return;
        }
        this.parts.delete(partId);
        this.parts.set(partId, { server, atMs: this.clock.now() });
        if (this.parts.size > MAX_REMEMBERED_PARTS) {
            const [oldest] = this.parts.keys();
            this.parts.delete(oldest ?? "");
        }
    }
}
