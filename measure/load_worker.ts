/**
 * Closed-loop load generator that runs in worker threads.
 *
 * @module
 */

import { build, type Histogram } from "hdr-histogram-js";
import { fileURLToPath } from "node:url";
import { isMainThread, parentPort, Worker, workerData } from "node:worker_threads";
import { Pool } from "undici";

/** Highest latency that the histogram tracks, in microseconds. */
const MAX_LATENCY_US = 60_000_000;

/** Call that the load generator sends repeatedly. */
export interface LoadCall {
    readonly address: string;
    readonly method: "GET" | "POST";
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body?: string;
}

/** Settings of one load run. */
export interface LoadSettings {
    readonly call: LoadCall;
    /** Concurrent connections of each thread. */
    readonly connections: number;
    readonly durationMs: number;
}

/** Result of one load run. */
export interface LoadResult {
    readonly calls: number;
    readonly failures: number;
    readonly elapsedMs: number;
    readonly p50Ms: number;
    readonly p99Ms: number;
}

/** Result of one thread. */
interface ThreadResult {
    readonly failures: number;
    readonly latenciesUs: Uint32Array;
}

/**
 * Sends one call repeatedly from several threads.
 *
 * @param settings Call, connections for each thread and duration.
 * @param threads Number of threads.
 */
export async function runLoad(settings: LoadSettings, threads: number): Promise<LoadResult> {
    const startMs = performance.now();
    const results = await Promise.all(Array.from({ length: threads }, () => runInThread(settings)));
    const elapsedMs = performance.now() - startMs;
    const histogram = newHistogram();
    for (const latencyUs of results.flatMap(result => [...result.latenciesUs])) {
        histogram.recordValue(latencyUs);
    }
    return {
        calls: histogram.totalCount,
        failures: results.reduce((sum, result) => sum + result.failures, 0),
        elapsedMs: Math.min(elapsedMs, settings.durationMs),
        p50Ms: histogram.getValueAtPercentile(50) / 1_000,
        p99Ms: histogram.getValueAtPercentile(99) / 1_000,
    };
}

/** Creates a histogram of latencies in microseconds. */
export function newHistogram(): Histogram {
    return build({ lowestDiscernibleValue: 1, highestTrackableValue: MAX_LATENCY_US, numberOfSignificantValueDigits: 3 });
}

function runInThread(settings: LoadSettings): Promise<ThreadResult> {
    return new Promise((resolve, reject) => {
        const worker = new Worker(fileURLToPath(import.meta.url), { workerData: settings });
        worker.once("message", resolve);
        worker.once("error", reject);
    });
}

async function runClosedLoop({ call, connections, durationMs }: LoadSettings): Promise<ThreadResult> {
    const pool = new Pool(`http://${call.address}`, { connections });
    const endAtMs = performance.now() + durationMs;
    const latenciesUs: number[] = [];
    let failures = 0;
    const sendUntilEnd = async () => {
        while (performance.now() < endAtMs) {
            const startMs = performance.now();
            try {
                const response = await pool.request({
                    method: call.method,
                    path: call.path,
                    headers: call.headers,
                    body: call.body,
                });
                await response.body.arrayBuffer();
                failures += response.statusCode === 200 ? 0 : 1;
            }
            catch {
                failures += 1;
            }
            latenciesUs.push(Math.max(1, Math.round((performance.now() - startMs) * 1_000)));
        }
    };
    await Promise.all(Array.from({ length: connections }, sendUntilEnd));
    await pool.close();
    return { failures, latenciesUs: Uint32Array.from(latenciesUs) };
}

if (!isMainThread) {
    parentPort?.postMessage(await runClosedLoop(workerData as LoadSettings));
}
