/**
 * Limits how many engines of a group load weights concurrently.
 *
 * @module
 */

/** Share of the weight store's bandwidth that a group uses unless its deadline requires more. */
const DEFAULT_BANDWIDTH_SHARE = 0.5;

/** Maximum share of the weight store's bandwidth that a group may use. */
const MAX_BANDWIDTH_SHARE = 0.9;

/** Input of {@linkcode planLoads}. */
export interface LoadPlanInput {
    /** Number of engines that still have to load or are loading. */
    readonly remainingLoads: number;
    /** Bytes that each engine loads. */
    readonly bytesPerLoad: number;
    /** Bandwidth of the weight store, shared by all loads, in bytes per second. */
    readonly bytesPerSecond: number;
    /** Number of active loads outside this group. */
    readonly otherLoads: number;
    /** Time until the deadline, in milliseconds. */
    readonly remainingMs: number;
    /** Number of engines that are serving or loading. */
    readonly serving: number;
    /** Minimum number of engines that keep serving, to meet the tiers' latency objectives. */
    readonly minServing: number;
}

/** Number of concurrent loads, and whether they meet the deadline. */
export interface LoadPlan {
    readonly concurrency: number;
    /** Expected duration of all remaining loads, in milliseconds. */
    readonly expectedMs: number;
    readonly meetsDeadline: boolean;
}

/**
 * Chooses the number of concurrent loads of a group.
 *
 * All loads get an equal part of the store's bandwidth, so the group's share of the bandwidth is its share of the active loads.
 * The group gets the share that its deadline requires, but at least {@linkcode DEFAULT_BANDWIDTH_SHARE} and at most
 * {@linkcode MAX_BANDWIDTH_SHARE}, so that other loads do not starve. At least `minServing` engines keep serving.
 */
export function planLoads(input: LoadPlanInput): LoadPlan {
    const { remainingLoads, bytesPerLoad, bytesPerSecond, otherLoads, remainingMs, serving, minServing } = input;
    const requiredShare = remainingMs <= 0 ?
        MAX_BANDWIDTH_SHARE :
        Math.min(MAX_BANDWIDTH_SHARE, remainingLoads * bytesPerLoad / bytesPerSecond / remainingMs * 1_000);
    const share = Math.max(DEFAULT_BANDWIDTH_SHARE, requiredShare);
    const bandwidthLimit = otherLoads === 0 ? remainingLoads : Math.ceil(otherLoads * share / (1 - share));
    const capacityLimit = Math.max(0, serving - minServing);
    const concurrency = Math.min(remainingLoads, capacityLimit, Math.max(1, bandwidthLimit));
    const groupBytesPerSecond = bytesPerSecond * concurrency / Math.max(1, concurrency + otherLoads);
    const expectedMs = groupBytesPerSecond === 0 ? Infinity : remainingLoads * bytesPerLoad / groupBytesPerSecond * 1_000;
    return { concurrency, expectedMs, meetsDeadline: expectedMs <= remainingMs };
}
