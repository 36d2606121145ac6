/**
 * Division of calls between versions by their ids.
 *
 * @module
 */

import xxhash from "xxhash-wasm";

/** Largest value of the hash, plus one. */
const HASH_RANGE = 0x1_0000_0000;

const { h32 } = await xxhash();

/**
 * Maps a call to a fraction; the calls of a rollout are spread evenly, and those of different rollouts independently.
 *
 * @param callId Id of the call.
 * @param rolloutId Id of the rollout.
 * @returns Number from 0 to 1, without 1.
 */
export function callFraction(callId: string, rolloutId: string): number {
    return h32(`${rolloutId} ${callId}`) / HASH_RANGE;
}
