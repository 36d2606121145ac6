/**
 * Background commits of outcomes and releases to the log.
 *
 * @module
 */

import { claimWire } from "../../protocol/mod.js";
import type { Clock } from "../../state/mod.js";
import type { ClaimRouter } from "./claim_router.js";

/** Maximum number of pending entries; further ones are dropped, and retries with their keys are answered "unknown". */
export const MAX_STORING_ENTRIES = 10_000;

/** Maximum time to commit an entry, in milliseconds. */
const COMMIT_TIMEOUT_MS = 600_000;

/** Settings of a {@linkcode ClaimOutbox}. */
export interface ClaimOutboxSettings {
    readonly clock: Clock;
    readonly router: ClaimRouter;
    /** Called with each entry that was not committed. */
    readonly onLost: (entry: claimWire.ClaimEntry) => void;
}

/** Commits entries that no caller waits for. */
export class ClaimOutbox {
    private readonly pendingCommits = new Set<Promise<void>>();

    /** @param settings See {@linkcode ClaimOutboxSettings}. */
    constructor(private readonly settings: ClaimOutboxSettings) {}

    /** Number of pending entries. */
    get size(): number {
        return this.pendingCommits.size;
    }

    /** Starts committing an entry to a stream, or drops it when too many are pending. */
    enqueue(stream: string, entry: claimWire.ClaimEntry): void {
        if (this.pendingCommits.size >= MAX_STORING_ENTRIES) {
            this.settings.onLost(entry);
            return;
        }
        const task = this.commit(stream, entry).finally(() => this.pendingCommits.delete(task));
        this.pendingCommits.add(task);
    }

    /** Waits until no entry is pending or the signal is aborted. */
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
