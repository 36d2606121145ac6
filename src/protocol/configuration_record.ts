/**
 * Records of the configuration stream in the log.
 *
 * @module
 */

import { z } from "zod";
import { type ConfigurationDocument, PoolKind, Semantics } from "../state/mod.js";
import { describeIssue } from "./schema_problem.js";

/** Stream of the log that holds configuration. */
export const CONFIGURATION_STREAM = "configuration";

/** Format of records that this release writes; records of later formats are skipped. */
const RECORD_FORMAT = 1;

const nameSchema = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, "must be 1 to 63 lower-case letters, digits and hyphens");
const durationSchema = z.int().min(1).max(86_400_000);

const promiseSchema = z.strictObject({
    firstTokenMs: durationSchema.optional(),
    betweenTokensMs: durationSchema.optional(),
    answerMs: durationSchema,
});

const routeSchema = z.strictObject({
    service: nameSchema,
    method: z.enum(["GET", "POST", "PUT", "PATCH", "DELETE"]),
    pathPrefix: z.string().startsWith("/"),
});

const operationSchema = z.strictObject({
    name: nameSchema,
    tier: nameSchema,
    pool: nameSchema,
    semantics: z.enum(Semantics),
    promise: promiseSchema,
    routes: z.array(routeSchema).default([]),
});

const workspaceSchema = z.strictObject({
    name: nameSchema,
    keyHash: z.string().regex(/^[0-9a-f]{64}$/, "must be a SHA-256 in lower-case hexadecimal"),
});

const documentSchema = z.strictObject({
    tiers: z.array(z.strictObject({ name: nameSchema, rank: z.int().min(0).max(15) })),
    pools: z.array(z.strictObject({ name: nameSchema, kind: z.enum(PoolKind) })),
    operations: z.array(operationSchema),
    workspaces: z.array(workspaceSchema),
});

const recordSchema = z.object({
    format: z.literal(RECORD_FORMAT),
    id: z.string().min(1),
    madeAgainst: z.int().min(-1),
    author: z.string().min(1),
    document: documentSchema,
});

/** Change of the configuration as it stands in the log. */
export interface ConfigurationRecord {
    /** Id given by the node that appended it. */
    readonly id: string;
    /** Version that the change was made against; it takes effect only when that version is in force. */
    readonly madeAgainst: number;
    /** Operator who made the change. */
    readonly author: string;
    readonly document: ConfigurationDocument;
}

/** Result of checking a document: the document, or its problems. */
export type CheckedDocument =
    | { readonly document: ConfigurationDocument; readonly problems?: undefined }
    | { readonly document?: undefined; readonly problems: readonly string[] };

/**
 * Checks a configuration document: its shape, then the names that it refers to.
 *
 * @param value Parsed YAML or JSON.
 */
export function checkDocument(value: unknown): CheckedDocument {
    const result = documentSchema.safeParse(value);
    if (!result.success) {
        return { problems: result.error.issues.map(issue => describeIssue(issue, "document", value).text) };
    }
    const problems = findReferenceProblems(result.data);
    return problems.length > 0 ? { problems } : { document: result.data };
}

/** Writes a record for the log. */
export function encodeConfigurationRecord(record: ConfigurationRecord): Uint8Array {
    return Buffer.from(JSON.stringify({ format: RECORD_FORMAT, ...record }));
}

/**
 * Reads a record of the log.
 *
 * @returns The record, or `undefined` when it is malformed or of a later format; every node skips it alike.
 */
export function decodeConfigurationRecord(data: Uint8Array): ConfigurationRecord | undefined {
    try {
        const result = recordSchema.safeParse(JSON.parse(Buffer.from(data).toString("utf8")));
        return result.success && findReferenceProblems(result.data.document).length === 0 ? result.data : undefined;
    }
    catch {
        return undefined;
    }
}

function findReferenceProblems(document: ConfigurationDocument): readonly string[] {
    const tiers = new Set(document.tiers.map(tier => tier.name));
    const pools = new Set(document.pools.map(pool => pool.name));
    const problems = [
        ...findRepeated("tiers", document.tiers.map(tier => tier.name)),
        ...findRepeated("pools", document.pools.map(pool => pool.name)),
        ...findRepeated("operations", document.operations.map(operation => operation.name)),
        ...findRepeated("workspaces", document.workspaces.map(workspace => workspace.name)),
    ];
    for (const [index, operation] of document.operations.entries()) {
        if (!tiers.has(operation.tier)) {
            problems.push(
                `Field "operations[${index}].tier" is wrong: no tier is named "${operation.tier}"; add it under tiers.`,
            );
        }
        if (!pools.has(operation.pool)) {
            problems.push(
                `Field "operations[${index}].pool" is wrong: no pool is named "${operation.pool}"; add it under pools.`,
            );
        }
    }
    return problems;
}

function findRepeated(list: string, names: readonly string[]): readonly string[] {
    const problems: string[] = [];
    const seen = new Set<string>();
    for (const [index, name] of names.entries()) {
        if (seen.has(name)) {
            problems.push(`Field "${list}[${index}].name" is wrong: "${name}" stands twice; give it another name.`);
        }
        seen.add(name);
    }
    return problems;
}
