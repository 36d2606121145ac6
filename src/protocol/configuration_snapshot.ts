/**
 * Snapshots of the configuration, which outlive the retention of the records that they cover.
 *
 * @module
 */

import { deflateRawSync, inflateRawSync } from "node:zlib";
import { z } from "zod";
import type { Configuration } from "../state/mod.js";
import { checkDocument } from "./configuration_check.js";

/** Stream of the log that holds snapshots of the configuration. */
export const SNAPSHOT_STREAM = "configuration-snapshots";

/** Largest snapshot after inflating, in bytes. */
const MAX_SNAPSHOT_BYTES = 16 * 1024 * 1024;

/** Format of snapshots that this release writes; those of later formats are skipped. */
const SNAPSHOT_FORMAT = 1;

const snapshotSchema = z.strictObject({
    format: z.literal(SNAPSHOT_FORMAT),
    version: z.int().min(0),
    nextOffset: z.int().min(1),
    atMs: z.int().min(0),
    document: z.unknown(),
});

/** Configuration after all records of the log below an offset. */
export interface ConfigurationSnapshot {
    readonly configuration: Configuration;
    /** Offset of the first record that the snapshot does not cover. */
    readonly nextOffset: number;
    /** Time at which it was taken, in milliseconds since the Unix epoch. */
    readonly atMs: number;
}

/** Writes a snapshot for the log or for a peer. */
export function encodeSnapshot({ configuration, nextOffset, atMs }: ConfigurationSnapshot): Uint8Array {
    return deflateRawSync(JSON.stringify({ format: SNAPSHOT_FORMAT, ...configuration, nextOffset, atMs }));
}

/**
 * Reads a snapshot.
 *
 * @returns The snapshot, or `undefined` when it is malformed or of a later format.
 */
export function decodeSnapshot(data: Uint8Array): ConfigurationSnapshot | undefined {
    try {
        const text = inflateRawSync(data, { maxOutputLength: MAX_SNAPSHOT_BYTES }).toString("utf8");
        const { version, nextOffset, atMs, document } = snapshotSchema.parse(JSON.parse(text));
        const checked = checkDocument(document);
        if (checked.problems !== undefined || version >= nextOffset) {
            return undefined;
        }
        return { configuration: { version, document: checked.document }, nextOffset, atMs };
    }
    catch {
        return undefined;
    }
}
