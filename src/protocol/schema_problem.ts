/**
 * Human-readable descriptions of schema validation problems.
 *
 * @module
 */

import type { z } from "zod";

/** Problem found while validating a document. */
export interface SchemaProblem {
    /** Path of the field, such as `tiers[0].rank`. */
    readonly path: string;
    /** Sentence that states the path, what is wrong and what is allowed. */
    readonly text: string;
}

/**
 * Describes a validation issue.
 *
 * @param issue Issue reported by the schema library.
 * @param root Name that stands for the document itself when the path is empty.
 * @param document Validated document; when given, the description includes the offending value.
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
