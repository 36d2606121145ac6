/**
 * Background tasks that go on after an error.
 *
 * @module
 */

import type { Clock } from "../../state/relay/mod.js";

/** Time after an error until a task is started again, in milliseconds; a task that fails at each start takes little processor time. */
const RESTART_DELAY_MS = 200;

/** Task that runs until its signal is aborted. */
export interface BackgroundTask {
    readonly name: string;
    readonly run: (signal: AbortSignal) => Promise<void>;
}

/** Settings of {@linkcode runTask}. */
export interface BackgroundTaskSettings {
    readonly clock: Clock;
    readonly signal: AbortSignal;
    /** Called with the name of the task and each of its errors. */
    readonly onError: (task: string, error: unknown) => void;
}

/** Runs a task, and starts it again after each error, until the signal is aborted. The returned promise does not reject. */
export async function runTask({ name, run }: BackgroundTask, settings: BackgroundTaskSettings): Promise<void> {
    const { clock, signal, onError } = settings;
    do {
        try {
            await run(signal);
            return;
        }
        catch (error) {
            onError(name, error);
        }
    }
    while (await clock.sleep(RESTART_DELAY_MS, signal));
}
