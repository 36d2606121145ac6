/**
 * Claim keys and their assignment to log streams.
 *
 * @module
 */

import { createHash } from "node:crypto";
import type { AcceptedCall } from "../../protocol/mod.js";

/** UUID of version 7, whose first 48 bits are its creation time; RFC 9562 (2024), section 5.7. */
const UUID_V7 = /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;

/** Range of creation times that one stream of dated keys covers, in milliseconds. */
export const STREAM_PERIOD_MS = 60_000;

/** Number of streams that undated keys are distributed over. */
export const UNDATED_STREAM_COUNT = 8;

/** Idempotency key of a call and the stream that holds its claims. */
export interface ClaimKey {
    readonly workspace: string;
    readonly key: string;
    /** Log stream that holds all claims of the key. */
    readonly stream: string;
    /** Creation time contained in the key, in milliseconds since the Unix epoch; `undefined` for an undated key. */
    readonly createdAtMs: number | undefined;
}

/**
 * Assigns a key to a stream.
 *
 * A key that contains its creation time belongs to the stream of that minute. Nearly all claims therefore go to one stream at a
 * time, and a stream that has lost records contains only old keys.
 *
 * @param workspace Workspace of the caller.
 * @param key Value of the `Idempotency-Key` header.
 */
export function toClaimKey(workspace: string, key: string): ClaimKey {
    const createdAtMs = parseCreationTime(key);
    if (createdAtMs !== undefined) {
        return { workspace, key, createdAtMs, stream: datedStream(createdAtMs) };
    }
    const hash = createHash("sha256").update(toQualifiedKey(workspace, key)).digest();
    return { workspace, key, createdAtMs, stream: undatedStream(hash.readUInt32BE(0) % UNDATED_STREAM_COUNT) };
}

/** Returns the name of the stream for keys created at a time. */
export function datedStream(createdAtMs: number): string {
    return `claims-minute-${Math.floor(createdAtMs / STREAM_PERIOD_MS)}`;
}

/** Returns the name of a stream for undated keys. */
export function undatedStream(index: number): string {
    return `claims-undated-${index}`;
}

/** Returns whether the keys of a stream contain their creation time. */
export function isDatedStream(stream: string): boolean {
    return stream.startsWith("claims-minute-");
}

/** Returns the key qualified with its workspace, which makes it unique across workspaces. */
export function toQualifiedKey(workspace: string, key: string): string {
    return `${workspace}\n${key}`;
}

/** Returns the digest of the parts of a call that a backend server sees. */
export function digestCall({ incoming }: AcceptedCall): Uint8Array {
    return createHash("sha256").update(`${incoming.method} ${incoming.path}${incoming.query}\n`).update(incoming.body).digest();
}

function parseCreationTime(key: string): number | undefined {
    const [, high, low] = UUID_V7.exec(key) ?? [];
    return high === undefined ? undefined : Number.parseInt(high + low, 16);
}
