/**
 * Validation of configuration documents and changes, applied before a record is appended and again when it is read.
 *
 * @module
 */

import type { z } from "zod";
import {
    applyChanges,
    changedKey,
    ChangeKind,
    type ConfigurationDocument,
    type ConfigurationException,
    type ConfigurationItem,
    indexItems,
    ITEM_LISTS,
    type ItemChange,
    itemKey,
    ItemList,
    overrideField,
    parseExceptionPath,
} from "../state/mod.js";
import { changesSchema, documentSchema, ITEM_SCHEMAS } from "./_configuration_schema.js";
import { describeIssue } from "./schema_problem.js";

/** Fields that no exception may override, because they define the identity and nature of an item. */
const NON_OVERRIDABLE_FIELDS: ReadonlySet<string> = new Set(["name", "kind", "keyHash", "semantics", "routes"]);

/** Result of validating a document: the document, or its problems. */
export type CheckedDocument =
    | { readonly document: ConfigurationDocument; readonly problems?: undefined }
    | { readonly document?: undefined; readonly problems: readonly string[] };

/** Result of validating changes against the schema: the changes, or their problems. */
export type CheckedChanges =
    | { readonly changes: readonly ItemChange[]; readonly problems?: undefined }
    | { readonly changes?: undefined; readonly problems: readonly string[] };

/**
 * Validates a configuration document against the schema, then checks the names that it refers to.
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

/**
 * Validates changes against the schema.
 *
 * @param value Parsed JSON.
 */
export function checkChanges(value: unknown): CheckedChanges {
    const result = changesSchema.safeParse(value);
    if (result.success) {
        return { changes: result.data };
    }
    const requestIssues = result.error.issues.map(issue => ({ ...issue, path: ["changes", ...issue.path] }));
    return { problems: requestIssues.flatMap(issue => describeChangeIssue(issue, { changes: value })) };
}

/**
 * Applies changes and validates the resulting document.
 *
 * @param document Document in force, on which the changes are based.
 * @param changes Changes that {@linkcode checkChanges} accepted.
 */
export function applyAndCheck(document: ConfigurationDocument, changes: readonly ItemChange[]): CheckedDocument {
    const problems = findChangeProblems(document, changes);
    if (problems.length > 0) {
        return { problems };
    }
    const next = applyChanges(document, changes);
    const referenceProblems = findReferenceProblems(next);
    return referenceProblems.length > 0 ? { problems: referenceProblems } : { document: next };
}

function describeChangeIssue(issue: z.core.$ZodIssue, value: unknown): readonly string[] {
    if (issue.code !== "invalid_union") {
        return [describeIssue(issue, "changes", value).text];
    }
    // The union branch that matched deepest into the value is most likely the intended one.
    const deepBranches = issue.errors.filter(branch => branch.every(inner => inner.path.length > 1));
    const branch = deepBranches[0] ?? issue.errors.at(-1) ?? [];
    return branch.flatMap(inner => describeChangeIssue({ ...inner, path: [...issue.path, ...inner.path] }, value));
}

function findChangeProblems(document: ConfigurationDocument, changes: readonly ItemChange[]): readonly string[] {
    const problems: string[] = [];
    const changedPaths = new Set<string>();
    for (const [index, change] of changes.entries()) {
        const key = changedKey(change);
        const path = `${change.list}/${key}`;
        if (changedPaths.has(path)) {
            problems.push(`Field "changes[${index}]" is wrong: "${path}" is changed twice; change it once.`);
        }
        changedPaths.add(path);
        if (change.kind === ChangeKind.Remove && !indexItems(document[change.list]).has(key)) {
            problems.push(`Field "changes[${index}].key" is wrong: there is no "${path}"; look at the names with config show.`);
        }
    }
    return problems;
}

function findReferenceProblems(document: ConfigurationDocument): readonly string[] {
    const problems = ITEM_LISTS.flatMap(list => findDuplicates(list, document[list]));
    const hashes = new Set<string>();
    for (const [index, workspace] of document.workspaces.entries()) {
        if (hashes.has(workspace.keyHash)) {
            problems.push(
                `Field "workspaces[${index}].keyHash" is wrong: another workspace has the same key; give "${workspace.name}" its own.`,
            );
        }
        hashes.add(workspace.keyHash);
    }
    const tiers = new Set(document.tiers.map(tier => tier.name));
    const pools = new Set(document.pools.map(pool => pool.name));
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
    for (const [index, exception] of document.exceptions.entries()) {
        problems.push(...findExceptionProblems(document, exception).map(text => `Field "exceptions[${index}].${text}`));
    }
    return problems;
}

function findExceptionProblems(document: ConfigurationDocument, exception: ConfigurationException): readonly string[] {
    const path = parseExceptionPath(exception.path);
    if (path === undefined) {
        return [
            `path" is wrong: "${exception.path}" is no path; give LIST/NAME/FIELD or workspaces/NAME/operations/NAME/FIELD, such as operations/claim-filing/promise/answerMs.`,
        ];
    }
    const { list, name, fields, workspace } = path;
    if (NON_OVERRIDABLE_FIELDS.has(fields[0])) {
        return [`path" is wrong: "${fields[0]}" says what the item is and has no exceptions; change the item itself.`];
    }
    if (workspace !== undefined && !indexItems(document.workspaces).has(workspace)) {
        return [`path" is wrong: no workspace is named "${workspace}"; remove the exception "${exception.path}" first.`];
    }
    const item = indexItems(document[list]).get(name);
    if (item === undefined) {
        return [`path" is wrong: there is no "${list}/${name}"; remove the exception "${exception.path}" first.`];
    }
    if (exception.endsAtMs !== undefined && exception.endsAtMs <= exception.madeAtMs) {
        return [`endsAtMs" is wrong: the exception "${exception.path}" ends before it is made; give a later end.`];
    }
    return findOverrideProblems(document, exception, { list, item, fields });
}

/** Item that an exception applies to, with the path of fields to the overridden value. */
interface OverrideTarget {
    readonly list: ItemList;
    readonly item: ConfigurationItem;
    readonly fields: readonly string[];
}

function findOverrideProblems(
    document: ConfigurationDocument,
    exception: ConfigurationException,
    target: OverrideTarget,
): readonly string[] {
    const overridden = overrideField(target.item, target.fields, exception.value);
    const result = ITEM_SCHEMAS[target.list].safeParse(overridden);
    if (!result.success) {
        return result.error.issues.map(issue =>
            `value" is wrong for "${exception.path}": ${describeIssue(issue, "item", overridden).text}`
        );
    }
    const [field] = target.fields;
    const referencedItems = field === "tier" ? document.tiers : field === "pool" ? document.pools : undefined;
    if (
        target.list === ItemList.Operations && referencedItems !== undefined &&
        !indexItems(referencedItems).has(String(exception.value))
    ) {
        return [`value" is wrong: no ${field} is named "${exception.value}"; add it under ${field}s.`];
    }
    return [];
}

function findDuplicates(list: ItemList, items: readonly ConfigurationItem[]): readonly string[] {
    const problems: string[] = [];
    const seen = new Set<string>();
    const field = list === ItemList.Exceptions ? "path" : "name";
    for (const [index, item] of items.entries()) {
        const key = itemKey(item);
        if (seen.has(key)) {
            problems.push(`Field "${list}[${index}].${field}" is wrong: "${key}" stands twice; give it another ${field}.`);
        }
        seen.add(key);
    }
    return problems;
}
