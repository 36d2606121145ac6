/**
 * Random numbers as the parts of the system see them.
 *
 * @module
 */

import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

/** Largest value of an unsigned 32-bit number, plus one. */
const UINT32_RANGE = 0x1_0000_0000;

/** Source of random numbers that is passed to every part, so that runs can be repeated. */
export interface RandomSource {
    /** Returns a number from 0 to 1, without 1. */
    next(): number;

    /**
     * Returns a whole number from 0 to `limit`, without `limit`.
     *
     * @param limit Positive whole number.
     */
    nextInt(limit: number): number;
}

/** Random numbers that depend on nothing but the seed. */
export class SeededRandom implements RandomSource {
    private readonly generator: RandomGenerator;

    /** @param seed Whole number; the same seed gives the same numbers. */
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
