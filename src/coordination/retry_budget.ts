/**
 * Retry budget, which keeps retries from amplifying an overload.
 *
 * @module
 */

import type { Clock } from "../state/mod.js";

/** Retries allowed per first attempt, from 0 to 1. */
const DEFAULT_RETRY_FRACTION = 0.1;

/** Length of the counting window, in milliseconds. */
const DEFAULT_WINDOW_MS = 10_000;

/** Retries allowed over both windows regardless of the number of attempts, so that a node with little traffic can retry. */
const DEFAULT_MIN_RETRIES = 3;

/** Settings of a {@linkcode RetryBudget}. */
export interface RetryBudgetSettings {
    /** Retries allowed per first attempt, from 0 to 1. Defaults to 0.1. */
    readonly retryFraction?: number;
    /** Length of the counting window, in milliseconds. Defaults to 10,000. */
    readonly windowMs?: number;
    /** Retries allowed over the current and the previous window regardless of the number of attempts. Defaults to 3. */
    readonly minRetries?: number;
}

/**
 * Limits retries to a fraction of the first attempts, both counted over the current and the previous window.
 *
 * @example
 * const budget = new RetryBudget(clock);
 * budget.recordAttempt();
 * if (budget.tryRetry()) {
 *     await dispatchAgain();
 * }
 */
export class RetryBudget {
    private readonly retryFraction: number;
    private readonly windowMs: number;
    private readonly minRetries: number;
    private windowStartMs: number;
    private attempts = 0;
    private retries = 0;
    private previousAttempts = 0;
    private previousRetries = 0;

    /**
     * @param clock Clock that advances the window.
     * @param settings See {@linkcode RetryBudgetSettings}.
     */
    constructor(private readonly clock: Clock, settings: RetryBudgetSettings = {}) {
        this.retryFraction = settings.retryFraction ?? DEFAULT_RETRY_FRACTION;
        this.windowMs = settings.windowMs ?? DEFAULT_WINDOW_MS;
        this.minRetries = settings.minRetries ?? DEFAULT_MIN_RETRIES;
        this.windowStartMs = clock.now();
    }

    /** Counts a first attempt. */
    recordFirstAttempt(): void {
        this.advanceWindow();
        this.attempts += 1;
    }

    /**
     * Takes one retry from the budget, if one is left.
     *
     * @returns `true` if the retry is allowed; it is then already charged to the budget.
     */
    tryRetry(): boolean {
        this.advanceWindow();
        const allowed = Math.max(this.minRetries, (this.attempts + this.previousAttempts) * this.retryFraction);
        if (this.retries + this.previousRetries >= allowed) {
            return false;
        }
        this.retries += 1;
        return true;
    }

    private advanceWindow(): void {
        const elapsedMs = this.clock.now() - this.windowStartMs;
        if (elapsedMs < this.windowMs) {
            return;
        }
        const adjacent = elapsedMs < 2 * this.windowMs;
        this.previousAttempts = adjacent ? this.attempts : 0;
        this.previousRetries = adjacent ? this.retries : 0;
        this.attempts = 0;
        this.retries = 0;
        this.windowStartMs = this.clock.now();
    }
}
