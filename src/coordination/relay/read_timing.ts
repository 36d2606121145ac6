/**
 * Timing of the reads with which a node follows a topic of the platform's log.
 *
 * @module
 */

import type { RandomSource } from "../../state/relay/mod.js";

/** Time from one read to the next, or for which the log may hold a read, as a fraction of the time to apply a record. */
const INTERVAL_FRACTION = 0.5;

/** Interval of a node that also reads for its peers; leaves time for its reports to reach them. */
const SHARED_INTERVAL_FRACTION = 0.25;

/** Age of the last confirmation from which a node reads for itself; the spread keeps all nodes from starting at once. */
const STALE_FRACTION = 0.5;
const STALE_SPREAD_FRACTION = 0.1;

/** Initial answer timeout as a fraction of the time to apply a record; an interval, two timeouts and a retry delay fit into it. */
const ANSWER_TIMEOUT_FRACTION = 0.2;

/** Delay before the first retry, as a fraction of the time to apply a record. */
const RETRY_DELAY_FRACTION = 0.05;

/** Maximum retry delay, as a fraction of the time to apply a record. */
const MAX_RETRY_DELAY_FRACTION = 0.2;

/** Factor by which the answer timeout and the retry delay grow with each failure. */
const BACKOFF_FACTOR = 2;

/** Fraction of the answer timeout below which an answer is fast enough for a shorter timeout. */
const FAST_ANSWER_FRACTION = 0.25;

/**
 * Derives interval, timeout and retry delay from the time in which a record must be applied, so that one lost answer or failed read
 * does not delay it further. Timeouts grow with failures up to that time, so that a slow log can still be read.
 */
export class ReadTiming {
    private currentAnswerTimeoutMs: number;
    private retryDelayMs: number;

    /**
     * @param applyMs Time from the append of a record until it must be applied, in milliseconds.
     * @param random Source of the jitter of retries.
     */
    constructor(private readonly applyMs: number, private readonly random: RandomSource) {
        this.currentAnswerTimeoutMs = applyMs * ANSWER_TIMEOUT_FRACTION;
        this.retryDelayMs = applyMs * RETRY_DELAY_FRACTION;
    }

    /** Time from one read to the next, or for which the log may hold a read, in milliseconds. */
    get intervalMs(): number {
        return this.applyMs * INTERVAL_FRACTION;
    }

    /** Interval, as {@linkcode intervalMs}, of a node that also reads for its peers, in milliseconds. */
    get sharedIntervalMs(): number {
        return this.applyMs * SHARED_INTERVAL_FRACTION;
    }

    /** Age of the last confirmation up to which another node counts as reading the topic, in milliseconds. */
    get freshMs(): number {
        return this.applyMs * STALE_FRACTION;
    }

    /** Shortest time between two reads that catch up with another node, in milliseconds. */
    get catchUpIntervalMs(): number {
        return this.applyMs * RETRY_DELAY_FRACTION;
    }

    /** Returns the age of the last confirmation from which this node reads for itself, in milliseconds, with jitter. */
    drawStaleMs(): number {
        return this.applyMs * (STALE_FRACTION + this.random.next() * STALE_SPREAD_FRACTION);
    }

    /** Time for the log to answer a read, in addition to the time for which it may hold it, in milliseconds. */
    get answerTimeoutMs(): number {
        return this.currentAnswerTimeoutMs;
    }

    /**
     * Records an answer.
     *
     * @param answerMs Time to the answer without the time for which the log could hold the read, in milliseconds.
     */
    recordAnswer(answerMs: number): void {
        this.retryDelayMs = this.applyMs * RETRY_DELAY_FRACTION;
        if (answerMs < this.currentAnswerTimeoutMs * FAST_ANSWER_FRACTION) {
            const shorterMs = this.currentAnswerTimeoutMs / BACKOFF_FACTOR;
            this.currentAnswerTimeoutMs = Math.max(this.applyMs * ANSWER_TIMEOUT_FRACTION, shorterMs);
        }
    }

    /** Records a failed read and returns the delay before the next one, in milliseconds. */
    recordFailure(): number {
        const delayMs = this.retryDelayMs * (1 + this.random.next()) / 2;
        this.retryDelayMs = Math.min(this.applyMs * MAX_RETRY_DELAY_FRACTION, this.retryDelayMs * BACKOFF_FACTOR);
        this.currentAnswerTimeoutMs = Math.min(this.applyMs, this.currentAnswerTimeoutMs * BACKOFF_FACTOR);
        return delayMs;
    }
}
