/**
 * Clock that simulates a paused process.
 *
 * @module
 */

import type { Clock } from "../src/state/mod.js";

/** Clock whose sleeps do not resolve while the process is paused; time still advances. */
export class PausableClock implements Clock {
    private resumed: Promise<void> | undefined;
    private resumeAll: () => void = () => undefined;

    /** @param clock Underlying clock, which is not paused. */
    constructor(private readonly clock: Clock) {}

    now(): number {
        return this.clock.now();
    }

    async sleep(durationMs: number, signal?: AbortSignal): Promise<boolean> {
        const elapsed = await this.clock.sleep(durationMs, signal);
        await this.awaitRunning();
        return elapsed;
    }

    /** Pauses the process. */
    pause(): void {
        this.resumed ??= new Promise(resolve => {
            this.resumeAll = resolve;
        });
    }

    /** Resumes the process. */
    resume(): void {
        this.resumed = undefined;
        this.resumeAll();
    }

    /** Waits until the process is not paused. */
    async awaitRunning(): Promise<void> {
        while (this.resumed !== undefined) {
            await this.resumed;
        }
    }
}
