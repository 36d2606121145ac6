/**
 * Keys of claims, and the log stream in which each key stands.
 *
 * @module
 */

import { createHash } from "node:crypto";
import type { AcceptedCall } from "../../protocol/mod.js";

/** Form of a UUID of version 7, whose first 48 bits are its time of creation; RFC 9562 (2024), section 5.7. */
const UUID_V7 = /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;

/** Time of creation that one stream of dated keys covers, in milliseconds. */
export const STREAM_PERIOD_MS = 60_000;

/** Streams that keys without a date are spread over. */
export const UNDATED_STREAM_COUNT = 8;

/** Key of a call with its stream. */
export interface ClaimKey {
    readonly workspace: string;
    readonly key: string;
    /** Log stream in which all claims of the key stand. */
    readonly stream: string;
    /** Time of creation that the key carries, in milliseconds since the Unix epoch. */
    readonly createdAtMs: number | undefined;
}

/**
 * Finds the stream of a key.
 *
 * A key that carries its time of creation stands in the stream of that minute, so that one stream at a time takes nearly all
 * claims, and a stream that has lost records is one whose keys are all old.
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

/** Returns the stream of keys created at a time. */
export function datedStream(createdAtMs: number): string {
    return `claims-minute-${Math.floor(createdAtMs / STREAM_PERIOD_MS)}`;
}

/** Returns one of the streams of keys without a date. */
export function undatedStream(index: number): string {
    return `claims-undated-${index}`;
}

/** Tells whether the keys of a stream carry their date. */
export function isDatedStream(stream: string): boolean {
    return stream.startsWith("claims-minute-");
}

/** Returns the name of a key that is unique over workspaces. */
export function toQualifiedKey(workspace: string, key: string): string {
    return `${workspace}\n${key}`;
}

/** Returns the digest of everything of a call that a backend server sees. */
export function digestCall({ incoming }: AcceptedCall): Uint8Array {
    return createHash("sha256").update(`${incoming.method} ${incoming.path}${incoming.query}\n`).update(incoming.body).digest();
}

function parseCreationTime(key: string): number | undefined {
    const [, high, low] = UUID_V7.exec(key) ?? [];
    return high === undefined ? undefined : Number.parseInt(high + low, 16);
}
