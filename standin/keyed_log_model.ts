/**
 * Model of the platform's compacted log, for tests under a virtual clock.
 *
 * @module
 */

import {
    AppendConflictError,
    CompactedError,
    Executed,
    KeyedLog,
    type KeyedPage,
    type KeyedReadSettings,
    type KeyedRecord,
    type NewestReadSettings,
    PlatformError,
} from "../src/protocol/relay/mod.js";
import type { Clock } from "../src/state/mod.js";

/** Time that a message takes between the log and a node, in milliseconds. */
const ONE_WAY_MS = 2;

/** Default time for an answer, in milliseconds; that of the client of the platform's log. */
const ANSWER_TIMEOUT_MS = 1_000;

/** Era before the first restore, as of a log that does not state its era. */
const FIRST_ERA = 0;

/** Topic of a {@linkcode KeyedLogModel}. */
interface ModelTopic {
    records: KeyedRecord[];
    /** First offset that can still be read. */
    firstOffset: number;
    /** Ends the reads that wait for a record. */
    wakeReads: AbortController;
    /** Whether the next answer to a read is lost. */
    losesAnswer: boolean;
    /** Whether the next read is refused. */
    refusesRead: boolean;
}

/** Keeps topics in memory and answers after the clock has advanced; its faults are switched on by tests. */
export class KeyedLogModel extends KeyedLog {
    /** Whether a read that waits is answered only at the end of its wait, also when a record has been appended. */
    holdsReads = false;
    /** Whether every read is refused. */
    isDown = false;
    /** Whether the next answer is one of the previous era. */
    answersLate = false;
    /** Additional time that each answer takes, in milliseconds. */
    answerDelayMs = 0;
    private readonly topics = new Map<string, ModelTopic>();
    private copies: ReadonlyMap<string, readonly KeyedRecord[]> = new Map();
    private era = FIRST_ERA;

    /** @param clock Clock of the answers. */
    constructor(private readonly clock: Clock) {
        super();
    }

    /** Loses the next answer to a read of each topic. */
    loseNextAnswers(): void {
        for (const topic of this.topics.values()) {
            topic.losesAnswer = true;
        }
    }

    /** Refuses the next read of each topic. */
    refuseNextReads(): void {
        for (const topic of this.topics.values()) {
            topic.refusesRead = true;
        }
    }

    /** Compacts a topic: earlier offsets become unreadable, and the newest record of each key stays. */
    compact(topic: string): void {
        this.open(topic).firstOffset = this.open(topic).records.length;
    }

    /** Copies all topics; {@linkcode restore} goes back to the last copy. */
    copy(): void {
        this.copies = new Map([...this.topics].map(([name, topic]) => [name, [...topic.records]]));
    }

    /** Restores all topics from the copy, in a new era; the answers to open reads are lost. */
    restore(): void {
        this.era += 1;
        for (const [name, topic] of this.topics) {
            topic.records = [...this.copies.get(name) ?? []];
            topic.firstOffset = 0;
        }
    }

    /** Values of a key that the log holds, in log order. */
    values(topic: string, key: string): readonly unknown[] {
        const matching = this.open(topic).records.filter(record => record.key === key);
        return matching.map(({ value }) =>
            value === undefined ? undefined : JSON.parse(Buffer.from(value).toString("utf8")) as unknown
        );
    }

    /** Number of times that the log has been restored. */
    get restores(): number {
        return this.era - FIRST_ERA;
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

    override readNewest(topic: string, { answerTimeoutMs = ANSWER_TIMEOUT_MS }: NewestReadSettings = {}): Promise<KeyedPage> {
        return this.serveRead(topic, answerTimeoutMs, async () => {
            const { records } = this.open(topic);
            const newest = new Map(records.map(record => [record.key, record]));
            const kept = [...newest.values()].filter(record => record.value !== undefined);
            return { records: kept, endOffset: records.length, era: this.era };
        });
    }

    override read(topic: string, fromOffset: number, settings: KeyedReadSettings = {}): Promise<KeyedPage> {
        const { waitMs = 0, answerTimeoutMs = ANSWER_TIMEOUT_MS } = settings;
        return this.serveRead(topic, waitMs + answerTimeoutMs, async () => {
            const { records, wakeReads } = this.open(topic);
            if (fromOffset > records.length || fromOffset < this.open(topic).firstOffset) {
                throw new CompactedError(topic, fromOffset);
            }
            if (records.length === fromOffset) {
                await this.clock.sleep(waitMs, wakeReads.signal);
            }
            return { records: records.slice(fromOffset), endOffset: records.length, era: this.era };
        });
    }

    override async append(topic: string, key: string, value: Uint8Array, endOffset?: number): Promise<number> {
        await this.clock.sleep(ONE_WAY_MS);
        if (endOffset !== undefined && endOffset !== this.open(topic).records.length) {
            throw new AppendConflictError(topic);
        }
        this.put(topic, key, JSON.parse(Buffer.from(value).toString("utf8")));
        const { era } = this;
        await this.clock.sleep(ONE_WAY_MS);
        return era;
    }

    private async serveRead(topic: string, timeoutMs: number, makePage: () => Promise<KeyedPage>): Promise<KeyedPage> {
        const timeoutAtMs = this.clock.now() + timeoutMs;
        const state = this.open(topic);
        await this.clock.sleep(ONE_WAY_MS);
        if (state.refusesRead || this.isDown) {
            state.refusesRead = false;
            await this.clock.sleep(ONE_WAY_MS);
            throw new PlatformError(`read ${topic}`, "model", Executed.No, new Error("status 503"));
        }
        const { era } = this;
        const page = await makePage();
        const isLost = state.losesAnswer || era !== this.era;
        state.losesAnswer = false;
        const answer = this.answersLate ? { records: [], endOffset: 0, era: era - 1 } : page;
        this.answersLate = false;
        const answerAtMs = this.clock.now() + this.answerDelayMs + ONE_WAY_MS;
        if (isLost || answerAtMs > timeoutAtMs) {
            await this.clock.sleep(timeoutAtMs - this.clock.now());
            throw new PlatformError(`read ${topic}`, "model", Executed.Unknown, new Error("timeout"));
        }
        await this.clock.sleep(answerAtMs - this.clock.now());
        return answer;
    }

    private open(name: string): ModelTopic {
        let topic = this.topics.get(name);
        if (topic === undefined) {
            topic = { records: [], firstOffset: 0, wakeReads: new AbortController(), losesAnswer: false, refusesRead: false };
            this.topics.set(name, topic);
        }
        return topic;
    }
}
