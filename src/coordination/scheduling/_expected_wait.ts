/**
 * Expected wait of a queued call.
 *
 * @module
 */

import type { RandomSource } from "../../state/mod.js";
import type { DrainRate } from "./_drain_rate.js";
import type { CallQueue } from "./call_queue.js";
import type { WaitingCall } from "./waiting_call.js";

/** Minimum time after which the caller of a shed call may retry, in milliseconds. */
const MIN_RETRY_AFTER_MS = 1_000;

/** Maximum time after which the caller of a shed call may retry, in milliseconds. */
const MAX_RETRY_AFTER_MS = 30_000;

const MS_PER_SECOND = 1_000;

/** Returns the expected wait of a queued call, given the fair share of its workspace, in milliseconds. */
export function expectedWaitMs(waiting: WaitingCall, queue: CallQueue, drainRate: DrainRate): number {
    const tier = queue.tier(waiting.rank);
    const fairTokens = tier.tokensOf(waiting.workspace) * Math.max(1, tier.activeWorkspaces);
    const tokensAhead = queue.tokensAbove(waiting.rank) + Math.min(tier.tokens, fairTokens);
    return tokensAhead / drainRate.availableTo(waiting.rank) * MS_PER_SECOND;
}

/** Returns the time after which the caller of a shed call may retry, with random jitter, in milliseconds. */
export function retryAfterMs(waiting: WaitingCall, queue: CallQueue, drainRate: DrainRate, random: RandomSource): number {
    const queuedTokens = queue.tokensAbove(waiting.rank) + queue.tier(waiting.rank).tokens;
    const drainMs = queuedTokens / drainRate.availableTo(waiting.rank) * MS_PER_SECOND;
    const jitter = 1 + random.next();
    return Math.min(MAX_RETRY_AFTER_MS, jitter * Math.max(MIN_RETRY_AFTER_MS, drainMs));
}
