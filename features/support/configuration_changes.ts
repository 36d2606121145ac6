/**
 * Configuration changes that steps propose, and their results.
 *
 * @module
 */

import type { ChangeResult } from "../../src/coordination/mod.js";
import type { EntryNode } from "../../src/daemon/mod.js";
import { ChangeKind, ItemList } from "../../src/state/mod.js";
import type { Scenario } from "./world.js";

/** Results of the last changes of each scenario. */
const results = new WeakMap<Scenario, readonly PromiseSettledResult<ChangeResult>[]>();

/** Versions in force on each node before the step under test. */
export const versionsBefore = new WeakMap<Scenario, readonly number[]>();

/** Records the versions that are in force on the nodes now. */
export function recordVersions(scenario: Scenario): void {
    versionsBefore.set(scenario, scenario.fleet.nodes.map(node => node.view.current.version));
}

/** Returns a change that sets the rank of a tier. */
export function makeRankChange(name: string, rank: number) {
    return { kind: ChangeKind.Set, list: ItemList.Tiers, item: { name, rank } } as const;
}

/** Proposes changes at a node against the node's published version. */
export function proposeChanges(node: EntryNode, changes: unknown, id: string, author = "operator"): Promise<ChangeResult> {
    return node.configurationFollower.propose({ id, madeAgainst: node.view.published.version, author, changes });
}

/** Proposes a rank for a tier at a node against the node's published version. */
export function proposeRank(node: EntryNode, name: string, rank: number): Promise<ChangeResult> {
    return proposeChanges(node, [makeRankChange(name, rank)], `${node.settings.node}-${name}-${rank}`);
}

/** Waits for changes and stores their results for the later steps. */
export async function awaitChanges(scenario: Scenario, changes: readonly Promise<ChangeResult>[]): Promise<void> {
    results.set(scenario, await scenario.fleet.clock.runUntil(Promise.allSettled(changes)));
}

/** Returns the results of the last changes. */
export function changeResults(scenario: Scenario): readonly PromiseSettledResult<ChangeResult>[] {
    return results.get(scenario) ?? [];
}

/** Returns the result of the last change. Throws an error if the change failed or there is none. */
export function lastChangeResult(scenario: Scenario): ChangeResult {
    const last = changeResults(scenario).at(-1);
    if (last?.status !== "fulfilled") {
        throw new Error(`Cannot use the result of the last change: ${String(last?.reason)}`);
    }
    return last.value;
}
