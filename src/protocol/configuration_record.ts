/**
 * Encoding of the records of the configuration stream in the log.
 *
 * @module
 */

import { z } from "zod";
import { ChangeKind, type ItemChange, ItemList } from "../state/mod.js";
import { changesSchema } from "./_configuration_schema.js";

/** Log stream of configuration changes. */
export const CONFIGURATION_STREAM = "configuration";

/** Maximum size of a record, in bytes. */
export const MAX_CONFIGURATION_RECORD_BYTES = 1024 * 1024;

/** Record format version that this release writes; records of later formats are skipped. */
const RECORD_FORMAT = 1;

const headSchema = z.object({ format: z.int().min(1) });

const recordSchema = z.strictObject({
    format: z.literal(RECORD_FORMAT),
    id: z.string().min(1).max(200),
    madeAgainst: z.int().min(-1),
    author: z.string().min(1),
    atMs: z.int().min(0),
    changes: changesSchema,
});

/** Changes in one record of the log, which are applied atomically. */
export interface ConfigurationRecord {
    /** Idempotency id of the change; a change that was appended twice has the same id in both records. */
    readonly id: string;
    /** Version that the changes are based on; they take effect only if that version is in force. */
    readonly madeAgainst: number;
    /** Operator who made the changes. */
    readonly author: string;
    /** Time of the change, in milliseconds since the Unix epoch. */
    readonly atMs: number;
    readonly changes: readonly ItemChange[];
}

/** Result kinds of decoding a record. */
export enum RecordKind {
    Changes = "changes",
    Malformed = "malformed",
    /** The record was written by a later release in a format that this one cannot read. */
    LaterFormat = "laterFormat",
}

/** Result of decoding a record. */
export type DecodedRecord =
    | { readonly kind: RecordKind.Changes; readonly record: ConfigurationRecord }
    | { readonly kind: RecordKind.Malformed; readonly reason: string }
    | { readonly kind: RecordKind.LaterFormat; readonly format: number };

/** Encodes a record for the log. */
export function encodeConfigurationRecord(record: ConfigurationRecord): Uint8Array {
    return Buffer.from(JSON.stringify({ format: RECORD_FORMAT, ...record }));
}

/**
 * Decodes a record of the log. The result depends only on the record's bytes, so that all nodes of a release skip the same records.
 *
 * @param data Bytes of the record.
 */
export function decodeConfigurationRecord(data: Uint8Array): DecodedRecord {
    let value: unknown;
    try {
        value = JSON.parse(Buffer.from(data).toString("utf8"));
    }
    catch (error) {
        return { kind: RecordKind.Malformed, reason: (error as Error).message };
    }
    const head = headSchema.safeParse(value);
    if (head.success && head.data.format > RECORD_FORMAT) {
        return { kind: RecordKind.LaterFormat, format: head.data.format };
    }
    const result = recordSchema.safeParse(value);
    if (!result.success) {
        return { kind: RecordKind.Malformed, reason: result.error.issues[0].message };
    }
    if (hasMismatchedAuthor(result.data)) {
        return { kind: RecordKind.Malformed, reason: "the author of an exception differs from the author of the record" };
    }
    return { kind: RecordKind.Changes, record: result.data };
}

function hasMismatchedAuthor(record: ConfigurationRecord): boolean {
    return record.changes.some(change =>
        change.kind === ChangeKind.Set && change.list === ItemList.Exceptions && change.item.author !== record.author
    );
}
