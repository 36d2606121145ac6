/**
 * Changes of the configuration that steps make, and what became of them.
 *
 * @module
 */

import type { ChangeResult } from "../../src/coordination/mod.js";
import type { EntryNode } from "../../src/daemon/mod.js";
import { ChangeKind, ItemList } from "../../src/state/mod.js";
import type { Scenario } from "./world.js";

/** Results of the changes of one scenario. */
const results = new WeakMap<Scenario, readonly PromiseSettledResult<ChangeResult>[]>();

/** Versions in force before the step under test. */
export const versionsBefore = new WeakMap<Scenario, readonly number[]>();

/** Keeps the versions that the nodes have now. */
export function recordVersions(scenario: Scenario): void {
    versionsBefore.set(scenario, scenario.fleet.nodes.map(node => node.view.current.version));
}

/** Change that sets the rank of a tier. */
export function makeRankChange(name: string, rank: number) {
    return { kind: ChangeKind.Set, list: ItemList.Tiers, item: { name, rank } } as const;
}

/** Asks a node for changes against its version. */
export function proposeChanges(node: EntryNode, changes: unknown, id: string, author = "operator"): Promise<ChangeResult> {
    return node.configurationFollower.change({ id, madeAgainst: node.view.published.version, author, changes });
}

/** Asks a node to set the rank of a tier against its version. */
export function proposeRank(node: EntryNode, name: string, rank: number): Promise<ChangeResult> {
    return proposeChanges(node, [makeRankChange(name, rank)], `${node.settings.node}-${name}-${rank}`);
}

/** Lets changes come to their results. */
export async function awaitChanges(scenario: Scenario, changes: readonly Promise<ChangeResult>[]): Promise<void> {
    results.set(scenario, await scenario.fleet.clock.runUntil(Promise.allSettled(changes)));
}

/** Returns the results of the last changes. */
export function changeResults(scenario: Scenario): readonly PromiseSettledResult<ChangeResult>[] {
    return results.get(scenario) ?? [];
}

/** Returns the result of the last change, which must not have failed. */
export function lastChangeResult(scenario: Scenario): ChangeResult {
    const last = changeResults(scenario).at(-1);
    if (last?.status !== "fulfilled") {
        throw new Error(`Cannot use result: ${String(last?.reason)}`);
    }
    return last.value;
}
