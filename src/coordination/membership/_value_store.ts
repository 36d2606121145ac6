/**
 * Store of the latest shared value of each origin, topic and key.
 *
 * @module
 */

import type { wire } from "../../protocol/mod.js";
import { Topic } from "../../protocol/mod.js";
import type { Clock } from "../../state/mod.js";
import { computeFingerprint } from "./_fingerprint.js";
import { SendQueue } from "./_send_queue.js";

/** Maximum number of stored values; beyond it the oldest value of the lowest-priority topic is evicted. */
export const MAX_SHARED_VALUES = 16_384;

/** Maximum size of a value, in bytes. */
export const MAX_SHARED_VALUE_BYTES = 512;

/** Maximum length of an origin or a key, in UTF-16 code units. */
const MAX_NAME_LENGTH = 200;

/** First topic whose values can be deferred; values of the topics before it are urgent. */
const FIRST_DEFERRABLE_TOPIC = Topic.SentLoad;

/** Estimated bytes of a record besides its origin, key and data. */
const RECORD_OVERHEAD_BYTES = 28;

/** Stored value with its dissemination state. */
export interface SharedEntry {
    /** Fingerprint of topic, origin and key. */
    readonly fingerprint: number;
    readonly topic: number;
    readonly origin: string;
    readonly key: string;
    /** Start time of the origin process that published the value, in milliseconds since the Unix epoch. */
    readonly life: number;
    readonly version: number;
    /** Time of publication according to this node's clock, in milliseconds since the Unix epoch. */
    readonly publishedAtMs: number;
    readonly data: Uint8Array;
    /** Whether the origin is in this node's failure domain. */
    readonly isLocal: boolean;
    /** Estimated size of the record in a message, in bytes. */
    readonly recordBytes: number;
    /** Number of times that this node sent the value, or received it from a node that already had it. */
    sends: number;
}

/** Returns whether values of a topic are sent immediately. */
export function isUrgent(topic: number): boolean {
    return topic < FIRST_DEFERRABLE_TOPIC;
}

/** Returns whether a record can be stored. */
export function isWellFormed(record: wire.ValueRecord): boolean {
    const hasValidNames = record.origin !== "" && record.origin.length <= MAX_NAME_LENGTH && record.key.length <= MAX_NAME_LENGTH;
    return hasValidNames && record.data.length <= MAX_SHARED_VALUE_BYTES && record.life > 0 && record.version > 0;
}

/** Values by fingerprint. Urgent ones are kept separate, so that anti-entropy covers them sooner. */
export class ValueStore {
    /** Values to send within this failure domain. */
    readonly localQueue = new SendQueue();
    /** Values to send over each link, by the failure domain at its other end. */
    private readonly linkQueues = new Map<string, SendQueue>();
    private readonly urgent = new Map<number, SharedEntry>();
    private readonly deferrable = new Map<number, SharedEntry>();
    private urgentCursor: Iterator<SharedEntry> | undefined;
    private deferrableCursor: Iterator<SharedEntry> | undefined;

    /** @param clock Clock against which ages are measured. */
    constructor(private readonly clock: Clock) {}

    /** Number of stored values. */
    get size(): number {
        return this.urgent.size + this.deferrable.size;
    }

    /** Iterates over all values. */
    *all(): Generator<SharedEntry> {
        yield* this.urgent.values();
        yield* this.deferrable.values();
    }

    /** Returns a value by its fingerprint. */
    get(fingerprint: number): SharedEntry | undefined {
        return this.urgent.get(fingerprint) ?? this.deferrable.get(fingerprint);
    }

    /**
     * Stores a value if it is newer than the stored one, and queues it for dissemination.
     *
     * @param record Received record, or one published by this node.
     * @param isLocal Whether its origin is in this node's failure domain.
     * @returns The entry, or `undefined` if the value is not newer or the store is full of values of higher priority.
     */
    storeIfNewer(record: wire.ValueRecord, isLocal: boolean): SharedEntry | undefined {
        const fingerprint = computeFingerprint(`${record.topic} ${record.origin} ${record.key}`);
        const known = this.get(fingerprint);
        if (known !== undefined && !isNewer(record, known)) {
            return undefined;
        }
        if (known === undefined && this.size >= MAX_SHARED_VALUES && !this.tryEvict(record.topic)) {
            return undefined;
        }
        const { topic, origin, key, life, version, data } = record;
        const recordBytes = RECORD_OVERHEAD_BYTES + origin.length + key.length + data.length;
        const publishedAtMs = this.clock.now() - record.ageMs;
        const entry: SharedEntry = {
            fingerprint,
            topic,
            origin,
            key,
            life,
            version,
            publishedAtMs,
            data,
            isLocal,
            recordBytes,
            sends: 0,
        };
        if (known !== undefined && known.isLocal !== isLocal) {
            this.remove(known);
        }
        this.entriesOf(topic).set(fingerprint, entry);
        this.queue(entry);
        return entry;
    }

    /** Counts a received duplicate of a stored value as one send, since its sender already has the value. */
    recordDuplicate(record: wire.ValueRecord, maxSends: number): void {
        const entry = this.get(computeFingerprint(`${record.topic} ${record.origin} ${record.key}`));
        if (entry !== undefined && entry.life === record.life && entry.version === record.version) {
            entry.sends += 1;
            if (entry.sends >= maxSends) {
                this.localQueue.remove(entry);
            }
        }
    }

    /** Returns the queue of a link that this node holds; a new queue starts with all urgent values. */
    linkQueue(failureDomain: string): SendQueue {
        let queue = this.linkQueues.get(failureDomain);
        if (queue === undefined) {
            queue = new SendQueue();
            for (const entry of this.urgent.values()) {
                queue.add(entry);
            }
            this.linkQueues.set(failureDomain, queue);
        }
        return queue;
    }

    /** Removes the queues of all links except those to the given failure domains. */
    retainLinkQueues(failureDomains: ReadonlySet<string>): void {
        for (const domain of this.linkQueues.keys()) {
            if (!failureDomains.has(domain)) {
                this.linkQueues.delete(domain);
            }
        }
    }

    /** Removes a value from the store and all queues. */
    remove(entry: SharedEntry): void {
        this.entriesOf(entry.topic).delete(entry.fingerprint);
        for (const queue of [this.localQueue, ...this.linkQueues.values()]) {
            queue.remove(entry);
        }
    }

    /** Returns the next values for a digest in round-robin order, up to half of them urgent. */
    nextForDigest(count: number): readonly SharedEntry[] {
        const entries: SharedEntry[] = [];
        this.urgentCursor = advance(this.urgent, this.urgentCursor, Math.ceil(count / 2), entries);
        this.deferrableCursor = advance(this.deferrable, this.deferrableCursor, count - entries.length, entries);
        return entries;
    }

    /** Converts an entry to its wire format. */
    toRecord({ topic, origin, key, life, version, publishedAtMs, data }: SharedEntry): wire.ValueRecord {
        const ageMs = Math.max(0, Math.round(this.clock.now() - publishedAtMs));
        return { topic, origin, key, life, version, ageMs, data };
    }

    private queue(entry: SharedEntry): void {
        for (const queue of [this.localQueue, ...this.linkQueues.values()]) {
            queue.add(entry);
        }
    }

    private entriesOf(topic: number): Map<number, SharedEntry> {
        return isUrgent(topic) ? this.urgent : this.deferrable;
    }

    /**
     * Evicts the oldest value of the lowest-priority topic.
     *
     * @returns `false` if all stored values have a higher priority than the given topic.
     */
    private tryEvict(topic: number): boolean {
        let victim: SharedEntry | undefined;
        for (const entry of this.all()) {
            if (
                victim === undefined || entry.topic > victim.topic ||
                entry.topic === victim.topic && entry.publishedAtMs < victim.publishedAtMs
            ) {
                victim = entry;
            }
        }
        if (victim === undefined || victim.topic < topic) {
            return false;
        }
        this.remove(victim);
        return true;
    }
}

/** Returns whether `left` is newer than `right`: first by the origin's start time, then by its version. */
export function isNewer(
    left: { readonly life: number; readonly version: number },
    right: { readonly life: number; readonly version: number },
): boolean {
    return left.life !== right.life ? left.life > right.life : left.version > right.version;
}

/** Appends up to `count` values to `into`; returns the cursor, or `undefined` once all values were visited. */
function advance(
    map: ReadonlyMap<number, SharedEntry>,
    cursor: Iterator<SharedEntry> | undefined,
    count: number,
    into: SharedEntry[],
): Iterator<SharedEntry> | undefined {
    const iterator = cursor ?? map.values();
    for (let index = 0; index < count; index += 1) {
        const next = iterator.next();
        if (next.done) {
            return undefined;
        }
        into.push(next.value);
    }
    return iterator;
}
