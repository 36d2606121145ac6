/**
 * Memory of buffers that were read and are not needed any more.
 *
 * @module
 */

import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

/** Bytes of dropped buffers that are freed together. */
const RECLAIMED_BYTES = 4_194_304;

/** Collects the objects that were made since the last collections. */
type YoungCollection = (options: { readonly type: "minor" }) => void;

let droppedBytes = 0;
let collectYoung: YoungCollection | undefined;

/**
 * Records a buffer that was read and is dropped, or copied, right after, and frees such buffers before they take much memory.
 *
 * The engine counts buffers as outside of its heap, and lets 64 MB of them come together before it collects. A collection of young objects
 * takes a millisecond or two and finds them all. Buffers of the whole process count, as the collection frees those of the whole process.
 */
export function recordDroppedBuffer(bytes: number): void {
    droppedBytes += bytes;
    if (droppedBytes >= RECLAIMED_BYTES) {
        droppedBytes = 0;
        collectYoung ??= exposeCollection();
        collectYoung({ type: "minor" });
    }
}

/** Returns the engine's function for collections, which new contexts have once the flag is set. */
function exposeCollection(): YoungCollection {
    setFlagsFromString("--expose-gc");
    return runInNewContext("gc") as YoungCollection;
}
