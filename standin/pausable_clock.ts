/**
 * Clock of one process that can be paused.
 *
 * @module
 */

import type { Clock } from "../src/state/mod.js";

/** Clock whose waits do not end while the process is paused; time goes on. */
export class PausableClock implements Clock {
    private resumed: Promise<void> | undefined;
    private resumeAll: () => void = () => undefined;

    /** @param clock Clock of the machine. */
    constructor(private readonly clock: Clock) {}

    now(): number {
        return this.clock.now();
    }

    async sleep(durationMs: number, signal?: AbortSignal): Promise<boolean> {
        const whole = await this.clock.sleep(durationMs, signal);
        await this.awaitRunning();
        return whole;
    }

    /** Pauses the process. */
    pause(): void {
        this.resumed ??= new Promise(resolve => {
            this.resumeAll = resolve;
        });
    }

    /** Lets the process go on. */
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
