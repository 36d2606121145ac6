/**
 * Discrete-event model of an engine with slots.
 *
 * Prompts are prefilled one at a time and stall the running streams, which decode in shared steps.
 * Time advances from event to event, so that hours of a large fleet can be simulated in seconds.
 *
 * @module
 */

/** Performance parameters of an engine. */
export interface SlotEngineProfile {
    readonly slots: number;
    /** Maximum number of calls that wait for a slot; further calls are rejected. */
    readonly queueLimit: number;
    /** Base duration of a decode step, in milliseconds. */
    readonly stepMs: number;
    /** Time that each stream adds to a decode step, in milliseconds. */
    readonly stepPerStreamMs: number;
    /** Fixed duration of each prefill regardless of the prompt length, in milliseconds. */
    readonly firstStepMs: number;
    readonly promptTokensPerMs: number;
    /** Factor by which the engine is faster than the figures above. */
    readonly speed: number;
}

/** Call to an engine. */
export interface EngineCall {
    readonly promptTokens: number;
    readonly outputTokens: number;
    /** Called when the first token is generated. */
    readonly onFirstToken: () => void;
    /** Called when the last token is generated, with the longest pause of the stream, in milliseconds. */
    readonly onEnd: (longestPauseMs: number) => void;
}

/** State of a running or waiting call. */
interface EngineRun {
    readonly call: EngineCall;
    remainingPrefillMs: number;
    remainingTokens: number;
    pauseMs: number;
    longestPauseMs: number;
}

/** Engine that admits calls to its slots in FIFO order. */
export class SlotEngine {
    private readonly running: EngineRun[] = [];
    private readonly waiting: EngineRun[] = [];
    private updatedAtMs = 0;

    /**
     * @param id Id of the engine.
     * @param profile Performance parameters.
     */
    constructor(readonly id: string, readonly profile: SlotEngineProfile) {}

    /** Number of running calls. */
    get runningCalls(): number {
        return this.running.length;
    }

    /** Number of running and waiting calls. */
    get allCalls(): number {
        return this.running.length + this.waiting.length;
    }

    /**
     * Starts or queues a call.
     *
     * @returns A function that cancels the call, or `undefined` when the engine is full.
     */
    start(nowMs: number, call: EngineCall): (() => void) | undefined {
        this.advance(nowMs);
        const { slots, queueLimit, promptTokensPerMs, firstStepMs, speed } = this.profile;
        if (this.running.length + this.waiting.length >= slots + queueLimit) {
            return undefined;
        }
        const run: EngineRun = {
            call,
            remainingPrefillMs: (firstStepMs + call.promptTokens / promptTokensPerMs) / speed,
            remainingTokens: call.outputTokens,
            pauseMs: 0,
            longestPauseMs: 0,
        };
        this.waiting.push(run);
        this.admit();
        return () => this.remove(run);
    }

    /** Returns the time of the next event, in milliseconds; `Infinity` when no call is running. */
    nextEventMs(): number {
        const prefilling = this.running.find(run => run.remainingPrefillMs > 0);
        if (prefilling !== undefined) {
            return this.updatedAtMs + prefilling.remainingPrefillMs;
        }
        let fewestTokens = Infinity;
        for (const run of this.running) {
            fewestTokens = Math.min(fewestTokens, run.remainingTokens);
        }
        return this.updatedAtMs + fewestTokens * this.stepMs();
    }

    /** Advances the model to a time, and calls the callbacks of all events up to it. */
    advance(nowMs: number): void {
        for (let nextMs = this.nextEventMs(); nextMs <= nowMs; nextMs = this.nextEventMs()) {
            this.elapse(nextMs - this.updatedAtMs);
            this.updatedAtMs = nextMs;
            this.completeDue();
        }
        this.elapse(nowMs - this.updatedAtMs);
        this.updatedAtMs = nowMs;
    }

    private stepMs(): number {
        const { stepMs, stepPerStreamMs, speed } = this.profile;
        return (stepMs + stepPerStreamMs * this.running.length) / speed;
    }

    private elapse(durationMs: number): void {
        const prefilling = this.running.find(run => run.remainingPrefillMs > 0);
        if (prefilling === undefined) {
            const tokens = durationMs / this.stepMs();
            for (const run of this.running) {
                run.remainingTokens -= tokens;
                run.pauseMs = 0;
            }
            return;
        }
        prefilling.remainingPrefillMs -= durationMs;
        for (const run of this.running) {
            if (run.remainingPrefillMs <= 0 && run !== prefilling) {
                run.pauseMs += durationMs;
                run.longestPauseMs = Math.max(run.longestPauseMs, run.pauseMs);
            }
        }
    }

    private completeDue(): void {
        const tolerance = 1e-6;
        for (const run of [...this.running]) {
            if (run.remainingPrefillMs !== 0 && Math.abs(run.remainingPrefillMs) < tolerance) {
                run.remainingPrefillMs = 0;
                run.call.onFirstToken();
            }
            else if (run.remainingPrefillMs <= 0 && run.remainingTokens < tolerance) {
                this.remove(run);
                run.call.onEnd(run.longestPauseMs);
            }
        }
    }

    private remove(run: EngineRun): void {
        for (const list of [this.running, this.waiting]) {
            const index = list.indexOf(run);
            if (index >= 0) {
                list.splice(index, 1);
            }
        }
        this.admit();
    }

    private admit(): void {
        while (this.running.length < this.profile.slots) {
            const next = this.waiting.shift();
            if (next === undefined) {
                return;
            }
            this.running.push(next);
        }
    }
}
