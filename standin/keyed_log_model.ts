/**
 * Model of the platform's compacted log, for tests under a virtual clock.
 *
 * @module
 */

import {
    AppendConflictError,
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

/** Topic of a {@linkcode KeyedLogModel}. */
interface ModelTopic {
    readonly records: KeyedRecord[];
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
    /** Additional time that each answer takes, in milliseconds. */
    answerDelayMs = 0;
    private readonly topics = new Map<string, ModelTopic>();

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
            return { records: [...newest.values()].filter(record => record.value !== undefined), endOffset: records.length };
        });
    }

    override read(topic: string, fromOffset: number, settings: KeyedReadSettings = {}): Promise<KeyedPage> {
        const { waitMs = 0, answerTimeoutMs = ANSWER_TIMEOUT_MS } = settings;
        return this.serveRead(topic, waitMs + answerTimeoutMs, async () => {
            const { records, wakeReads } = this.open(topic);
            if (records.length <= fromOffset) {
                await this.clock.sleep(waitMs, wakeReads.signal);
            }
            return { records: records.slice(fromOffset), endOffset: records.length };
        });
    }

    override async append(topic: string, key: string, value: Uint8Array, endOffset?: number): Promise<void> {
        await this.clock.sleep(ONE_WAY_MS);
        if (endOffset !== undefined && endOffset !== this.open(topic).records.length) {
            throw new AppendConflictError(topic);
        }
        this.put(topic, key, JSON.parse(Buffer.from(value).toString("utf8")));
        await this.clock.sleep(ONE_WAY_MS);
    }

    private async serveRead(topic: string, timeoutMs: number, makePage: () => Promise<KeyedPage>): Promise<KeyedPage> {
        const timeoutAtMs = this.clock.now() + timeoutMs;
        const state = this.open(topic);
        await this.clock.sleep(ONE_WAY_MS);
        if (state.refusesRead) {
            state.refusesRead = false;
            await this.clock.sleep(ONE_WAY_MS);
            throw new PlatformError(`read ${topic}`, "model", Executed.No, new Error("status 503"));
        }
        const page = await makePage();
        const isLost = state.losesAnswer;
        state.losesAnswer = false;
        const answerAtMs = this.clock.now() + this.answerDelayMs + ONE_WAY_MS;
        if (isLost || answerAtMs > timeoutAtMs) {
            await this.clock.sleep(timeoutAtMs - this.clock.now());
            throw new PlatformError(`read ${topic}`, "model", Executed.Unknown, new Error("timeout"));
        }
        await this.clock.sleep(answerAtMs - this.clock.now());
        return page;
    }

    private open(name: string): ModelTopic {
        let topic = this.topics.get(name);
        if (topic === undefined) {
            topic = { records: [], wakeReads: new AbortController(), losesAnswer: false, refusesRead: false };
            this.topics.set(name, topic);
        }
        return topic;
    }
}
