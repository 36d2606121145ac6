/**
 * Listing of calls without a recorded outcome.
 *
 * @module
 */

import type { claimWire, LogService, MemberView } from "../../protocol/mod.js";
import type { Clock, EventRing } from "../../state/mod.js";
import type { OpenClaim } from "./claim_index.js";
import { datedStream, STREAM_PERIOD_MS, UNDATED_STREAM_COUNT, undatedStream } from "./claim_key.js";
import { ClaimStream } from "./claim_stream.js";

/** Maximum age of the calls that can be listed, in milliseconds. */
export const MAX_LOOK_BACK_MS = 86_400_000;

/** Maximum number of streams read concurrently. */
const MAX_CONCURRENT_READS = 16;

/** Settings of an {@linkcode UnknownCalls}. */
export interface UnknownCallsSettings {
    readonly clock: Clock;
    readonly ring: EventRing;
    readonly log: LogService;
    readonly members: MemberView;
}

/** Lists calls with an unknown outcome; reads the claim streams on demand, since no node holds all of them. */
export class UnknownCalls {
    /** @param settings See {@linkcode UnknownCallsSettings}. */
    constructor(private readonly settings: UnknownCallsSettings) {}

    /**
     * Lists claims without an outcome whose owner is not a live member or has passed its deadline.
     *
     * @param sinceMs Maximum age of the claims, in milliseconds; at most one day.
     * @throws {PlatformError} When the log did not answer.
     */
    async list(sinceMs: number): Promise<readonly claimWire.UnknownCall[]> {
        const names = this.streamNames(Math.min(sinceMs, MAX_LOOK_BACK_MS));
        const found: OpenClaim[] = [];
        while (names.length > 0) {
            const lists = await Promise.all(names.splice(0, MAX_CONCURRENT_READS).map(name => this.readOpenClaims(name)));
            found.push(...lists.flat());
        }
        const fromMs = this.settings.clock.now() - sinceMs;
        return found.filter(claim => claim.atMs >= fromMs && this.isOutcomeUnknown(claim)).sort((left, right) =>
            left.atMs - right.atMs
        );
    }

    private streamNames(sinceMs: number): string[] {
        const nowMs = this.settings.clock.now();
        const names = Array.from({ length: UNDATED_STREAM_COUNT }, (value, index) => undatedStream(index));
        for (let atMs = nowMs - sinceMs; atMs < nowMs + STREAM_PERIOD_MS; atMs += STREAM_PERIOD_MS) {
            names.push(datedStream(atMs));
        }
        return names;
    }

    private async readOpenClaims(stream: string): Promise<readonly OpenClaim[]> {
        const reader = new ClaimStream({ ...this.settings, stream });
        await reader.refresh();
        return [...reader.index.listOpenClaims()];
    }

    private isOutcomeUnknown({ node, deadlineMs }: OpenClaim): boolean {
        const { members, clock } = this.settings;
        return clock.now() > deadlineMs || !members.live.some(member => member.id === node);
    }
}
