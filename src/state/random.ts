/**
 * Random number abstraction, injected so that runs are reproducible.
 *
 * @module
 */

import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

/** Number of distinct unsigned 32-bit values. */
const UINT32_RANGE = 0x1_0000_0000;

/** Source of random numbers. */
export interface RandomSource {
    /** Returns a number from 0 (inclusive) to 1 (exclusive). */
    next(): number;

    /**
     * Returns an integer from 0 (inclusive) to `limit` (exclusive).
     *
     * @param limit Positive integer.
     */
    nextInt(limit: number): number;
}

/** Pseudorandom number generator whose sequence is determined by the seed. */
export class SeededRandom implements RandomSource {
    private readonly generator: RandomGenerator;

    /** @param seed Integer; the same seed yields the same sequence. */
    constructor(seed: number) {
        this.generator = xoroshiro128plus(seed);
    }

    next(): number {
        return (this.generator.next() >>> 0) / UINT32_RANGE;
    }

    nextInt(limit: number): number {
        return Math.floor(this.next() * limit);
    }
}
