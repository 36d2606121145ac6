/**
 * Latest value of each origin, topic and key.
 *
 * @module
 */

import type { wire } from "../../protocol/mod.js";
import { Topic } from "../../protocol/mod.js";
import type { Clock } from "../../state/mod.js";
import { computeFingerprint } from "./_fingerprint.js";
import { SendQueue } from "./_send_queue.js";

/** Values that a node keeps; the least important, oldest one is dropped first. */
export const MAX_SHARED_VALUES = 16_384;

/** Longest value, in bytes. */
export const MAX_SHARED_VALUE_BYTES = 512;

/** Longest name of an origin or a key, in characters. */
const MAX_NAME_LENGTH = 200;

/** Topics from this one on can wait; those before it are sent at once. */
const FIRST_DEFERRABLE_TOPIC = Topic.SentLoad;

/** Bytes of a record beside its texts and data. */
const RECORD_OVERHEAD_BYTES = 28;

/** Value as a node keeps it. */
export interface SharedEntry {
    /** Fingerprint of topic, origin and key. */
    readonly fingerprint: number;
    readonly topic: number;
    readonly origin: string;
    readonly key: string;
    /** Life of the origin that published the value. */
    readonly life: number;
    readonly version: number;
    /** Time of publication by this node's clock, in milliseconds since the Unix epoch. */
    readonly publishedAtMs: number;
    readonly data: Uint8Array;
    /** Whether the origin is in this node's failure domain. */
    readonly isLocal: boolean;
    /** Size of the record in a message, in bytes. */
    readonly recordBytes: number;
    /** Times that this node has sent the value. */
    sends: number;
}

/** Tells whether values of a topic are sent at once. */
export function isUrgent(topic: number): boolean {
    return topic < FIRST_DEFERRABLE_TOPIC;
}

/** Tells whether a record can be kept. */
export function isWellFormed(record: wire.ValueRecord): boolean {
    const named = record.origin !== "" && record.origin.length <= MAX_NAME_LENGTH && record.key.length <= MAX_NAME_LENGTH;
    return named && record.data.length <= MAX_SHARED_VALUE_BYTES && record.life > 0 && record.version > 0;
}

/** Values by name, urgent ones apart so that a repair comes round to them sooner. */
export class ValueStore {
    /** Values that wait to be sent within the failure domain. */
    readonly localQueue = new SendQueue();
    /** Values that wait to be sent over a link, by the failure domain at its other end. */
    private readonly linkQueues = new Map<string, SendQueue>();
    private readonly urgent = new Map<number, SharedEntry>();
    private readonly deferrable = new Map<number, SharedEntry>();
    private urgentCursor: Iterator<SharedEntry> | undefined;
    private deferrableCursor: Iterator<SharedEntry> | undefined;

    /** @param clock Clock that ages are measured by. */
    constructor(private readonly clock: Clock) {}

    /** Number of values kept. */
    get size(): number {
        return this.urgent.size + this.deferrable.size;
    }

    /** All values. */
    *all(): Generator<SharedEntry> {
        yield* this.urgent.values();
        yield* this.deferrable.values();
    }

    /** Returns a value by its name. */
    get(name: number): SharedEntry | undefined {
        return this.urgent.get(name) ?? this.deferrable.get(name);
    }

    /**
     * Takes a value if it is newer than the one kept, and queues it to be sent.
     *
     * @param record Value as it came, or as this node publishes it.
     * @param near Whether its origin is in this node's failure domain.
     * @returns The entry, or `undefined` when the value is not newer.
     */
    storeIfNewer(record: wire.ValueRecord, near: boolean): SharedEntry | undefined {
        const name = computeFingerprint(`${record.topic} ${record.origin} ${record.key}`);
        const known = this.get(name);
        if (known !== undefined && !isNewer(record, known)) {
            return undefined;
        }
        if (known === undefined && this.size >= MAX_SHARED_VALUES && !this.tryEvict(record.topic)) {
            return undefined;
        }
        const { topic, origin, key, life, version, data } = record;
        const bytes = RECORD_OVERHEAD_BYTES + origin.length + key.length + data.length;
        const bornAtMs = this.clock.now() - record.ageMs;
        const entry: SharedEntry = {
            fingerprint: name,
            topic,
            origin,
            key,
            life,
            version,
            publishedAtMs: bornAtMs,
            data,
            isLocal: near,
            recordBytes: bytes,
            sends: 0,
        };
        if (known !== undefined && known.isLocal !== near) {
            this.remove(known);
        }
        this.entriesOf(topic).set(name, entry);
        this.queue(entry);
        return entry;
    }

    /** Takes a sign that others have a value too, which counts as if this node had sent it. */
    recordDuplicate(record: wire.ValueRecord, maxSends: number): void {
        const entry = this.get(computeFingerprint(`${record.topic} ${record.origin} ${record.key}`));
        if (entry !== undefined && entry.life === record.life && entry.version === record.version) {
            entry.sends += 1;
            if (entry.sends >= maxSends) {
                this.localQueue.remove(entry);
            }
        }
    }

    /** Returns the queue of a link that this node holds; a new one begins with the urgent values. */
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

    /** Drops the queues of links that this node does not hold. */
    retainLinkQueues(failureDomains: ReadonlySet<string>): void {
        for (const domain of this.linkQueues.keys()) {
            if (!failureDomains.has(domain)) {
                this.linkQueues.delete(domain);
            }
        }
    }

    /** Drops a value. */
    remove(entry: SharedEntry): void {
        this.entriesOf(entry.topic).delete(entry.fingerprint);
        for (const queue of [this.localQueue, ...this.linkQueues.values()]) {
            queue.remove(entry);
        }
    }

    /** Returns the next values of a round through all of them, half of them urgent. */
    nextForDigest(count: number): readonly SharedEntry[] {
        const entries: SharedEntry[] = [];
        this.urgentCursor = advance(this.urgent, this.urgentCursor, Math.ceil(count / 2), entries);
        this.deferrableCursor = advance(this.deferrable, this.deferrableCursor, count - entries.length, entries);
        return entries;
    }

    /** Turns an entry into its message. */
    toRecord({ topic, origin, key, life, version, publishedAtMs: bornAtMs, data }: SharedEntry): wire.ValueRecord {
        const ageMs = Math.max(0, Math.round(this.clock.now() - bornAtMs));
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

    /** Drops the least important value if it is less important than one of the topic. */
    private tryEvict(topic: number): boolean {
        let least: SharedEntry | undefined;
        for (const entry of this.all()) {
            if (
                least === undefined || entry.topic > least.topic ||
                entry.topic === least.topic && entry.publishedAtMs < least.publishedAtMs
            ) {
                least = entry;
            }
        }
        if (least === undefined || least.topic < topic) {
            return false;
        }
        this.remove(least);
        return true;
    }
}

/** Orders values of one name: by the life of the origin, then by its own order. */
export function isNewer(
    left: { readonly life: number; readonly version: number },
    right: { readonly life: number; readonly version: number },
): boolean {
    return left.life !== right.life ? left.life > right.life : left.version > right.version;
}

function advance(
    map: ReadonlyMap<number, SharedEntry>,
    cursor: Iterator<SharedEntry> | undefined,
    count: number,
    into: SharedEntry[],
): Iterator<SharedEntry> | undefined {
    const iterator = cursor ?? map.values();
    for (let taken = 0; taken < count; taken += 1) {
        const next = iterator.next();
        if (next.done) {
            return undefined;
        }
        into.push(next.value);
    }
    return iterator;
}
