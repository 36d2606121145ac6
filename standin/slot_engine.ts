/**
 * Model of an engine with slots: prompts are read one after the other and hold up the running streams, which share the steps.
 *
 * Time passes between changes only, so that hours of a large fleet can be played in seconds.
 *
 * @module
 */

/** Performance of an engine. */
export interface SlotEngineProfile {
    readonly slots: number;
    /** Calls that wait beyond the slots; further ones are refused. */
    readonly queueLimit: number;
    /** Time of a step with one stream, in milliseconds. */
    readonly stepMs: number;
    /** Time that each further stream adds to a step, in milliseconds. */
    readonly stepPerStreamMs: number;
    /** Time of a prompt's first step whatever its length, in milliseconds. */
    readonly firstStepMs: number;
    readonly promptTokensPerMs: number;
    /** Speed against the figures above. */
    readonly speed: number;
}

/** Call at an engine. */
export interface EngineCall {
    readonly promptTokens: number;
    readonly outputTokens: number;
    /** Told when the first token is there. */
    readonly onFirstToken: () => void;
    /** Told when the last token is there, with the longest time for which the stream stood still, in milliseconds. */
    readonly onEnd: (longestPauseMs: number) => void;
}

/** Call that runs or waits. */
interface EngineRun {
    readonly call: EngineCall;
    remainingPrefillMs: number;
    remainingTokens: number;
    pauseMs: number;
    longestPauseMs: number;
}

/** Runs calls in order of arrival, without priorities. */
export class SlotEngine {
    private readonly running: EngineRun[] = [];
    private readonly waiting: EngineRun[] = [];
    private updatedAtMs = 0;

    /**
     * @param id Name of the engine.
     * @param profile Performance.
     */
    constructor(readonly id: string, readonly profile: SlotEngineProfile) {}

    /** Calls that run. */
    get runningCalls(): number {
        return this.running.length;
    }

    /** Calls that run or wait. */
    get allCalls(): number {
        return this.running.length + this.waiting.length;
    }

    /**
     * Takes a call.
     *
     * @returns A function that ends the call early, or `undefined` when the engine is full.
     */
    start(nowMs: number, call: EngineCall): (() => void) | undefined {
        this.advance(nowMs);
        const { slots, queueLimit: queue, promptTokensPerMs, firstStepMs, speed } = this.profile;
        if (this.running.length + this.waiting.length >= slots + queue) {
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

    /** Time of the next change, in milliseconds; `Infinity` when nothing runs. */
    nextEventMs(): number {
        const reading = this.running.find(run => run.remainingPrefillMs > 0);
        if (reading !== undefined) {
            return this.updatedAtMs + reading.remainingPrefillMs;
        }
        let least = Infinity;
        for (const run of this.running) {
            least = Math.min(least, run.remainingTokens);
        }
        return this.updatedAtMs + least * this.stepMs();
    }

    /** Lets time pass up to a moment, and tells calls what has become of them. */
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
        const reading = this.running.find(run => run.remainingPrefillMs > 0);
        if (reading === undefined) {
            const tokens = durationMs / this.stepMs();
            for (const run of this.running) {
                run.remainingTokens -= tokens;
                run.pauseMs = 0;
            }
            return;
        }
        reading.remainingPrefillMs -= durationMs;
        for (const run of this.running) {
            if (run.remainingPrefillMs <= 0 && run !== reading) {
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
