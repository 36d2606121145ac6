/**
 * Encoding of the records of the lease stream in the log.
 *
 * @module
 */

import { z } from "zod";

/** Log stream of leases on groups of backend servers. */
export const LEASE_STREAM = "leases";

/** Record format version that this release writes; records of later formats are skipped. */
const RECORD_FORMAT = 1;

/** Kinds of lease records. */
export enum LeaseRecordKind {
    Acquired = "taken",
    Renewed = "renewed",
    Released = "released",
}

const recordSchema = z.object({
    format: z.literal(RECORD_FORMAT),
    kind: z.enum(LeaseRecordKind),
    id: z.string().min(1),
    group: z.string().min(1),
    holder: z.string().min(1),
    /** Offset of the group's last record that the holder had read, for optimistic concurrency control; -1 for none. */
    madeAgainst: z.int().min(-1),
    /** Expiry of the lease by the holder's clock, in milliseconds since the Unix epoch. */
    expiresAtMs: z.number().min(0),
});

/** Record of the lease stream. */
export type LeaseRecord = Readonly<z.infer<typeof recordSchema>>;

/** Encodes a record for the log. */
export function encodeLeaseRecord(record: Omit<LeaseRecord, "format">): Uint8Array {
    return Buffer.from(JSON.stringify({ format: RECORD_FORMAT, ...record }));
}

/** Decodes a record of the log. Returns `undefined` when it is malformed or has a later format. */
export function decodeLeaseRecord(data: Uint8Array): LeaseRecord | undefined {
    try {
        const result = recordSchema.safeParse(JSON.parse(Buffer.from(data).toString("utf8")));
        return result.success ? result.data : undefined;
    }
    catch {
        return undefined;
    }
}
