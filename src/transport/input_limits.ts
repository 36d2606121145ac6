/**
 * Limits on what a node reads from others.
 *
 * @module
 */

import { type Clock, MemoryBudget, SystemClock } from "../state/mod.js";
import { ReadPacer } from "./read_pacer.js";

/** Memory of bytes that are held for others, in bytes, unless it is configured. */
const DEFAULT_MEMORY_BYTES = 16_777_216;

/** Memory and time of the event loop that all connections of a node share. */
export class InputLimits {
    /** Memory of bytes that are held until they are complete, or written. */
    readonly memory: MemoryBudget;
    readonly pacer: ReadPacer;

    /**
     * @param clock Clock by which connections are paced.
     * @param memoryBytes Memory of bytes that are held for others, in bytes. Defaults to 16 MiB.
     */
    constructor(clock: Clock = new SystemClock(), memoryBytes = DEFAULT_MEMORY_BYTES) {
        this.memory = new MemoryBudget(memoryBytes);
        this.pacer = new ReadPacer(clock);
    }
}
