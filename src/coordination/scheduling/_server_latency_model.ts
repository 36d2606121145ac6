/**
 * Speed of one backend server, learned from the streams of this node.
 *
 * @module
 */

/** Prefill rate expected before the first observation, in tokens a second. */
const DEFAULT_PREFILL_RATE = 8_000;

/** Time to the first token of a tiny prompt expected before the first observation, in milliseconds. */
const DEFAULT_BASE_MS = 40;

/** Time between two tokens expected before the first observation, in milliseconds. */
const DEFAULT_INTER_TOKEN_MS = 30;

/** Prompts below this length tell of the base time, others of the prefill rate; in tokens. */
const MIN_RATE_SAMPLE_TOKENS = 512;

/** Weight of an observation that shows the backend server faster than believed. */
const FASTER_SMOOTHING_FACTOR = 0.3;

/** Weight of an observation that shows it slower, which may also be due to a queue. */
const SLOWER_SMOOTHING_FACTOR = 0.02;

/** Part of the time to a first token that is taken as prefill at least. */
const MIN_PREFILL_SHARE = 0.3;

/** Weight of a new delay beyond the expected first token. */
const QUEUEING_DELAY_SMOOTHING_FACTOR = 0.3;

/** Shortest time in which a delay that is not seen again counts half, in milliseconds. */
const MIN_DELAY_HALF_LIFE_MS = 500;

/** Time in which a delay counts half, as a multiple of the delay: a long one is seen again only rarely. */
const DELAY_HALF_LIFE_FACTOR = 4;

/** Weight of a new time between tokens. */
const INTER_TOKEN_SMOOTHING_FACTOR = 0.05;

/** Milliseconds in a second. */
const MS_PER_SECOND = 1_000;

/** Learns base time, prefill rate and time between tokens. */
export class ServerLatencyModel {
    private prefillRate = DEFAULT_PREFILL_RATE;
    private baseMs = DEFAULT_BASE_MS;
    private meanInterTokenMs = DEFAULT_INTER_TOKEN_MS;
    private meanQueueingDelayMs = 0;
    private delayObservedAtMs = 0;
    private baseSamples = 0;
    private rateSamples = 0;

    /** Mean time between two tokens of an answer, in milliseconds. */
    get interTokenMs(): number {
        return this.meanInterTokenMs;
    }

    /** Prefill rate in tokens a second. */
    get prefillTokensPerSecond(): number {
        return this.prefillRate;
    }

    /** Returns the time to the first token with nothing ahead, in milliseconds. */
    firstTokenMs(prefillTokens: number): number {
        return this.baseMs + this.prefillMs(prefillTokens);
    }

    /** Returns the time that a prefill takes, in milliseconds. */
    prefillMs(prefillTokens: number): number {
        return prefillTokens / this.prefillRate * MS_PER_SECOND;
    }

    /** Learns from a first token. */
    observeFirstToken(prefillTokens: number, elapsedMs: number): void {
        if (prefillTokens < MIN_RATE_SAMPLE_TOKENS) {
            const sampleMs = Math.max(1, elapsedMs - this.prefillMs(prefillTokens));
            this.baseSamples += 1;
            const weight = Math.max(
                sampleMs < this.baseMs ? FASTER_SMOOTHING_FACTOR : SLOWER_SMOOTHING_FACTOR,
                1 / this.baseSamples,
            );
            this.baseMs += weight * (sampleMs - this.baseMs);
            return;
        }
        const prefillMs = Math.max(1, MIN_PREFILL_SHARE * elapsedMs, elapsedMs - this.baseMs);
        const sample = prefillTokens / prefillMs * MS_PER_SECOND;
        this.rateSamples += 1;
        const weight = Math.max(
            sample > this.prefillRate ? FASTER_SMOOTHING_FACTOR : SLOWER_SMOOTHING_FACTOR,
            1 / this.rateSamples,
        );
        this.prefillRate += weight * (sample - this.prefillRate);
    }

    /** Returns the delay by work of others that a call meets now, in milliseconds. */
    queueingDelayMs(nowMs: number): number {
        const halfLifeMs = Math.max(MIN_DELAY_HALF_LIFE_MS, DELAY_HALF_LIFE_FACTOR * this.meanQueueingDelayMs);
        return this.meanQueueingDelayMs * 0.5 ** ((nowMs - this.delayObservedAtMs) / halfLifeMs);
    }

    /** Learns from the delay of a first token beyond the expected time. */
    observeQueueingDelay(delayMs: number, nowMs: number): void {
        const known = this.queueingDelayMs(nowMs);
        this.meanQueueingDelayMs = known + QUEUEING_DELAY_SMOOTHING_FACTOR * (Math.max(0, delayMs) - known);
        this.delayObservedAtMs = nowMs;
    }

    /** Learns from a time between two tokens. */
    observeInterTokenTime(elapsedMs: number): void {
        this.meanInterTokenMs += INTER_TOKEN_SMOOTHING_FACTOR * (elapsedMs - this.meanInterTokenMs);
    }
}
