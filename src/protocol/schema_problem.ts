/**
 * Problems that a schema found, in words for people.
 *
 * @module
 */

import type { z } from "zod";

/** One problem of a document. */
export interface SchemaProblem {
    /** Path of the field, such as `tiers[0].rank`. */
    readonly path: string;
    /** Sentence that names the path, what is wrong and what is allowed. */
    readonly text: string;
}

/**
 * Describes an issue that a schema found.
 *
 * @param issue Issue of the schema library.
 * @param root Name used for the document itself.
 * @param document Document that was checked; when given, the offending value is named too.
 */
export function describeIssue(issue: z.core.$ZodIssue, root: string, document?: unknown): SchemaProblem {
    const path = formatPath(issue.path) || root;
    if (document === undefined) {
        return { path, text: `Field "${path}" is wrong: ${issue.message}.` };
    }
    const value = JSON.stringify(valueAt(document, issue.path));
    return { path, text: `Field "${path}" is wrong: ${issue.message}; its value is ${value ?? "missing"}.` };
}

function formatPath(path: readonly PropertyKey[]): string {
    let text = "";
    for (const part of path) {
        text += typeof part === "number" ? `[${part}]` : `${text === "" ? "" : "."}${String(part)}`;
    }
    return text;
}

function valueAt(document: unknown, path: readonly PropertyKey[]): unknown {
    let value = document;
    for (const part of path) {
        if (typeof value !== "object" || !value) {
            return undefined;
        }
        value = (value as Record<PropertyKey, unknown>)[part];
    }
    return value;
}
