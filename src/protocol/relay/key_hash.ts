/**
 * Hashing of ids to short keys for messages between nodes.
 *
 * @module
 */

import { crc32 } from "node:zlib";

/** Returns the CRC-32 of an id as its 32-bit key. */
export function hashKey(id: string): number {
    return crc32(id);
}
