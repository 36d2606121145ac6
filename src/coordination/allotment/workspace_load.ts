/**
 * Load of the workspaces on the slots of one service, as nodes know it of each other.
 *
 * @module
 */

/** Load of one workspace on one service. */
export interface WorkspaceLoad {
    /** Slots that the workspace's calls hold. */
    readonly heldCalls: number;
    /** Calls that wait for a slot. */
    readonly waitingCalls: number;
    /** Calls that arrive, and calls that release their slot, a second. */
    readonly arrivalsPerSecond: number;
    readonly endsPerSecond: number;
    /** Slots that the workspace usually holds. */
    readonly usualSlots: number;
}

/** Loads of the workspaces of one service. */
export interface ServiceLoads {
    /** Nodes at which calls wait. */
    readonly shortNodes: number;
    /** Loads by the key of the workspace. */
    readonly workspaces: ReadonlyMap<number, WorkspaceLoad>;
}

/** Load of a workspace without calls. */
export const NO_LOAD: WorkspaceLoad = { heldCalls: 0, waitingCalls: 0, arrivalsPerSecond: 0, endsPerSecond: 0, usualSlots: 0 };

/** Adds up two loads of a workspace; with a sign of -1, subtracts the second one down to 0. */
export function addLoad(left: WorkspaceLoad, right: WorkspaceLoad, sign: 1 | -1 = 1): WorkspaceLoad {
    return {
        heldCalls: Math.max(0, left.heldCalls + sign * right.heldCalls),
        waitingCalls: Math.max(0, left.waitingCalls + sign * right.waitingCalls),
        arrivalsPerSecond: Math.max(0, left.arrivalsPerSecond + sign * right.arrivalsPerSecond),
        endsPerSecond: Math.max(0, left.endsPerSecond + sign * right.endsPerSecond),
        usualSlots: Math.max(0, left.usualSlots + sign * right.usualSlots),
    };
}

/** Returns the largest loads by what they hold and ask for; bounds the bytes of a report, whatever the number of workspaces. */
export function largestLoads(
    loads: Iterable<readonly [number, WorkspaceLoad]>,
    count: number,
): readonly (readonly [number, WorkspaceLoad])[] {
    return [...loads].sort(([, left], [, right]) => sizeOf(right) - sizeOf(left)).slice(0, count);
}

function sizeOf({ heldCalls, waitingCalls, arrivalsPerSecond, usualSlots }: WorkspaceLoad): number {
    return heldCalls + waitingCalls + arrivalsPerSecond + usualSlots;
}
