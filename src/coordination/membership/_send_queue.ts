/**
 * Values that still have to be sent, in order of importance.
 *
 * @module
 */

import type { SharedEntry } from "./_value_store.js";

/** Values of one topic that wait, those of this failure domain apart. */
interface TopicQueue {
    readonly local: Map<number, SharedEntry>;
    readonly remote: Map<number, SharedEntry>;
}

/** Queues by topic; within a queue the value that was sent longest ago goes first. */
export class SendQueue {
    private readonly topics = new Map<number, TopicQueue>();
    private topicOrder: readonly number[] = [];

    /** Whether no value waits. */
    get isEmpty(): boolean {
        return [...this.queuesInOrder()].every(queue => queue.size === 0);
    }

    /** Adds a value, in the place of an older one of the same name if that still waits. */
    add(entry: SharedEntry): void {
        const queue = this.queue(entry);
        queue.set(entry.fingerprint, entry);
    }

    /** Takes a value out. */
    remove(entry: SharedEntry): void {
        this.queue(entry).delete(entry.fingerprint);
    }

    /**
     * Takes values for one message; each goes to the end of its queue until it was sent often enough.
     *
     * @param maxBytes Room in the message.
     * @param maxSends Times that a value of a topic is sent. Defaults to once, which leaves the values' count of sends alone.
     */
    dequeue(maxBytes: number, maxSends?: (topic: number) => number): readonly SharedEntry[] {
        const chosen: SharedEntry[] = [];
        let room = maxBytes;
        for (const queue of this.queuesInOrder()) {
            for (const entry of [...this.headWithin(queue, room)]) {
                room -= entry.recordBytes;
                chosen.push(entry);
                queue.delete(entry.fingerprint);
                if (maxSends === undefined) {
                    continue;
                }
                entry.sends += 1;
                if (entry.sends < maxSends(entry.topic)) {
                    queue.set(entry.fingerprint, entry);
                }
            }
        }
        return chosen;
    }

    private *headWithin(queue: ReadonlyMap<number, SharedEntry>, room: number): Generator<SharedEntry> {
        let left = room;
        for (const entry of queue.values()) {
            if (entry.recordBytes > left) {
                return;
            }
            left -= entry.recordBytes;
            yield entry;
        }
    }

    private *queuesInOrder(): Generator<Map<number, SharedEntry>> {
        for (const topic of this.topicOrder) {
            const queue = this.topics.get(topic);
            if (queue !== undefined) {
                yield queue.local;
                yield queue.remote;
            }
        }
    }

    private queue(entry: SharedEntry): Map<number, SharedEntry> {
        let queue = this.topics.get(entry.topic);
        if (queue === undefined) {
            queue = { local: new Map(), remote: new Map() };
            this.topics.set(entry.topic, queue);
            this.topicOrder = [...this.topics.keys()].sort((left, right) => left - right);
        }
        return entry.isLocal ? queue.local : queue.remote;
    }
}
