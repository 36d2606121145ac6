/**
 * Time as the parts of the system see it.
 *
 * @module
 */

/** Source of time that is passed to every part, so that tests can replace it. */
export interface Clock {
    /** Returns the time in milliseconds since the Unix epoch. Never goes backwards within a process. */
    now(): number;

    /**
     * Waits for a duration.
     *
     * @param durationMs Time to wait, in milliseconds.
     * @param signal Ends the wait early when aborted.
     * @returns `true` after the whole duration, `false` when the signal ended the wait.
     */
    sleep(durationMs: number, signal?: AbortSignal): Promise<boolean>;
}

/** Clock of the machine, made monotonic by counting from the process's start. */
export class SystemClock implements Clock {
    now(): number {
        return performance.timeOrigin + performance.now();
    }

    sleep(durationMs: number, signal?: AbortSignal): Promise<boolean> {
        if (signal?.aborted) {
            return Promise.resolve(false);
        }
        return new Promise(resolve => {
            const onAbort = () => {
                clearTimeout(timer);
                resolve(false);
            };
            const timer = setTimeout(() => {
                signal?.removeEventListener("abort", onAbort);
                resolve(true);
            }, durationMs);
            signal?.addEventListener("abort", onAbort, { once: true });
        });
    }
}
