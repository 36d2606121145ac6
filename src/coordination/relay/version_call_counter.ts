/**
 * How calls went at each version of a service while it moves to another one.
 *
 * @module
 */

import { hashKey, type VersionCount } from "../../protocol/relay/mod.js";

/** Calls of one version. */
export interface VersionTally {
    readonly calls: number;
    /** Calls that failed or took several times as long as expected. */
    readonly bad: number;
}

/** Evidence about a move. */
export interface RolloutTallies {
    /** Version that is moved to. */
    readonly target: VersionTally;
    /** Versions that served before. */
    readonly present: VersionTally;
}

/** Counts of this node for one move. */
interface OwnCounts {
    readonly serviceKey: number;
    readonly order: number;
    readonly target: { calls: number; bad: number };
    readonly present: { calls: number; bad: number };
}

/** Counts calls by version, and adds up what peers report. Counts belong to an order, so a new order starts from nothing. */
export class VersionCallCounter {
    private readonly own = new Map<string, OwnCounts>();

    /** Starts to count for an order; `order` is its offset in the log. */
    start(service: string, order: number): void {
        if (this.own.get(service)?.order !== order) {
            this.own.set(service, {
                serviceKey: hashKey(service),
                order,
                target: { calls: 0, bad: 0 },
                present: { calls: 0, bad: 0 },
            });
        }
    }

    /** Forgets a service's counts. */
    stop(service: string): void {
        this.own.delete(service);
    }

    /** Counts a call. */
    record(service: string, isTarget: boolean, isBad: boolean): void {
        const counts = this.own.get(service);
        if (counts !== undefined) {
            const tally = isTarget ? counts.target : counts.present;
            tally.calls += 1;
            tally.bad += isBad ? 1 : 0;
        }
    }

    /** Counts of this node for its peers. */
    counts(): readonly VersionCount[] {
        return [...this.own.values()].flatMap(({ serviceKey, order, target, present }) => [
            { serviceKey, order, isTarget: true, ...target },
            { serviceKey, order, isTarget: false, ...present },
        ]);
    }

    /** Adds up the counts of this node and of its peers. */
    sum(service: string, peerCounts: Iterable<VersionCount>): RolloutTallies {
        const own = this.own.get(service);
        if (own === undefined) {
            return { target: { calls: 0, bad: 0 }, present: { calls: 0, bad: 0 } };
        }
        const target = { ...own.target };
        const present = { ...own.present };
        for (const count of peerCounts) {
            if (count.serviceKey === own.serviceKey && count.order === own.order) {
                const tally = count.isTarget ? target : present;
                tally.calls += count.calls;
                tally.bad += count.bad;
            }
        }
        return { target, present };
    }
}
