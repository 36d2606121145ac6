/**
 * Exceptions: values that override the defaults at one path, with a reason, an author and optionally an end.
 *
 * @module
 */

import type { ConfigurationDocument, ConfigurationException, ExceptionValue, Operation } from "./configuration.js";
import { indexItems, ItemList } from "./configuration_change.js";

/** Lists whose items an exception may override. */
const OVERRIDABLE_LISTS: readonly ItemList[] = [
    ItemList.Tiers,
    ItemList.Pools,
    ItemList.Operations,
    ItemList.Workspaces,
];

/** Parts of the path of an exception. */
export interface ExceptionPath {
    readonly list: ItemList;
    /** Name of the item. */
    readonly name: string;
    /** Fields from the item down to the value. */
    readonly fields: readonly string[];
    /** Workspace that the exception is limited to; only operations have one. */
    readonly workspace: string | undefined;
}

/**
 * Reads a path: `LIST/NAME/FIELD...`, or `workspaces/NAME/operations/NAME/FIELD...` for one workspace.
 *
 * @param text Path, such as `operations/claim-filing/promise/answerMs`.
 * @returns The parts, or `undefined` when the path has another form.
 */
export function parseExceptionPath(text: string): ExceptionPath | undefined {
    const parts = text.split("/");
    if (parts.includes("")) {
        return undefined;
    }
    const limited = parts[0] === ItemList.Workspaces && parts[2] === ItemList.Operations;
    const [list, name, ...fields] = limited ? parts.slice(2) : parts;
    const known = OVERRIDABLE_LISTS.find(each => each === list);
    if (known === undefined || name === undefined || fields.length === 0) {
        return undefined;
    }
    return { list: known, name, fields, workspace: limited ? parts[1] : undefined };
}

/** Tells whether an exception has come to its end. */
export function isExpired(exception: ConfigurationException, nowMs: number): boolean {
    return exception.endsAtMs !== undefined && exception.endsAtMs <= nowMs;
}

/** Returns the time at which the next exception ends, or infinity. */
export function nextExceptionExpiryMs(document: ConfigurationDocument, nowMs: number): number {
    const ends = document.exceptions.filter(exception => !isExpired(exception, nowMs)).map(each => each.endsAtMs ?? Infinity);
    return Math.min(Infinity, ...ends);
}

/**
 * Returns a copy of an item with one field replaced.
 *
 * @param item Item, or an object within it.
 * @param fields Fields from the item down to the value.
 * @param value New value.
 */
export function overrideField(item: object, fields: readonly string[], value: ExceptionValue): object {
    const [field, ...rest] = fields;
    if (rest.length === 0) {
        return { ...item, [field]: value };
    }
    const inner = (item as Readonly<Record<string, unknown>>)[field];
    return { ...item, [field]: overrideField(typeof inner === "object" && inner ? inner : {}, rest, value) };
}

/**
 * Returns the document with the exceptions that have not ended, but for those of single workspaces.
 *
 * @param document Document as it stands in the log.
 * @param nowMs Time of this node.
 */
export function applyExceptions(document: ConfigurationDocument, nowMs: number): ConfigurationDocument {
    let effective = document;
    for (const exception of document.exceptions) {
        const path = parseExceptionPath(exception.path);
        if (path === undefined || path.workspace !== undefined || isExpired(exception, nowMs)) {
            continue;
        }
        const items = effective[path.list].map(item =>
            "name" in item && item.name === path.name ? overrideField(item, path.fields, exception.value) : item
        );
        effective = { ...effective, [path.list]: items };
    }
    return effective;
}

/** Operations of one workspace that differ from those of all others, by name. */
export type WorkspaceOperations = ReadonlyMap<string, Operation>;

/**
 * Returns the operations that exceptions change for single workspaces, by workspace.
 *
 * @param document Document to which {@linkcode applyExceptions} was applied.
 * @param nowMs Time of this node.
 */
export function resolveWorkspaceOperations(
    document: ConfigurationDocument,
    nowMs: number,
): ReadonlyMap<string, WorkspaceOperations> {
    const byWorkspace = new Map<string, Map<string, Operation>>();
    const operations = indexItems(document.operations);
    for (const exception of document.exceptions) {
        const path = parseExceptionPath(exception.path);
        if (path?.workspace === undefined || isExpired(exception, nowMs)) {
            continue;
        }
        const own = byWorkspace.get(path.workspace) ?? new Map<string, Operation>();
        byWorkspace.set(path.workspace, own);
        const operation = own.get(path.name) ?? operations.get(path.name);
        if (operation !== undefined) {
            own.set(path.name, overrideField(operation, path.fields, exception.value) as Operation);
        }
    }
    return byWorkspace;
}

/** Where a value comes from. */
export interface ValueSource {
    /** Path at which the value stands; an exception's path, or the path in the defaults. */
    readonly path: string;
    readonly value: unknown;
    /** Exception that gives the value; left out for a default. */
    readonly exception?: ConfigurationException;
    /** Whether the exception has ended, so that it has no effect. */
    readonly expired: boolean;
}

/** Effective value of a path, and everything that bears on it. */
export interface Explanation {
    /** Source in force; `undefined` when the path names no value. */
    readonly effective: ValueSource | undefined;
    /** All sources, the one that goes first in front; expired exceptions are among them. */
    readonly sources: readonly ValueSource[];
}

/**
 * Explains where the effective value of a path comes from: an exception of the workspace, then one of all, then the default.
 *
 * @param document Document as it stands in the log.
 * @param text Path in the form of {@linkcode parseExceptionPath}.
 * @param nowMs Time of this node.
 */
export function explainPath(document: ConfigurationDocument, text: string, nowMs: number): Explanation {
    const path = parseExceptionPath(text);
    if (path === undefined) {
        return { effective: undefined, sources: [] };
    }
    const general = [path.list, path.name, ...path.fields].join("/");
    const sources: ValueSource[] = [];
    for (const candidate of new Set([text, general])) {
        const exception = document.exceptions.find(each => each.path === candidate);
        if (exception !== undefined) {
            sources.push({ path: candidate, value: exception.value, exception, expired: isExpired(exception, nowMs) });
        }
    }
    const value = readField(indexItems(document[path.list]).get(path.name), path.fields);
    if (value !== undefined) {
        sources.push({ path: general, value, expired: false });
    }
    return { effective: sources.find(source => !source.expired), sources };
}

function readField(item: unknown, fields: readonly string[]): unknown {
    let value = item;
    for (const field of fields) {
        value = typeof value === "object" && value ? (value as Readonly<Record<string, unknown>>)[field] : undefined;
    }
    return value;
}
