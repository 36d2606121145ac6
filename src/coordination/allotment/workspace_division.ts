/**
 * Division of a service's slots among workspaces by their usual loads.
 *
 * Load: a few workspaces send several times their usual load while servers are down. Each is entitled to its max-min fair share; calls
 * beyond it are above the share.
 *
 * @module
 */

import { divideMaxMin, type ShareClaim } from "./max_min_division.js";
import type { WorkspaceLoad } from "./workspace_load.js";

/** Least weight of a workspace, as a fraction of the mean; new workspaces have no usual load, and small ones vary more than others. */
const MIN_WEIGHT_FRACTION = 0.25;

/** Milliseconds in a second. */
const MS_PER_SECOND = 1_000;

/** Weight of a workspace while the usual load of none is known. */
const DEFAULT_WEIGHT = 1;

/** Share of a workspace that asks for more than it. */
export interface SpentShare {
    /** Slots to which the workspace is entitled. */
    readonly slots: number;
    /** Slots that its calls hold at all nodes. */
    readonly heldCalls: number;
    /** Calls that it may start at all nodes within the window without exceeding its share. */
    readonly startableCalls: number;
    /** Calls of the workspace that want a slot within the window. */
    readonly wantedCalls: number;
}

/**
 * Divides slots among workspaces.
 *
 * @param slots Slots to divide.
 * @param loads Loads of the workspaces at all nodes.
 * @param windowMs Time for which the nodes' views of each other are used, in milliseconds.
 * @returns Shares of the workspaces that ask for more than their share.
 */
export function divideSlots(
    slots: number,
    loads: ReadonlyMap<number, WorkspaceLoad>,
    windowMs: number,
): Map<number, SpentShare> {
    const windowSeconds = windowMs / MS_PER_SECOND;
    const keptCalls = (load: WorkspaceLoad) => Math.max(0, load.heldCalls - load.endsPerSecond * windowSeconds);
    const wantedCalls = (load: WorkspaceLoad) => load.waitingCalls + load.arrivalsPerSecond * windowSeconds;
    let usualSum = 0;
    for (const { usualSlots } of loads.values()) {
        usualSum += usualSlots;
    }
    const minWeight = usualSum > 0 ? MIN_WEIGHT_FRACTION * usualSum / loads.size : DEFAULT_WEIGHT;
    const claims = new Map<number, ShareClaim>();
    for (const [key, load] of loads) {
        claims.set(key, { demand: keptCalls(load) + wantedCalls(load), weight: Math.max(minWeight, load.usualSlots) });
    }
    const spent = new Map<number, SpentShare>();
    for (const [key, share] of divideMaxMin(slots, claims)) {
        const load = loads.get(key);
        if (load !== undefined && share < (claims.get(key)?.demand ?? 0)) {
            spent.set(key, {
                slots: share,
                heldCalls: load.heldCalls,
                startableCalls: Math.max(0, share - keptCalls(load)),
                wantedCalls: wantedCalls(load),
            });
        }
    }
    return spent;
}
