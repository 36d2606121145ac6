/**
 * Membership updates that are piggybacked on other messages.
 *
 * After Das, Gupta and Motivala, "SWIM" (2002), section 4.1: updates that were sent the fewest times go first, and each
 * is sent a number of times that grows with the logarithm of the number of members.
 *
 * @module
 */

import type { wire } from "../../protocol/mod.js";

/** Maximum number of queued updates; beyond it the update sent the most times is dropped. */
export const MAX_WAITING_NEWS = 1_024;

/** Number of times that an update is sent for each doubling of the number of members. */
const SENDS_PER_DOUBLING_OF_MEMBERS = 2;

/** Update with the number of times that it was sent. */
interface QueuedUpdate {
    readonly record: wire.MemberRecord;
    sends: number;
}

/** Latest update of each member. */
export class UpdateQueue {
    private readonly updates = new Map<string, QueuedUpdate>();

    /** Number of queued updates. */
    get size(): number {
        return this.updates.size;
    }

    /** Adds an update, replacing a queued one of the same member. */
    add(record: wire.MemberRecord): void {
        this.updates.delete(record.id);
        if (this.updates.size >= MAX_WAITING_NEWS) {
            const [mostSent] = [...this.updates.values()].sort((left, right) => right.sends - left.sends);
            this.updates.delete(mostSent.record.id);
        }
        this.updates.set(record.id, { record, sends: 0 });
    }

    /**
     * Selects the updates for one message and removes those that were sent often enough.
     *
     * @param maxRecords Maximum number of records to return.
     * @param memberCount Number of known members.
     */
    dequeue(maxRecords: number, memberCount: number): wire.MemberRecord[] {
        const maxSends = SENDS_PER_DOUBLING_OF_MEMBERS * Math.ceil(Math.log2(memberCount + 1));
        const selected = [...this.updates.values()].sort((left, right) => left.sends - right.sends).slice(0, maxRecords);
        for (const update of selected) {
            update.sends += 1;
            if (update.sends >= maxSends) {
                this.updates.delete(update.record.id);
            }
        }
        return selected.map(update => update.record);
    }
}
