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
    readonly queue: number;
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
    readonly onFirst: () => void;
    /** Told when the last token is there, with the longest time for which the stream stood still, in milliseconds. */
    readonly onEnd: (longestPauseMs: number) => void;
}

/** Call that runs or waits. */
interface EngineRun {
    readonly call: EngineCall;
    promptLeftMs: number;
    tokensLeft: number;
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
        const { slots, queue, promptTokensPerMs, firstStepMs, speed } = this.profile;
        if (this.running.length + this.waiting.length >= slots + queue) {
            return undefined;
        }
        const run: EngineRun = {
            call,
            promptLeftMs: (firstStepMs + call.promptTokens / promptTokensPerMs) / speed,
            tokensLeft: call.outputTokens,
            pauseMs: 0,
            longestPauseMs: 0,
        };
        this.waiting.push(run);
        this.admit();
        return () => this.remove(run);
    }

    /** Time of the next change, in milliseconds; `Infinity` when nothing runs. */
    nextChangeMs(): number {
        const reading = this.running.find(run => run.promptLeftMs > 0);
        if (reading !== undefined) {
            return this.updatedAtMs + reading.promptLeftMs;
        }
        let least = Infinity;
        for (const run of this.running) {
            least = Math.min(least, run.tokensLeft);
        }
        return this.updatedAtMs + least * this.stepMs();
    }

    /** Lets time pass up to a moment, and tells calls what has become of them. */
    advance(nowMs: number): void {
        for (let nextMs = this.nextChangeMs(); nextMs <= nowMs; nextMs = this.nextChangeMs()) {
            this.pass(nextMs - this.updatedAtMs);
            this.updatedAtMs = nextMs;
            this.finishDue();
        }
        this.pass(nowMs - this.updatedAtMs);
        this.updatedAtMs = nowMs;
    }

    private stepMs(): number {
        const { stepMs, stepPerStreamMs, speed } = this.profile;
        return (stepMs + stepPerStreamMs * this.running.length) / speed;
    }

    private pass(durationMs: number): void {
        const reading = this.running.find(run => run.promptLeftMs > 0);
        if (reading === undefined) {
            const tokens = durationMs / this.stepMs();
            for (const run of this.running) {
                run.tokensLeft -= tokens;
                run.pauseMs = 0;
            }
            return;
        }
        reading.promptLeftMs -= durationMs;
        for (const run of this.running) {
            if (run.promptLeftMs <= 0 && run !== reading) {
                run.pauseMs += durationMs;
                run.longestPauseMs = Math.max(run.longestPauseMs, run.pauseMs);
            }
        }
    }

    private finishDue(): void {
        const tolerance = 1e-6;
        for (const run of [...this.running]) {
            if (run.promptLeftMs !== 0 && Math.abs(run.promptLeftMs) < tolerance) {
                run.promptLeftMs = 0;
                run.call.onFirst();
            }
            else if (run.promptLeftMs <= 0 && run.tokensLeft < tolerance) {
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
