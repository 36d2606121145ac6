/**
 * Worker thread that simulates rollouts, and the pool that distributes the cases over such threads.
 *
 * @module
 */

import { isMainThread, parentPort, Worker, workerData } from "node:worker_threads";
import { runCurrent, runNaive, type RunResult } from "./rollout_run.js";
import type { RolloutCase } from "./rollout_traffic.js";

/** Number of worker threads that run at the same time. */
const THREAD_COUNT = 4;

/** Results of the current and the naive strategy for one case. */
export interface ComparedRuns {
    readonly current: RunResult;
    readonly naive: RunResult;
}

/** Runs the cases on worker threads; the results are in the order of the cases. */
export async function runCases(cases: readonly RolloutCase[]): Promise<readonly ComparedRuns[]> {
    const results: ComparedRuns[] = [];
    let nextIndex = 0;
    const runNextCases = async () => {
        while (nextIndex < cases.length) {
            const index = nextIndex;
            nextIndex += 1;
            results[index] = await runInThread(cases[index]);
        }
    };
    await Promise.all(Array.from({ length: THREAD_COUNT }, runNextCases));
    return results;
}

function runInThread(rolloutCase: RolloutCase): Promise<ComparedRuns> {
    return new Promise((resolve, reject) => {
        const worker = new Worker(new URL(import.meta.url), { workerData: rolloutCase });
        worker.once("message", resolve);
        worker.once("error", reject);
    });
}

if (!isMainThread) {
    const rolloutCase = workerData as RolloutCase;
    const results: ComparedRuns = { current: await runCurrent(rolloutCase), naive: await runNaive(rolloutCase) };
    parentPort?.postMessage(results);
}
