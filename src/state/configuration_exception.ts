/**
 * Configuration exceptions: overrides of the default at one path, with a reason, an author and an optional expiry.
 *
 * @module
 */

import type { ConfigurationDocument, ConfigurationException, ExceptionValue, Operation } from "./configuration.js";
import { indexItems, ItemList } from "./configuration_change.js";

/** Lists whose items exceptions can override. */
const OVERRIDABLE_LISTS: readonly ItemList[] = [
    ItemList.Tiers,
    ItemList.Pools,
    ItemList.Operations,
    ItemList.Workspaces,
];

/** Parsed path of an exception. */
export interface ExceptionPath {
    readonly list: ItemList;
    /** Name of the item. */
    readonly name: string;
    /** Field names that lead from the item to the value. */
    readonly fields: readonly string[];
    /** Workspace that the exception is limited to, if any; only exceptions to operations can be limited. */
    readonly workspace: string | undefined;
}

/**
 * Parses a path: `LIST/NAME/FIELD...`, or `workspaces/NAME/operations/NAME/FIELD...` for one workspace.
 *
 * @param text Path, such as `operations/claim-filing/promise/answerMs`.
 * @returns The parsed path, or `undefined` when the path is malformed.
 */
export function parseExceptionPath(text: string): ExceptionPath | undefined {
    const segments = text.split("/");
    if (segments.includes("")) {
        return undefined;
    }
    const isLimited = segments[0] === ItemList.Workspaces && segments[2] === ItemList.Operations;
    const [list, name, ...fields] = isLimited ? segments.slice(2) : segments;
    const overridable = OVERRIDABLE_LISTS.find(each => each === list);
    if (overridable === undefined || name === undefined || fields.length === 0) {
        return undefined;
    }
    return { list: overridable, name, fields, workspace: isLimited ? segments[1] : undefined };
}

/** Tells whether an exception has expired. */
export function isExpired(exception: ConfigurationException, nowMs: number): boolean {
    return exception.endsAtMs !== undefined && exception.endsAtMs <= nowMs;
}

/** Returns the time at which the next exception expires, or infinity if none does. */
export function nextExceptionExpiryMs(document: ConfigurationDocument, nowMs: number): number {
    const endsMs = document.exceptions.filter(exception => !isExpired(exception, nowMs)).map(each => each.endsAtMs ?? Infinity);
    return Math.min(Infinity, ...endsMs);
}

/**
 * Returns a copy of an item with one field replaced.
 *
 * @param item Item, or an object nested in it.
 * @param fields Field names that lead from the item to the value.
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
 * Returns the document with all unexpired exceptions applied, except those limited to one workspace.
 *
 * @param document Document as published in the log.
 * @param nowMs Current time of this node.
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

/** Operations that exceptions override for one workspace, by name. */
export type WorkspaceOperations = ReadonlyMap<string, Operation>;

/**
 * Returns the operations that exceptions override for individual workspaces, by workspace.
 *
 * @param document Document returned by {@linkcode applyExceptions}.
 * @param nowMs Current time of this node.
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
        const overridden = byWorkspace.get(path.workspace) ?? new Map<string, Operation>();
        byWorkspace.set(path.workspace, overridden);
        const operation = overridden.get(path.name) ?? operations.get(path.name);
        if (operation !== undefined) {
            overridden.set(path.name, overrideField(operation, path.fields, exception.value) as Operation);
        }
    }
    return byWorkspace;
}

/** Source of a configuration value. */
export interface ValueSource {
    /** Path at which the value is set: the path of the exception, or the path in the defaults. */
    readonly path: string;
    readonly value: unknown;
    /** Exception that sets the value; omitted for a default. */
    readonly exception?: ConfigurationException;
    /** Whether the exception has expired and so has no effect. */
    readonly expired: boolean;
}

/** Effective value of a path with all its sources. */
export interface Explanation {
    /** Source that is in effect; `undefined` when the path names no value. */
    readonly effective: ValueSource | undefined;
    /** All sources by descending precedence, including expired exceptions. */
    readonly sources: readonly ValueSource[];
}

/**
 * Explains the source of the effective value of a path. Precedence: exception for the workspace, general exception, default.
 *
 * @param document Document as published in the log.
 * @param text Path in the form of {@linkcode parseExceptionPath}.
 * @param nowMs Current time of this node.
 */
export function explainPath(document: ConfigurationDocument, text: string, nowMs: number): Explanation {
    const path = parseExceptionPath(text);
    if (path === undefined) {
        return { effective: undefined, sources: [] };
    }
    const generalPath = [path.list, path.name, ...path.fields].join("/");
    const sources: ValueSource[] = [];
    for (const candidate of new Set([text, generalPath])) {
        const exception = document.exceptions.find(each => each.path === candidate);
        if (exception !== undefined) {
            sources.push({ path: candidate, value: exception.value, exception, expired: isExpired(exception, nowMs) });
        }
    }
    const value = readField(indexItems(document[path.list]).get(path.name), path.fields);
    if (value !== undefined) {
        sources.push({ path: generalPath, value, expired: false });
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
