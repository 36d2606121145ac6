/**
 * Thread that runs some of the experiment's rollouts.
 *
 * @module
 */

import { isMainThread, parentPort, Worker, workerData } from "node:worker_threads";
import { runCurrent, runNaive, type RunResult } from "./rollout_run.js";
import type { RolloutCase } from "./rollout_traffic.js";

/** Threads that run at the same time. */
const THREAD_COUNT = 4;

/** Results of both contenders. */
export interface ComparedRuns {
    readonly current: RunResult;
    readonly naive: RunResult;
}

/** Runs cases, spread over threads; results come in the order of the cases. */
export async function runCases(cases: readonly RolloutCase[]): Promise<readonly ComparedRuns[]> {
    const results: ComparedRuns[] = [];
    let next = 0;
    const runLane = async () => {
        while (next < cases.length) {
            const index = next;
            next += 1;
            results[index] = await runInThread(cases[index]);
        }
    };
    await Promise.all(Array.from({ length: THREAD_COUNT }, runLane));
    return results;
}

function runInThread(tried: RolloutCase): Promise<ComparedRuns> {
    return new Promise((resolve, reject) => {
        const worker = new Worker(new URL(import.meta.url), { workerData: tried });
        worker.once("message", resolve);
        worker.once("error", reject);
    });
}

if (!isMainThread) {
    const tried = workerData as RolloutCase;
    const results: ComparedRuns = { current: await runCurrent(tried), naive: await runNaive(tried) };
    parentPort?.postMessage(results);
}
