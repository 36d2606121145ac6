/**
 * Slots that a workspace usually holds at one node.
 *
 * Load: a burst that makes slots short begins before anyone notices. What is held in its first seconds must not become the usual load, or
 * the workspace that caused it would be entitled to more.
 *
 * @module
 */

/** Duration of a sample, in milliseconds. */
export const SAMPLE_MS = 500;

/** Samples that wait until they count; what was held within this time before slots became short is discarded. */
const PENDING_SAMPLES = 4;

/** Time constant of the average, in milliseconds; many times a burst. */
const AVERAGE_MS = 30_000;

/** Factor on the time constant while slots are short: what a workspace holds then says more about the division than about its load. */
const SHORT_FACTOR = 100;

/** Sample of the slots held. */
interface Sample {
    readonly slots: number;
    readonly durationMs: number;
}

/** Exponentially weighted average of the slots held, which begins at 0. */
export class UsualLoad {
    private average = 0;
    private pending: Sample[] = [];
    private heldMs = 0;
    private startedAtMs: number;
    private updatedAtMs: number;

    /** @param nowMs Current time, in milliseconds. */
    constructor(nowMs: number) {
        this.startedAtMs = nowMs;
        this.updatedAtMs = nowMs;
    }

    /** Average, in slots. */
    get slots(): number {
        return this.average;
    }

    /** Records that a number of slots was held until now. */
    recordHeld(slots: number, nowMs: number): void {
        this.heldMs += slots * (nowMs - this.updatedAtMs);
        this.updatedAtMs = nowMs;
    }

    /** Ends a sample; `isShort` states whether slots are short. */
    endSample(isShort: boolean): void {
        const durationMs = this.updatedAtMs - this.startedAtMs;
        if (durationMs <= 0) {
            return;
        }
        const sample = { slots: this.heldMs / durationMs, durationMs };
        this.heldMs = 0;
        this.startedAtMs = this.updatedAtMs;
        if (isShort) {
            this.pending = [];
            this.add(sample, AVERAGE_MS * SHORT_FACTOR);
            return;
        }
        this.pending.push(sample);
        const oldest = this.pending.length > PENDING_SAMPLES ? this.pending.shift() : undefined;
        if (oldest !== undefined) {
            this.add(oldest, AVERAGE_MS);
        }
    }

    private add({ slots, durationMs }: Sample, constantMs: number): void {
        this.average += (slots - this.average) * (1 - Math.exp(-durationMs / constantMs));
    }
}
