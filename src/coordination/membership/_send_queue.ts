/**
 * Queue of shared values to send, ordered by the priority of their topic.
 *
 * @module
 */

import type { SharedEntry } from "./_value_store.js";

/** Queued values of one topic by fingerprint, with those from this failure domain separate. */
interface TopicQueue {
    readonly local: Map<number, SharedEntry>;
    readonly remote: Map<number, SharedEntry>;
}

/** Send queues by topic; within a topic, values of this failure domain go first, then the least recently sent ones. */
export class SendQueue {
    private readonly topics = new Map<number, TopicQueue>();
    private topicOrder: readonly number[] = [];

    /** Whether no value is queued. */
    get isEmpty(): boolean {
        return [...this.queuesInOrder()].every(queue => queue.size === 0);
    }

    /** Adds a value, replacing a queued one with the same fingerprint at its position. */
    add(entry: SharedEntry): void {
        const queue = this.queue(entry);
        queue.set(entry.fingerprint, entry);
    }

    /** Removes a value. */
    remove(entry: SharedEntry): void {
        this.queue(entry).delete(entry.fingerprint);
    }

    /**
     * Removes values for one message; each is queued again at the end until it was sent `maxSends` times.
     *
     * @param maxBytes Bytes available in the message.
     * @param maxSends Number of times that a value of a topic is sent. By default once, without updating the values' send count.
     */
    dequeue(maxBytes: number, maxSends?: (topic: number) => number): readonly SharedEntry[] {
        const selected: SharedEntry[] = [];
        let remainingBytes = maxBytes;
        for (const queue of this.queuesInOrder()) {
            for (const entry of [...this.headWithin(queue, remainingBytes)]) {
                remainingBytes -= entry.recordBytes;
                selected.push(entry);
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
        return selected;
    }

    /** Yields the values at the head of a queue that fit into `maxBytes`. */
    private *headWithin(queue: ReadonlyMap<number, SharedEntry>, maxBytes: number): Generator<SharedEntry> {
        let remainingBytes = maxBytes;
        for (const entry of queue.values()) {
            if (entry.recordBytes > remainingBytes) {
                return;
            }
            remainingBytes -= entry.recordBytes;
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
