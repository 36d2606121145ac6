/**
 * Encoding of configuration snapshots, which outlast the retention of the records that they cover.
 *
 * @module
 */

import { deflateRawSync, inflateRawSync } from "node:zlib";
import { z } from "zod";
import type { Configuration } from "../state/mod.js";
import { checkDocument } from "./configuration_check.js";

/** Log stream of configuration snapshots. */
export const SNAPSHOT_STREAM = "configuration-snapshots";

/** Maximum size of a decompressed snapshot, in bytes. */
const MAX_SNAPSHOT_BYTES = 16 * 1024 * 1024;

/** Snapshot format version that this release writes; snapshots of later formats are skipped. */
const SNAPSHOT_FORMAT = 1;

const snapshotSchema = z.strictObject({
    format: z.literal(SNAPSHOT_FORMAT),
    version: z.int().min(0),
    nextOffset: z.int().min(1),
    atMs: z.int().min(0),
    applied: z.array(z.strictObject({ id: z.string(), version: z.int() })),
    document: z.unknown(),
});

/** Id of a change that took effect. */
export interface AppliedId {
    readonly id: string;
    /** Configuration version that the change created. */
    readonly version: number;
}

/** Configuration after applying all log records below an offset. */
export interface ConfigurationSnapshot {
    readonly configuration: Configuration;
    /** Offset of the first record that the snapshot does not cover. */
    readonly nextOffset: number;
    /** Most recently applied changes, oldest first, used to detect duplicates. */
    readonly applied: readonly AppliedId[];
    /** Time at which the snapshot was taken, in milliseconds since the Unix epoch. */
    readonly atMs: number;
}

/** Encodes a snapshot for the log or for a peer. */
export function encodeSnapshot({ configuration, ...rest }: ConfigurationSnapshot): Uint8Array {
    return deflateRawSync(JSON.stringify({ format: SNAPSHOT_FORMAT, ...configuration, ...rest }));
}

/**
 * Decodes and validates a snapshot.
 *
 * @returns The snapshot, or `undefined` when it is malformed or has a later format.
 */
export function decodeSnapshot(data: Uint8Array): ConfigurationSnapshot | undefined {
    try {
        const text = inflateRawSync(data, { maxOutputLength: MAX_SNAPSHOT_BYTES }).toString("utf8");
        const { version, nextOffset, applied, atMs, document } = snapshotSchema.parse(JSON.parse(text));
        const checked = checkDocument(document);
        if (checked.problems !== undefined || version >= nextOffset) {
            return undefined;
        }
        return { configuration: { version, document: checked.document }, nextOffset, applied, atMs };
    }
    catch {
        return undefined;
    }
}
