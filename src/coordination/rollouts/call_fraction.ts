/**
 * Assignment of calls to versions by a hash of their ids.
 *
 * @module
 */

import xxhash from "xxhash-wasm";

/** Number of values of the 32-bit hash. */
const HASH_RANGE = 0x1_0000_0000;

const { h32 } = await xxhash();

/**
 * Maps a call to a fraction. The fractions of a rollout's calls are uniformly distributed, and independent between rollouts.
 *
 * @param callId Id of the call.
 * @param rolloutId Id of the rollout.
 * @returns Fraction from 0 (inclusive) to 1 (exclusive).
 */
export function callFraction(callId: string, rolloutId: string): number {
    return h32(`${rolloutId} ${callId}`) / HASH_RANGE;
}
