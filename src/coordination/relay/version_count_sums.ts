/**
 * Sums of the versions' calls over the reports of several nodes.
 *
 * @module
 */

import type { VersionCount, VersionSlice } from "../../protocol/relay/mod.js";

/**
 * Adds or subtracts counts.
 *
 * @param sums Sums by service, order and version; changed in place.
 * @param sign 1 to add, -1 to subtract. Verdicts and broken servers, which are merged and not summed, are not subtracted.
 */
export function addVersionCounts(sums: Map<string, VersionCount>, counts: readonly VersionCount[], sign: 1 | -1 = 1): void {
    for (const count of counts) {
        const key = `${count.serviceKey} ${count.order} ${count.isTarget}`;
        const sum = sums.get(key);
        sums.set(key, {
            ...count,
            calls: (sum?.calls ?? 0) + sign * count.calls,
            slices: addSlices(sum?.slices ?? [], count.slices, sign),
            verdict: Math.max(sum?.verdict ?? 0, count.verdict),
        });
    }
}

function addSlices(sums: readonly VersionSlice[], slices: readonly VersionSlice[], sign: 1 | -1): VersionSlice[] {
    const byIndex = new Map(sums.map(slice => [slice.index, slice]));
    for (const slice of slices) {
        const sum = byIndex.get(slice.index);
        byIndex.set(slice.index, {
            index: slice.index,
            completed: (sum?.completed ?? 0) + sign * slice.completed,
            failed: (sum?.failed ?? 0) + sign * slice.failed,
            firstEvent: addHistograms(sum?.firstEvent ?? [], slice.firstEvent, sign),
            interval: addHistograms(sum?.interval ?? [], slice.interval, sign),
            brokenServers: [...new Set([...sum?.brokenServers ?? [], ...slice.brokenServers])],
        });
    }
    return [...byIndex.values()];
}

/** Adds histograms of alternating buckets and counts. */
function addHistograms(sums: readonly number[], counts: readonly number[], sign: 1 | -1): number[] {
    const byBucket = new Map<number, number>();
    addPairs(byBucket, sums, 1);
    addPairs(byBucket, counts, sign);
    return [...byBucket].filter(([, count]) => count > 0).flat();
}

function addPairs(byBucket: Map<number, number>, pairs: readonly number[], sign: 1 | -1): void {
    for (let index = 0; index + 1 < pairs.length; index += 2) {
        byBucket.set(pairs[index], (byBucket.get(pairs[index]) ?? 0) + sign * pairs[index + 1]);
    }
}
