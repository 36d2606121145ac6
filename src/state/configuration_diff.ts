/**
 * Human-readable differences between two configuration documents.
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

/** Difference in one item. */
export interface Difference {
    readonly kind: DifferenceKind;
    /** List and key of the item, such as `tiers/urgent`. */
    readonly path: string;
    /** Human-readable line in the style of a diff. */
    readonly text: string;
}

/**
 * Returns the differences between two documents, item by item.
 *
 * @param current Document in effect.
 * @param next Document that would replace it.
 */
export function diffDocuments(current: ConfigurationDocument, next: ConfigurationDocument): readonly Difference[] {
    return describeChanges(current, changesBetween(current, next));
}

/**
 * Describes changes relative to the document that they apply to.
 *
 * @param before Document before the changes.
 * @param changes Changes, at most one per item.
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
    const previous = indexItems(before[change.list]).get(key);
    if (previous === undefined) {
        return { kind: DifferenceKind.Added, path, text: `+ ${path} ${item}` };
    }
    return { kind: DifferenceKind.Changed, path, text: `~ ${path} ${JSON.stringify(previous)} -> ${item}` };
}
