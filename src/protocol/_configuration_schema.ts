/**
 * Schemas of configuration documents, items and changes.
 *
 * @module
 */

import { z } from "zod";
import { ChangeKind, ItemList, PoolKind, Semantics } from "../state/mod.js";

/** Maximum length of an exception's reason, in characters. */
const MAX_REASON_LENGTH = 1_000;

/** Maximum length of an exception's path, in characters. */
const MAX_PATH_LENGTH = 300;

/** Maximum number of changes in one record. */
export const MAX_CHANGES_PER_RECORD = 5_000;

const nameSchema = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, "must be 1 to 63 lower-case letters, digits and hyphens");
const durationSchema = z.int().min(1).max(86_400_000);

const latencyObjectivesSchema = z.strictObject({
    firstTokenMs: durationSchema.optional(),
    betweenTokensMs: durationSchema.optional(),
    answerMs: durationSchema,
});

const routeSchema = z.strictObject({
    service: nameSchema,
    method: z.enum(["GET", "POST", "PUT", "PATCH", "DELETE"]),
    pathPrefix: z.string().startsWith("/"),
});

const exceptionSchema = z.strictObject({
    path: z.string().min(1).max(MAX_PATH_LENGTH),
    value: z.union([z.string(), z.number(), z.boolean()]),
    reason: z.string().max(MAX_REASON_LENGTH).regex(/\S/, "must say why the exception is made"),
    author: z.string().min(1),
    madeAtMs: z.int().min(0),
    endsAtMs: z.int().min(0).optional(),
});

/** Schema of the items of each list. */
export const ITEM_SCHEMAS = {
    [ItemList.Tiers]: z.strictObject({ name: nameSchema, rank: z.int().min(0).max(15) }),
    [ItemList.Pools]: z.strictObject({ name: nameSchema, kind: z.enum(PoolKind) }),
    [ItemList.Operations]: z.strictObject({
        name: nameSchema,
        tier: nameSchema,
        pool: nameSchema,
        semantics: z.enum(Semantics),
        promise: latencyObjectivesSchema,
        routes: z.array(routeSchema).default([]),
    }),
    [ItemList.Workspaces]: z.strictObject({
        name: nameSchema,
        keyHash: z.string().regex(/^[0-9a-f]{64}$/, "must be a SHA-256 in lower-case hexadecimal"),
    }),
    [ItemList.Exceptions]: exceptionSchema,
} as const;

/** Schema of a complete configuration document. */
export const documentSchema = z.strictObject({
    tiers: z.array(ITEM_SCHEMAS[ItemList.Tiers]),
    pools: z.array(ITEM_SCHEMAS[ItemList.Pools]),
    operations: z.array(ITEM_SCHEMAS[ItemList.Operations]),
    workspaces: z.array(ITEM_SCHEMAS[ItemList.Workspaces]),
    exceptions: z.array(exceptionSchema).default([]),
});

function setSchema<List extends ItemList, Item extends z.ZodType>(list: List, item: Item) {
    return z.strictObject({ kind: z.literal(ChangeKind.Set), list: z.literal(list), item });
}

/** Schema of one change. */
const changeSchema = z.union([
    z.strictObject({ kind: z.literal(ChangeKind.Remove), list: z.enum(ItemList), key: z.string().min(1) }),
    z.discriminatedUnion("list", [
        setSchema(ItemList.Tiers, ITEM_SCHEMAS[ItemList.Tiers]),
        setSchema(ItemList.Pools, ITEM_SCHEMAS[ItemList.Pools]),
        setSchema(ItemList.Operations, ITEM_SCHEMAS[ItemList.Operations]),
        setSchema(ItemList.Workspaces, ITEM_SCHEMAS[ItemList.Workspaces]),
        setSchema(ItemList.Exceptions, ITEM_SCHEMAS[ItemList.Exceptions]),
    ]),
]);

/** Schema of the list of changes in one record. */
export const changesSchema = z.array(changeSchema).min(1).max(MAX_CHANGES_PER_RECORD);
