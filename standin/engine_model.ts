/**
 * Simulated inference engine: continuous batching, FIFO admission, prefix cache, lagging load reports, injected faults.
 *
 * @module
 */

import { createHash } from "node:crypto";
import type { EngineEnd, EngineEvent, EngineRequest } from "../src/protocol/mod.js";
import type { Clock, LoadReport } from "../src/state/mod.js";
import { CacheEventLog } from "./cache_event_log.js";
import { hashBlocks, PrefixCache } from "./prefix_cache.js";

/** Characters per token. */
const CHARACTERS_PER_TOKEN = 4;

/** Maximum number of output tokens when the request does not set one. */
const DEFAULT_MAX_TOKENS = 512;

/** Performance parameters of an engine. */
export interface EngineProfile {
    readonly engineClass: string;
    readonly prefillTokensPerSecond: number;
    /** Base duration of one step, in milliseconds. */
    readonly stepMs: number;
    /** Time that each decoding sequence adds to a step, in milliseconds. */
    readonly stepPerSequenceMs: number;
    /** Maximum number of sequences in the batch. */
    readonly maxSequences: number;
    /** Maximum number of prompt tokens prefilled in one step. */
    readonly prefillChunkTokens: number;
    /** Capacity of the prefix cache, in blocks of 64 tokens. */
    readonly cacheBlocks: number;
    /** Time until a load report becomes visible, in milliseconds. */
    readonly reportLagMs: number;
}

/** Profiles of three hardware classes. */
export const ENGINE_PROFILES: Readonly<Record<"slow" | "medium" | "fast", EngineProfile>> = {
    slow: {
        engineClass: "g3",
        prefillTokensPerSecond: 4_000,
        stepMs: 18,
        stepPerSequenceMs: 0.9,
        maxSequences: 16,
        prefillChunkTokens: 512,
        cacheBlocks: 1_000,
        reportLagMs: 1_000,
    },
    medium: {
        engineClass: "g4",
        prefillTokensPerSecond: 8_000,
        stepMs: 14,
        stepPerSequenceMs: 0.6,
        maxSequences: 24,
        prefillChunkTokens: 512,
        cacheBlocks: 2_000,
        reportLagMs: 1_000,
    },
    fast: {
        engineClass: "g5",
        prefillTokensPerSecond: 16_000,
        stepMs: 10,
        stepPerSequenceMs: 0.4,
        maxSequences: 32,
        prefillChunkTokens: 1_024,
        cacheBlocks: 4_000,
        reportLagMs: 1_000,
    },
};

/** Faults that tests inject. */
export interface EngineFaults {
    /** Connections are refused. */
    refuse: boolean;
    /** Requests are answered with status 500. */
    serverError: boolean;
    /** Number of tokens after which each stream is broken off; `undefined` for never. */
    breakAfterTokens: number | undefined;
    /** Answers carry the id of another request. */
    cross: boolean;
    /** Factor applied to the duration of each step. */
    slowFactor: number;
    /** No new load reports are produced. */
    reportsFrozen: boolean;
    /** No tokens are generated and no sequence completes. */
    hang: boolean;
}

/** Counters of an engine since its start. */
export interface EngineCounts {
    requests: number;
    prefilledTokens: number;
    /** Prefilled tokens of requests that did not complete. */
    wastedPrefillTokens: number;
    cachedTokens: number;
    decodedTokens: number;
    cancelled: number;
}

/** Sequence that completed or was cancelled. */
export interface RetiredSequence {
    readonly id: string;
    readonly blocks: readonly string[];
    /** Prompt tokens found in the prefix cache. */
    readonly cachedTokens: number;
    /** Prompt tokens that the engine prefilled. */
    readonly prefilledTokens: number;
}

/** Sequence that is waiting or in the batch. */
interface Sequence {
    readonly id: string;
    readonly digest: string;
    readonly blocks: readonly string[];
    readonly promptTokens: number;
    readonly outputTokens: number;
    readonly queue: EventQueue;
    cachedTokens: number;
    remainingPrefillTokens: number;
    prefilledTokens: number;
    nextToken: number;
}

/** Simulated engine, used in process by tests and served over HTTP by stand-in processes. */
export class EngineModel {
    readonly faults: EngineFaults = {
        refuse: false,
        serverError: false,
        breakAfterTokens: undefined,
        cross: false,
        slowFactor: 1,
        reportsFrozen: false,
        hang: false,
    };
    readonly counts: EngineCounts = {
        requests: 0,
        prefilledTokens: 0,
        wastedPrefillTokens: 0,
        cachedTokens: 0,
        decodedTokens: 0,
        cancelled: 0,
    };
    /** Software version that the engine reports. */
    version = "1.0";
    /** Called for each sequence that completes or is cancelled. */
    onRetire: (sequence: RetiredSequence) => void = () => undefined;
    readonly cache: PrefixCache;
    readonly cacheEvents: CacheEventLog;
    private readonly waiting: Sequence[] = [];
    private readonly running = new Set<Sequence>();
    private reports: LoadReport[] = [];
    private stepping = false;

    /**
     * @param clock Clock that times the steps.
     * @param profile Performance parameters.
     */
    constructor(private readonly clock: Clock, readonly profile: EngineProfile) {
        this.cacheEvents = new CacheEventLog(clock);
        this.cache = new PrefixCache(profile.cacheBlocks, event => this.cacheEvents.record(event));
        this.reports.push(this.makeReport());
    }

    /**
     * Runs a request and yields its events.
     *
     * @param request Request with its chat-completions body.
     * @param signal Cancels the request.
     */
    async *generate(request: EngineRequest, signal: AbortSignal): AsyncGenerator<EngineEvent> {
        const sequence = this.enqueue(request);
        const onAbort = () => sequence.queue.close();
        signal.addEventListener("abort", onAbort, { once: true });
        let completed = false;
        try {
            for await (const event of sequence.queue.read()) {
                completed = event.kind === "end";
                yield event;
            }
        }
        finally {
            signal.removeEventListener("abort", onAbort);
            this.retire(sequence, completed);
        }
    }

    /** Returns the newest load report that is older than the lag, or the oldest when there is none. */
    readLoadReport(): LoadReport {
        const visibleAtMs = this.clock.now() - this.profile.reportLagMs;
        if (!this.faults.reportsFrozen) {
            this.reports.push(this.makeReport());
        }
        while (this.reports.length > 1 && this.reports[1].atMs <= visibleAtMs) {
            this.reports.shift();
        }
        return this.reports[0];
    }

    private enqueue(request: EngineRequest): Sequence {
        const body = JSON.parse(request.body.toString("utf8")) as ChatBody;
        const prompt = body.messages.map(message => message.content).join("\n");
        const digest = requestDigest(request.body);
        const maxTokens = body.max_tokens ?? DEFAULT_MAX_TOKENS;
        const outputTokens = 1 + Number.parseInt(digest, 16) % maxTokens;
        const promptTokens = Math.max(1, Math.ceil(prompt.length / CHARACTERS_PER_TOKEN)) + request.fromToken;
        const sequence: Sequence = {
            id: request.id,
            digest,
            blocks: hashBlocks(prompt),
            promptTokens,
            outputTokens,
            queue: new EventQueue(),
            cachedTokens: 0,
            remainingPrefillTokens: promptTokens,
            prefilledTokens: 0,
            nextToken: request.fromToken,
        };
        this.counts.requests += 1;
        this.waiting.push(sequence);
        if (!this.stepping) {
            this.stepping = true;
            void this.runSteps();
        }
        return sequence;
    }

    private async runSteps(): Promise<void> {
        while (this.waiting.length > 0 || this.running.size > 0) {
            this.admitWaiting();
            const prefilledTokens = this.prefill();
            const decoding = [...this.running].filter(sequence => sequence.remainingPrefillTokens === 0);
            const decodeMs = this.profile.stepMs + this.profile.stepPerSequenceMs * decoding.length;
            const prefillMs = prefilledTokens / this.profile.prefillTokensPerSecond * 1_000;
            await this.clock.sleep((decodeMs + prefillMs) * this.faults.slowFactor);
            if (!this.faults.hang) {
                this.decode(decoding);
            }
        }
        this.stepping = false;
    }

    private admitWaiting(): void {
        while (this.waiting.length > 0 && this.running.size < this.profile.maxSequences) {
            const sequence = this.waiting.shift() as Sequence;
            const cachedTokens = Math.min(this.cache.cachedTokens(sequence.blocks), sequence.promptTokens - 1);
            sequence.cachedTokens = cachedTokens;
            sequence.remainingPrefillTokens = sequence.promptTokens - cachedTokens;
            this.counts.cachedTokens += cachedTokens;
            this.running.add(sequence);
        }
    }

    private prefill(): number {
        let remainingTokens = this.profile.prefillChunkTokens;
        for (const sequence of this.running) {
            if (sequence.remainingPrefillTokens === 0) {
                continue;
            }
            const tokens = Math.min(remainingTokens, sequence.remainingPrefillTokens);
            sequence.remainingPrefillTokens -= tokens;
            sequence.prefilledTokens += tokens;
            remainingTokens -= tokens;
            if (sequence.remainingPrefillTokens === 0) {
                this.cache.store(sequence.blocks);
            }
            if (remainingTokens === 0) {
                break;
            }
        }
        const prefilledTokens = this.profile.prefillChunkTokens - remainingTokens;
        this.counts.prefilledTokens += prefilledTokens;
        return prefilledTokens;
    }

    private decode(sequences: readonly Sequence[]): void {
        for (const sequence of sequences) {
            if (!this.running.has(sequence)) {
                continue;
            }
            if (sequence.nextToken < sequence.outputTokens) {
                const index = sequence.nextToken;
                sequence.nextToken += 1;
                this.counts.decodedTokens += 1;
                sequence.queue.push({ kind: "token", token: { index, text: tokenText(sequence.digest, index) } });
            }
            if (sequence.nextToken >= sequence.outputTokens) {
                sequence.queue.push({ kind: "end", end: toEngineEnd(sequence) });
                sequence.queue.close();
                this.running.delete(sequence);
            }
        }
    }

    private retire(sequence: Sequence, completed: boolean): void {
        this.running.delete(sequence);
        const index = this.waiting.indexOf(sequence);
        if (index >= 0) {
            this.waiting.splice(index, 1);
        }
        this.onRetire(sequence);
        if (!completed) {
            this.counts.cancelled += 1;
            this.counts.wastedPrefillTokens += sequence.prefilledTokens;
        }
    }

    private makeReport(): LoadReport {
        return {
            version: this.version,
            engineClass: this.profile.engineClass,
            waiting: this.waiting.length,
            running: this.running.size,
            waitingTokens: this.waiting.reduce((sum, sequence) => sum + sequence.promptTokens, 0),
            atMs: this.clock.now(),
        };
    }
}

/** Fields of a chat-completions request that the model reads. */
interface ChatBody {
    readonly messages: readonly { readonly content: string }[];
    readonly max_tokens?: number;
}

/** Queue of events for a single asynchronous reader. */
class EventQueue {
    private readonly events: EngineEvent[] = [];
    private wakeReader: () => void = () => undefined;
    private closed = false;

    push(event: EngineEvent): void {
        this.events.push(event);
        this.wakeReader();
    }

    close(): void {
        this.closed = true;
        this.wakeReader();
    }

    async *read(): AsyncGenerator<EngineEvent> {
        for (;;) {
            const event = this.events.shift();
            if (event !== undefined) {
                yield event;
                continue;
            }
            if (this.closed) {
                return;
            }
            await new Promise<void>(resolve => {
                this.wakeReader = resolve;
            });
        }
    }
}

/** Returns the digest of a request body, which determines its answer. */
export function requestDigest(body: Buffer): string {
    return createHash("sha256").update(body).digest("hex").slice(0, 8);
}

/** Returns the text of one output token. */
export function tokenText(digest: string, index: number): string {
    return `${digest}.${index} `;
}

/** Returns the complete answer that an engine gives to a request. */
export function expectedAnswer(body: Buffer): string {
    const { max_tokens: maxTokens = DEFAULT_MAX_TOKENS } = JSON.parse(body.toString("utf8")) as ChatBody;
    const digest = requestDigest(body);
    const outputTokens = 1 + Number.parseInt(digest, 16) % maxTokens;
    return Array.from({ length: outputTokens }, (value, index) => tokenText(digest, index)).join("");
}

function toEngineEnd(sequence: Sequence): EngineEnd {
    return {
        finishReason: "stop",
        cachedTokens: sequence.cachedTokens,
        promptTokens: sequence.promptTokens,
        outputTokens: sequence.outputTokens,
    };
}
