/**
 * News of members that are sent along with other messages.
 *
 * After Das, Gupta and Motivala, "SWIM" (2002), section 4.1: the least sent news go first, and each is sent a number of times that
 * grows with the logarithm of the number of members.
 *
 * @module
 */

import type { wire } from "../../protocol/mod.js";

/** News that wait to be sent; the most sent is dropped first. */
export const MAX_WAITING_NEWS = 1_024;

/** Times that each piece of news is sent, for each doubling of the number of members. */
const SENDS_PER_DOUBLING_OF_MEMBERS = 2;

/** Record with the number of times that it was sent. */
interface QueuedUpdate {
    readonly record: wire.MemberRecord;
    sends: number;
}

/** Latest news of each member. */
export class UpdateQueue {
    private readonly updates = new Map<string, QueuedUpdate>();

    /** Number of pieces that wait. */
    get size(): number {
        return this.updates.size;
    }

    /** Adds news, in place of older ones of the same member. */
    add(record: wire.MemberRecord): void {
        this.updates.delete(record.id);
        if (this.updates.size >= MAX_WAITING_NEWS) {
            const [mostSent] = [...this.updates.values()].sort((left, right) => right.sends - left.sends);
            this.updates.delete(mostSent.record.id);
        }
        this.updates.set(record.id, { record, sends: 0 });
    }

    /**
     * Takes the news for one message.
     *
     * @param maxRecords Largest number of records.
     * @param memberCount Number of members known.
     */
    dequeue(maxRecords: number, memberCount: number): wire.MemberRecord[] {
        const maxSends = SENDS_PER_DOUBLING_OF_MEMBERS * Math.ceil(Math.log2(memberCount + 1));
        const chosen = [...this.updates.values()].sort((left, right) => left.sends - right.sends).slice(0, maxRecords);
        for (const piece of chosen) {
            piece.sends += 1;
            if (piece.sends >= maxSends) {
                this.updates.delete(piece.record.id);
            }
        }
        return chosen.map(piece => piece.record);
    }
}
