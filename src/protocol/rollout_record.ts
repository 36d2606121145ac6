/**
 * Encoding of the records of the rollout stream in the log.
 *
 * @module
 */

import { z } from "zod";

/** Log stream of rollouts. */
export const ROLLOUT_STREAM = "rollouts";

/** Record format version that this release writes; records of later formats are skipped. */
const RECORD_FORMAT = 1;

/** Kinds of rollout records. */
export enum RolloutRecordKind {
    Started = "started",
    Paused = "paused",
    Resumed = "resumed",
    RolledBack = "rolledBack",
    Done = "done",
    Late = "late",
    /** A webhook receiver accepted an event. */
    EventDelivered = "told",
    /** Versions in force and forbidden versions, appended again so that they survive the log's retention. */
    Standing = "standing",
}

const nameSchema = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, "must be 1 to 63 lower-case letters, digits and hyphens");
const versionSchema = z.string().regex(
    /^[0-9A-Za-z][0-9A-Za-z.+_-]{0,62}$/,
    "must be 1 to 63 letters, digits, dots, plus signs, hyphens and underscores",
);
const timeSchema = z.int().min(0);
const textSchema = z.string().max(500);

const commonFields = {
    format: z.literal(RECORD_FORMAT),
    id: z.string().min(1),
    author: z.string().min(1).max(200),
};

const poolVersionSchema = z.strictObject({ pool: nameSchema, version: versionSchema });

const recordSchema = z.discriminatedUnion("kind", [
    z.object({
        ...commonFields,
        kind: z.literal(RolloutRecordKind.Started),
        rollout: z.string().min(1),
        pool: nameSchema,
        version: versionSchema,
        fromVersion: versionSchema,
        startMs: timeSchema,
        deadlineMs: timeSchema,
        neededServers: z.int().min(0).max(100_000),
    }),
    z.object({ ...commonFields, kind: z.literal(RolloutRecordKind.Paused), rollout: z.string().min(1), reason: textSchema }),
    z.object({
        ...commonFields,
        kind: z.literal(RolloutRecordKind.Resumed),
        rollout: z.string().min(1),
        madeAgainst: z.int().min(0),
    }),
    z.object({ ...commonFields, kind: z.literal(RolloutRecordKind.RolledBack), rollout: z.string().min(1), reason: textSchema }),
    z.object({ ...commonFields, kind: z.literal(RolloutRecordKind.Done), rollout: z.string().min(1), evidence: textSchema }),
    z.object({ ...commonFields, kind: z.literal(RolloutRecordKind.Late), rollout: z.string().min(1), reason: textSchema }),
    z.object({ ...commonFields, kind: z.literal(RolloutRecordKind.EventDelivered), eventId: z.string().min(1) }),
    z.object({
        ...commonFields,
        kind: z.literal(RolloutRecordKind.Standing),
        forbidden: z.array(poolVersionSchema),
        inForce: z.array(poolVersionSchema),
    }),
]);

/** Record of the rollout stream. */
export type RolloutRecord = Readonly<z.infer<typeof recordSchema>>;

/** Record to be encoded, without the format version. */
export type NewRolloutRecord = RolloutRecord extends infer Each ? Each extends unknown ? Omit<Each, "format"> : never : never;

const startSchema = z.strictObject({
    pool: nameSchema,
    version: versionSchema,
    author: z.string().min(1).max(200),
    deadlineMs: timeSchema,
});

/**
 * Validates the fields of a new rollout.
 *
 * @returns One sentence per problem, which states the field, its value and what is allowed.
 */
export function findStartProblems(start: z.infer<typeof startSchema>): readonly string[] {
    const result = startSchema.safeParse(start);
    return result.success ? [] : result.error.issues.map(issue => {
        const field = String(issue.path[0]);
        const value = JSON.stringify(start[field as keyof typeof start]) ?? "missing";
        return `Field "${field}" is wrong: ${issue.message}; its value is ${value}.`;
    });
}

/** Encodes a record for the log. */
export function encodeRolloutRecord(record: NewRolloutRecord): Uint8Array {
    return Buffer.from(JSON.stringify({ format: RECORD_FORMAT, ...record }));
}

/**
 * Decodes a record of the log.
 *
 * @returns The record, or `undefined` when it is malformed or has a later format; all nodes skip the same records.
 */
export function decodeRolloutRecord(data: Uint8Array): RolloutRecord | undefined {
    try {
        const result = recordSchema.safeParse(JSON.parse(Buffer.from(data).toString("utf8")));
        return result.success ? result.data : undefined;
    }
    catch {
        return undefined;
    }
}
