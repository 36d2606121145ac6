/**
 * Outcomes and releases on their way to the log.
 *
 * @module
 */

import { claimWire } from "../../protocol/mod.js";
import type { Clock } from "../../state/mod.js";
import type { ClaimRouter } from "./claim_router.js";

/** Entries that may be on their way at the same time; further ones are dropped, which callers see as "unknown". */
export const MAX_STORING_ENTRIES = 10_000;

/** Time for which an entry is offered to the log, in milliseconds. */
const COMMIT_TIMEOUT_MS = 600_000;

/** Settings of a {@linkcode ClaimOutbox}. */
export interface ClaimOutboxSettings {
    readonly clock: Clock;
    readonly router: ClaimRouter;
    /** Is told of an entry that did not reach the log. */
    readonly onLost: (entry: claimWire.ClaimEntry) => void;
}

/** Brings entries into the log that no caller waits for. */
export class ClaimOutbox {
    private readonly pendingCommits = new Set<Promise<void>>();

    /** @param settings See {@linkcode ClaimOutboxSettings}. */
    constructor(private readonly settings: ClaimOutboxSettings) {}

    /** Number of entries on their way. */
    get size(): number {
        return this.pendingCommits.size;
    }

    /** Starts to bring an entry into a stream. */
    enqueue(stream: string, entry: claimWire.ClaimEntry): void {
        if (this.pendingCommits.size >= MAX_STORING_ENTRIES) {
            this.settings.onLost(entry);
            return;
        }
        const task = this.commit(stream, entry).finally(() => this.pendingCommits.delete(task));
        this.pendingCommits.add(task);
    }

    /** Waits until no entry is on its way, or the signal is aborted. */
    async flush(signal: AbortSignal): Promise<void> {
        const aborted = new Promise<void>(resolve => {
            signal.addEventListener("abort", () => resolve(), { once: true });
        });
        while (this.pendingCommits.size > 0 && !signal.aborted) {
            await Promise.race([aborted, Promise.all(this.pendingCommits)]);
        }
    }

    private async commit(stream: string, entry: claimWire.ClaimEntry): Promise<void> {
        const { router, clock, onLost } = this.settings;
        const verdict = await router.commit(stream, entry, clock.now() + COMMIT_TIMEOUT_MS);
        if (verdict.kind !== claimWire.ClaimVerdictKind.CLAIM_VERDICT_KIND_STORED) {
            onLost(entry);
        }
    }
}
