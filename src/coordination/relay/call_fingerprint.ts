/**
 * Fingerprint of a call's content.
 *
 * @module
 */

import xxhash from "xxhash-wasm";
import type { RelayCall } from "../../protocol/relay/mod.js";

const { h32, h32Raw } = await xxhash();

/**
 * Returns a 32-bit hash of what a caller sends again when it repeats a call: method, host, path with the query, workspace and body. The
 * id and the deadline of the call differ each time.
 */
export function fingerprintOf({ head, method, target, body }: RelayCall, workspace: string | undefined): number {
    return h32Raw(body, h32(JSON.stringify([method, head.host, target, workspace ?? ""])));
}
