/**
 * Latency model of one backend server, estimated from the streams of this node.
 *
 * @module
 */

/** Prefill rate assumed before the first observation, in tokens per second. */
const DEFAULT_PREFILL_RATE = 8_000;

/** Time to the first token of a minimal prompt assumed before the first observation, in milliseconds. */
const DEFAULT_BASE_MS = 40;

/** Inter-token time assumed before the first observation, in milliseconds. */
const DEFAULT_INTER_TOKEN_MS = 30;

/** Minimum prefill from which the prefill rate is estimated, in tokens; shorter ones update the base time. */
const MIN_RATE_SAMPLE_TOKENS = 512;

/** Weight of an observation that is faster than the estimate. */
const FASTER_SMOOTHING_FACTOR = 0.3;

/** Weight of an observation that is slower than the estimate; the cause may also be queueing at the backend server. */
const SLOWER_SMOOTHING_FACTOR = 0.02;

/** Minimum share of the time to the first token that is attributed to the prefill. */
const MIN_PREFILL_SHARE = 0.3;

/** Weight of a new queueing delay in the moving average. */
const QUEUEING_DELAY_SMOOTHING_FACTOR = 0.3;

/** Minimum half-life of a queueing delay without new observations, in milliseconds. */
const MIN_DELAY_HALF_LIFE_MS = 500;

/** Half-life of a queueing delay as a multiple of the delay, since long delays are observed less often. */
const DELAY_HALF_LIFE_FACTOR = 4;

/** Weight of a new inter-token time in the moving average. */
const INTER_TOKEN_SMOOTHING_FACTOR = 0.05;

const MS_PER_SECOND = 1_000;

/** Estimates base time, prefill rate, inter-token time and queueing delay as moving averages. */
export class ServerLatencyModel {
    private prefillRate = DEFAULT_PREFILL_RATE;
    private baseMs = DEFAULT_BASE_MS;
    private meanInterTokenMs = DEFAULT_INTER_TOKEN_MS;
    private meanQueueingDelayMs = 0;
    private delayObservedAtMs = 0;
    private baseSamples = 0;
    private rateSamples = 0;

    /** Mean inter-token time, in milliseconds. */
    get interTokenMs(): number {
        return this.meanInterTokenMs;
    }

    /** Prefill rate, in tokens per second. */
    get prefillTokensPerSecond(): number {
        return this.prefillRate;
    }

    /** Returns the time to the first token without queueing, in milliseconds. */
    firstTokenMs(prefillTokens: number): number {
        return this.baseMs + this.prefillMs(prefillTokens);
    }

    /** Returns the time that a prefill takes, in milliseconds. */
    prefillMs(prefillTokens: number): number {
        return prefillTokens / this.prefillRate * MS_PER_SECOND;
    }

    /** Updates the base time or the prefill rate from an observed first token. */
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
        const sampleRate = prefillTokens / prefillMs * MS_PER_SECOND;
        this.rateSamples += 1;
        const weight = Math.max(
            sampleRate > this.prefillRate ? FASTER_SMOOTHING_FACTOR : SLOWER_SMOOTHING_FACTOR,
            1 / this.rateSamples,
        );
        this.prefillRate += weight * (sampleRate - this.prefillRate);
    }

    /** Returns the queueing delay expected from work that this node did not send, in milliseconds; it decays with time. */
    queueingDelayMs(nowMs: number): number {
        const halfLifeMs = Math.max(MIN_DELAY_HALF_LIFE_MS, DELAY_HALF_LIFE_FACTOR * this.meanQueueingDelayMs);
        return this.meanQueueingDelayMs * 0.5 ** ((nowMs - this.delayObservedAtMs) / halfLifeMs);
    }

    /** Updates the queueing delay from the delay of a first token beyond the expected time. */
    observeQueueingDelay(delayMs: number, nowMs: number): void {
        const currentMs = this.queueingDelayMs(nowMs);
        this.meanQueueingDelayMs = currentMs + QUEUEING_DELAY_SMOOTHING_FACTOR * (Math.max(0, delayMs) - currentMs);
        this.delayObservedAtMs = nowMs;
    }

    /** Updates the inter-token time. */
    observeInterTokenTime(elapsedMs: number): void {
        this.meanInterTokenMs += INTER_TOKEN_SMOOTHING_FACTOR * (elapsedMs - this.meanInterTokenMs);
    }
}
