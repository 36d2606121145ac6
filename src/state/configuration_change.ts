/**
 * Typed configuration changes, each of which sets or removes one item.
 *
 * @module
 */

import { isDeepStrictEqual } from "node:util";
import type { ConfigurationDocument, ConfigurationException, Operation, Pool, Tier, Workspace } from "./configuration.js";

/** List in a configuration document; each holds one kind of item. */
export enum ItemList {
    Tiers = "tiers",
    Pools = "pools",
    Operations = "operations",
    Workspaces = "workspaces",
    Exceptions = "exceptions",
}

/** All lists, in the order in which they are displayed and compared. */
export const ITEM_LISTS: readonly ItemList[] = Object.values(ItemList);

/** Effect of a change on its item. */
export enum ChangeKind {
    Set = "set",
    Remove = "remove",
}

/** Item type of each list. */
interface ItemTypes {
    readonly [ItemList.Tiers]: Tier;
    readonly [ItemList.Pools]: Pool;
    readonly [ItemList.Operations]: Operation;
    readonly [ItemList.Workspaces]: Workspace;
    readonly [ItemList.Exceptions]: ConfigurationException;
}

/** Item of any list. */
export type ConfigurationItem = ItemTypes[ItemList];

/** Adds one item or replaces the item with the same key. */
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
 * Returns the key of an item, unique within its list: the path of an exception, the name of any other item.
 *
 * @param item Item of any list.
 */
export function itemKey(item: ConfigurationItem): string {
    return "path" in item ? item.path : item.name;
}

/** Returns the key of the item that a change sets or removes. */
export function changedKey(change: ItemChange): string {
    return change.kind === ChangeKind.Remove ? change.key : itemKey(change.item);
}

/**
 * Applies changes in order.
 *
 * @param document Document before the changes; it is not modified.
 * @param changes Changes to apply; removals must name existing items.
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
 * Returns the changes that turn one document into another.
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

/** Indexes the items of a list by key. */
export function indexItems(items: readonly ConfigurationItem[]): Map<string, ConfigurationItem> {
    return new Map(items.map(item => [itemKey(item), item]));
}
