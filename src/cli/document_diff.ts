/**
 * Differences between two configuration documents.
 *
 * @module
 */

import { isDeepStrictEqual } from "node:util";
import type { ConfigurationDocument } from "../state/mod.js";

/** Kind of difference. */
export enum DifferenceKind {
    Added = "added",
    Removed = "removed",
    Changed = "changed",
}

/** One named item that differs. */
export interface Difference {
    readonly kind: DifferenceKind;
    /** List and name of the item, such as `tiers/urgent`. */
    readonly path: string;
    /** Line for people. */
    readonly text: string;
}

/** Item of a list, known by its name. */
interface NamedItem {
    readonly name: string;
}

/** Lists of a document in the order in which they are shown. */
const LISTS = ["tiers", "pools", "operations", "workspaces"] as const;

/**
 * Compares two documents item by item.
 *
 * @param current Document in force.
 * @param next Document that would replace it.
 */
export function diffDocuments(current: ConfigurationDocument, next: ConfigurationDocument): readonly Difference[] {
    return LISTS.flatMap(list => diffItems(list, current[list], next[list]));
}

function diffItems(list: string, current: readonly NamedItem[], next: readonly NamedItem[]): readonly Difference[] {
    const before = new Map(current.map(item => [item.name, item]));
    const after = new Map(next.map(item => [item.name, item]));
    const differences: Difference[] = [];
    for (const [name, item] of after) {
        const old = before.get(name);
        if (old === undefined) {
            differences.push({
                kind: DifferenceKind.Added,
                path: `${list}/${name}`,
                text: `+ ${list}/${name} ${JSON.stringify(item)}`,
            });
        }
        else if (!isDeepStrictEqual(old, item)) {
            const text = `~ ${list}/${name} ${JSON.stringify(old)} -> ${JSON.stringify(item)}`;
            differences.push({ kind: DifferenceKind.Changed, path: `${list}/${name}`, text });
        }
    }
    for (const name of before.keys()) {
        if (!after.has(name)) {
            differences.push({ kind: DifferenceKind.Removed, path: `${list}/${name}`, text: `- ${list}/${name}` });
        }
    }
    return differences;
}
