/**
 * Limits on what a node reads from others.
 *
 * @module
 */

import { type Clock, MemoryBudget, SystemClock } from "../state/mod.js";
import { ReadPacer } from "./read_pacer.js";

/** Memory of bytes that are held for others, in bytes, unless it is configured. */
const DEFAULT_MEMORY_BYTES = 16_777_216;

/** Overrides of the defaults of {@linkcode InputLimits}. */
export interface InputLimitsSettings {
    /** Pieces a millisecond that all paced connections together may bring. */
    readonly piecesPerMs?: number;
    /** Smallest holder that is evicted while the memory is exceeded, in bytes. Defaults to 128 KiB. */
    readonly minEvictedBytes?: number;
}

/** Memory and time of the event loop that all connections of a node share. */
export class InputLimits {
    /** Memory of bytes that are held until they are complete, or written. */
    readonly memory: MemoryBudget;
    readonly pacer: ReadPacer;

    /**
     * @param clock Clock by which connections are paced.
     * @param memoryBytes Memory of bytes that are held for others, in bytes. Defaults to 16 MiB.
     * @param settings See {@linkcode InputLimitsSettings}.
     */
    constructor(clock: Clock = new SystemClock(), memoryBytes = DEFAULT_MEMORY_BYTES, settings: InputLimitsSettings = {}) {
        this.memory = new MemoryBudget(memoryBytes, settings.minEvictedBytes);
        this.pacer = new ReadPacer(clock, settings.piecesPerMs);
    }
}
