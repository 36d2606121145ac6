/**
 * Model of the platform's compacted log, for tests under a virtual clock.
 *
 * @module
 */

import {
    AppendConflictError,
    KeyedLog,
    type KeyedPage,
    type KeyedReadSettings,
    type KeyedRecord,
} from "../src/protocol/relay/mod.js";
import type { Clock } from "../src/state/mod.js";

/** Time that a message takes between the log and a node, in milliseconds. */
const ONE_WAY_MS = 2;

/** Topic of a {@linkcode KeyedLogModel}. */
interface ModelTopic {
    readonly records: KeyedRecord[];
    /** Ends the reads that wait for a record. */
    wakeReads: AbortController;
}

/** Keeps topics in memory and answers after the clock has advanced; its faults are switched on by tests. */
export class KeyedLogModel extends KeyedLog {
    /** Whether a read that waits is answered only at the end of its wait, also when a record has been appended. */
    holdsReads = false;
    private readonly topics = new Map<string, ModelTopic>();

    /** @param clock Clock of the answers. */
    constructor(private readonly clock: Clock) {
        super();
    }

    /** Appends a record at once, as the operator or a backend server would; `undefined` deletes the key. */
    put(topic: string, key: string, value: unknown): void {
        const { records, wakeReads } = this.open(topic);
        const bytes = value === undefined ? undefined : Buffer.from(JSON.stringify(value));
        records.push({ key, value: bytes, offset: records.length });
        if (!this.holdsReads) {
            this.open(topic).wakeReads = new AbortController();
            wakeReads.abort();
        }
    }

    override async readNewest(topic: string): Promise<KeyedPage> {
        await this.clock.sleep(ONE_WAY_MS);
        const { records } = this.open(topic);
        const newest = new Map(records.map(record => [record.key, record]));
        const page = { records: [...newest.values()].filter(record => record.value !== undefined), endOffset: records.length };
        await this.clock.sleep(ONE_WAY_MS);
        return page;
    }

    override async read(topic: string, fromOffset: number, { waitMs = 0 }: KeyedReadSettings = {}): Promise<KeyedPage> {
        await this.clock.sleep(ONE_WAY_MS);
        const { records, wakeReads } = this.open(topic);
        if (records.length <= fromOffset) {
            await this.clock.sleep(waitMs, wakeReads.signal);
        }
        const page = { records: records.slice(fromOffset), endOffset: records.length };
        await this.clock.sleep(ONE_WAY_MS);
        return page;
    }

    override async append(topic: string, key: string, value: Uint8Array, endOffset?: number): Promise<void> {
        await this.clock.sleep(ONE_WAY_MS);
        if (endOffset !== undefined && endOffset !== this.open(topic).records.length) {
            throw new AppendConflictError(topic);
        }
        this.put(topic, key, JSON.parse(Buffer.from(value).toString("utf8")));
        await this.clock.sleep(ONE_WAY_MS);
    }

    private open(name: string): ModelTopic {
        let topic = this.topics.get(name);
        if (topic === undefined) {
            topic = { records: [], wakeReads: new AbortController() };
            this.topics.set(name, topic);
        }
        return topic;
    }
}
