/**
 * Differences between two configuration documents, for people.
 *
 * @module
 */

import type { ConfigurationDocument } from "./configuration.js";
import { changedKey, ChangeKind, changesBetween, indexItems, type ItemChange } from "./configuration_change.js";

/** Kind of difference. */
export enum DifferenceKind {
    Added = "added",
    Removed = "removed",
    Changed = "changed",
}

/** One item that differs. */
export interface Difference {
    readonly kind: DifferenceKind;
    /** List and key of the item, such as `tiers/urgent`. */
    readonly path: string;
    /** Line for people. */
    readonly text: string;
}

/**
 * Compares two documents item by item.
 *
 * @param current Document in force.
 * @param next Document that would replace it.
 */
export function diffDocuments(current: ConfigurationDocument, next: ConfigurationDocument): readonly Difference[] {
    return describeChanges(current, changesBetween(current, next));
}

/**
 * Describes changes beside the document that they were applied to.
 *
 * @param before Document before the changes.
 * @param changes Changes, each of another item.
 */
export function describeChanges(before: ConfigurationDocument, changes: readonly ItemChange[]): readonly Difference[] {
    return changes.map(change => describeChange(before, change));
}

function describeChange(before: ConfigurationDocument, change: ItemChange): Difference {
    const key = changedKey(change);
    const path = `${change.list}/${key}`;
    if (change.kind === ChangeKind.Remove) {
        return { kind: DifferenceKind.Removed, path, text: `- ${path}` };
    }
    const item = JSON.stringify(change.item);
    const old = indexItems(before[change.list]).get(key);
    if (old === undefined) {
        return { kind: DifferenceKind.Added, path, text: `+ ${path} ${item}` };
    }
    return { kind: DifferenceKind.Changed, path, text: `~ ${path} ${JSON.stringify(old)} -> ${item}` };
}
