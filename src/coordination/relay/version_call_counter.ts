/**
 * Call outcomes by version of a service during a rollout.
 *
 * @module
 */

import { hashKey, type VersionCount } from "../../protocol/relay/mod.js";

/** Call counts of one version. */
export interface VersionTally {
    readonly calls: number;
    /** Calls that failed or took several times as long as expected. */
    readonly bad: number;
}

/** Call counts of the versions in a rollout. */
export interface RolloutTallies {
    /** Version that is rolled out. */
    readonly target: VersionTally;
    /** All other versions. */
    readonly present: VersionTally;
}

/** Counts of this node for one rollout. */
interface OwnCounts {
    readonly serviceKey: number;
    order: number;
    readonly target: { calls: number; bad: number };
    readonly present: { calls: number; bad: number };
}

/** Counts calls by version and adds the counts of peers. Counts belong to an order, so a new order starts from zero. */
export class VersionCallCounter {
    private readonly ownCounts = new Map<string, OwnCounts>();

    /** Starts counting for an order; `order` is its offset in the log. */
    start(service: string, order: number): void {
        if (this.ownCounts.get(service)?.order !== order) {
            this.ownCounts.set(service, {
                serviceKey: hashKey(service),
                order,
                target: { calls: 0, bad: 0 },
                present: { calls: 0, bad: 0 },
            });
        }
    }

    /** Keeps the counts of a service for its order under another number, after the order was written again. */
    renumber(service: string, order: number): void {
        const counts = this.ownCounts.get(service);
        if (counts !== undefined) {
            counts.order = order;
        }
    }

    /** Discards the counts of a service. */
    stop(service: string): void {
        this.ownCounts.delete(service);
    }

    /** Counts a completed call. */
    record(service: string, isTarget: boolean, isBad: boolean): void {
        const counts = this.ownCounts.get(service);
        if (counts !== undefined) {
            const tally = isTarget ? counts.target : counts.present;
            tally.calls += 1;
            tally.bad += isBad ? 1 : 0;
        }
    }

    /** Counts of this node, to be reported to its peers. */
    counts(): readonly VersionCount[] {
        return [...this.ownCounts.values()].flatMap(({ serviceKey, order, target, present }) => [
            { serviceKey, order, isTarget: true, ...target },
            { serviceKey, order, isTarget: false, ...present },
        ]);
    }

    /** Sums the counts of this node and of its peers for the same order. */
    sum(service: string, peerCounts: Iterable<VersionCount>): RolloutTallies {
        const counts = this.ownCounts.get(service);
        if (counts === undefined) {
            return { target: { calls: 0, bad: 0 }, present: { calls: 0, bad: 0 } };
        }
        const target = { ...counts.target };
        const present = { ...counts.present };
        for (const count of peerCounts) {
            if (count.serviceKey === counts.serviceKey && count.order === counts.order) {
                const tally = count.isTarget ? target : present;
                tally.calls += count.calls;
                tally.bad += count.bad;
            }
        }
        return { target, present };
    }
}
