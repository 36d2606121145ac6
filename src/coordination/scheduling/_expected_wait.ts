/**
 * Expected wait of a call in the queue.
 *
 * @module
 */

import type { RandomSource } from "../../state/mod.js";
import type { DrainRate } from "./_drain_rate.js";
import type { CallQueue } from "./call_queue.js";
import type { WaitingCall } from "./waiting_call.js";

/** Shortest time after which a caller that was shed may ask again, in milliseconds. */
const MIN_RETRY_AFTER_MS = 1_000;

/** Longest time after which a caller that was shed may ask again, in milliseconds. */
const MAX_RETRY_AFTER_MS = 30_000;

/** Milliseconds in a second. */
const MS_PER_SECOND = 1_000;

/** Returns the time that a call in the queue is expected to wait, given its workspace's fair share, in milliseconds. */
export function expectedWaitMs(waiting: WaitingCall, queue: CallQueue, drain: DrainRate): number {
    const tier = queue.tier(waiting.rank);
    const fairTokens = tier.tokensOf(waiting.workspace) * Math.max(1, tier.activeWorkspaces);
    const ahead = queue.tokensAbove(waiting.rank) + Math.min(tier.tokens, fairTokens);
    return ahead / drain.availableTo(waiting.rank) * MS_PER_SECOND;
}

/** Returns the time after which the caller of a call that is shed may ask again, spread at random, in milliseconds. */
export function retryAfterMs(waiting: WaitingCall, queue: CallQueue, drain: DrainRate, random: RandomSource): number {
    const tokens = queue.tokensAbove(waiting.rank) + queue.tier(waiting.rank).tokens;
    const drainMs = tokens / drain.availableTo(waiting.rank) * MS_PER_SECOND;
    const spread = 1 + random.next();
    return Math.min(MAX_RETRY_AFTER_MS, spread * Math.max(MIN_RETRY_AFTER_MS, drainMs));
}
