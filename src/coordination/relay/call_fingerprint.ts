/**
 * Fingerprint of a call's content.
 *
 * @module
 */

import xxhash, { type XXHashAPI } from "xxhash-wasm";
import type { RelayCall } from "../../protocol/relay/mod.js";

/** Computes fingerprints of calls' contents. */
export class CallFingerprint {
    private constructor(private readonly hash: XXHashAPI) {}

    /** Loads the hash function. */
    static async load(): Promise<CallFingerprint> {
        return new CallFingerprint(await xxhash());
    }

    /**
     * Returns a 32-bit hash of what a caller sends again when it repeats a call: method, host, path with the query, workspace and body.
     * The id and the deadline of the call differ each time.
     */
    compute({ head, method, target, body }: RelayCall, workspace: string | undefined): number {
        const { h32, h32Raw } = this.hash;
        return h32Raw(body, h32(JSON.stringify([method, head.host, target, workspace ?? ""])));
    }
}
