/**
 * Values that still have to be sent, in order of importance.
 *
 * @module
 */

import type { SharedEntry } from "./_value_store.js";

/** Values of one topic that wait, those of this failure domain apart. */
interface TopicQueue {
    readonly near: Map<number, SharedEntry>;
    readonly far: Map<number, SharedEntry>;
}

/** Queues by topic; within a queue the value that was sent longest ago goes first. */
export class HotQueue {
    private readonly topics = new Map<number, TopicQueue>();
    private topicOrder: readonly number[] = [];

    /** Whether no value waits. */
    get empty(): boolean {
        return [...this.queuesInOrder()].every(queue => queue.size === 0);
    }

    /** Adds a value, in the place of an older one of the same name if that still waits. */
    add(entry: SharedEntry): void {
        const queue = this.queue(entry);
        queue.set(entry.name, entry);
    }

    /** Takes a value out. */
    remove(entry: SharedEntry): void {
        this.queue(entry).delete(entry.name);
    }

    /**
     * Takes values for one message; each goes to the end of its queue until it was sent often enough.
     *
     * @param maxBytes Room in the message.
     * @param maxSends Times that a value of a topic is sent. Defaults to once, which leaves the values' count of sends alone.
     */
    take(maxBytes: number, maxSends?: (topic: number) => number): readonly SharedEntry[] {
        const chosen: SharedEntry[] = [];
        let room = maxBytes;
        for (const queue of this.queuesInOrder()) {
            for (const entry of [...this.head(queue, room)]) {
                room -= entry.bytes;
                chosen.push(entry);
                queue.delete(entry.name);
                if (maxSends === undefined) {
                    continue;
                }
                entry.sends += 1;
                if (entry.sends < maxSends(entry.topic)) {
                    queue.set(entry.name, entry);
                }
            }
        }
        return chosen;
    }

    private *head(queue: ReadonlyMap<number, SharedEntry>, room: number): Generator<SharedEntry> {
        let left = room;
        for (const entry of queue.values()) {
            if (entry.bytes > left) {
                return;
            }
            left -= entry.bytes;
            yield entry;
        }
    }

    private *queuesInOrder(): Generator<Map<number, SharedEntry>> {
        for (const topic of this.topicOrder) {
            const queue = this.topics.get(topic);
            if (queue !== undefined) {
                yield queue.near;
                yield queue.far;
            }
        }
    }

    private queue(entry: SharedEntry): Map<number, SharedEntry> {
        let queue = this.topics.get(entry.topic);
        if (queue === undefined) {
            queue = { near: new Map(), far: new Map() };
            this.topics.set(entry.topic, queue);
            this.topicOrder = [...this.topics.keys()].sort((left, right) => left - right);
        }
        return entry.near ? queue.near : queue.far;
    }
}
