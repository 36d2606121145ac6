/**
 * Short keys for ids in messages between nodes.
 *
 * @module
 */

import { crc32 } from "node:zlib";

/** Returns a 32-bit key for an id. */
export function hashKey(id: string): number {
    return crc32(id);
}
