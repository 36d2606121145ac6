/**
 * Typed changes of the configuration: one named item is set or removed.
 *
 * @module
 */

import { isDeepStrictEqual } from "node:util";
import type { ConfigurationDocument, ConfigurationException, Operation, Pool, Tier, Workspace } from "./configuration.js";

/** List of a document that holds items of one kind. */
export enum ItemList {
    Tiers = "tiers",
    Pools = "pools",
    Operations = "operations",
    Workspaces = "workspaces",
    Exceptions = "exceptions",
}

/** Lists in the order in which they are shown and compared. */
export const ITEM_LISTS: readonly ItemList[] = Object.values(ItemList);

/** What a change does with its item. */
export enum ChangeKind {
    Set = "set",
    Remove = "remove",
}

/** Type of the items of each list. */
interface ItemTypes {
    readonly [ItemList.Tiers]: Tier;
    readonly [ItemList.Pools]: Pool;
    readonly [ItemList.Operations]: Operation;
    readonly [ItemList.Workspaces]: Workspace;
    readonly [ItemList.Exceptions]: ConfigurationException;
}

/** Item of any list. */
export type ConfigurationItem = ItemTypes[ItemList];

/** Sets one item: adds it, or replaces the one of the same key. */
export type ItemSet = {
    [List in ItemList]: { readonly kind: ChangeKind.Set; readonly list: List; readonly item: ItemTypes[List] };
}[ItemList];

/** Removes one item by its key. */
export interface ItemRemoval {
    readonly kind: ChangeKind.Remove;
    readonly list: ItemList;
    readonly key: string;
}

/** Change of one item. */
export type ItemChange = ItemSet | ItemRemoval;

/**
 * Returns what tells an item apart within its list: the path of an exception, the name of all others.
 *
 * @param item Item of any list.
 */
export function itemKey(item: ConfigurationItem): string {
    return "path" in item ? item.path : item.name;
}

/** Returns the key of the item that a change touches. */
export function changedKey(change: ItemChange): string {
    return change.kind === ChangeKind.Remove ? change.key : itemKey(change.item);
}

/**
 * Applies changes in their order.
 *
 * @param document Document before the changes; it stays as it is.
 * @param changes Changes whose removals name items that exist.
 */
export function applyChanges(document: ConfigurationDocument, changes: readonly ItemChange[]): ConfigurationDocument {
    const lists = new Map<ItemList, Map<string, ConfigurationItem>>();
    for (const change of changes) {
        const items = lists.get(change.list) ?? indexItems(document[change.list]);
        lists.set(change.list, items);
        if (change.kind === ChangeKind.Set) {
            items.set(changedKey(change), change.item);
        }
        else {
            items.delete(change.key);
        }
    }
    const changed = [...lists].map(([list, items]) => [list, [...items.values()]] as const);
    return { ...document, ...Object.fromEntries(changed) };
}

/**
 * Returns the changes that lead from one document to another.
 *
 * @param current Document before the changes.
 * @param next Document after the changes.
 */
export function changesBetween(current: ConfigurationDocument, next: ConfigurationDocument): readonly ItemChange[] {
    const changes: ItemChange[] = [];
    for (const list of ITEM_LISTS) {
        const before = indexItems(current[list]);
        const after = indexItems(next[list]);
        for (const [key, item] of after) {
            if (!isDeepStrictEqual(before.get(key), item)) {
                changes.push({ kind: ChangeKind.Set, list, item } as ItemSet);
            }
        }
        for (const key of before.keys()) {
            if (!after.has(key)) {
                changes.push({ kind: ChangeKind.Remove, list, key });
            }
        }
    }
    return changes;
}

/** Returns the items of a list by their keys. */
export function indexItems(items: readonly ConfigurationItem[]): Map<string, ConfigurationItem> {
    return new Map(items.map(item => [itemKey(item), item]));
}
