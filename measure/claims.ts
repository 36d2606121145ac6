/**
 * Experiment: throughput and added latency of group-committed claims compared with one append per claim, and double dispatches
 * of the dispatch-once strategies.
 *
 * @module
 */

import { Semantics } from "../src/state/mod.js";
import { type ClaimRun, type ClaimRunSettings, ClaimStrategy, runClaims } from "./claim_bench.js";
import type { Experiment, Report, Target } from "./experiment.js";

/** Calls per second of the run-once runs; slightly above the required rate, so that random arrivals reach it. */
const RUN_ONCE_CALLS_PER_SECOND = 2_050;

/** Required claims per second. */
const MIN_CLAIMS_PER_SECOND = 2_000;

/** Highest allowed appends per second. */
const MAX_APPENDS_PER_SECOND = 200;

/** Round trip of the log in the runs over all node counts, in milliseconds. */
const LOG_ROUND_TRIP_MS = 2;

/** Round trip of the log in the run with a slow log, in milliseconds. */
const SLOW_LOG_ROUND_TRIP_MS = 20;

/** Highest allowed added latency beyond two round trips of the log, in milliseconds. */
const MAX_ADDED_LATENCY_MS = 10;

/** Node counts of the run-once runs. */
const NODE_COUNTS = [1, 4, 16];

/** Calls per second at the required scale if every call were a lookup with an idempotency key. */
const LOOKUP_CALLS_PER_SECOND = 4_300;

/** Calls per second of the runs whose keys carry no creation time. */
const UNDATED_CALLS_PER_SECOND = [50, 200, 2_050];

/** Compares group commit with one append per claim, and with a home table for dispatch-once calls. */
export const claimsExperiment: Experiment = {
    name: "claims",
    summary: "throughput and added latency of run-once claims compared with one append per claim, and dispatch-once strategies",
    async run(seed: number): Promise<Report> {
        const naive: Row[] = [];
        const current: Row[] = [];
        for (const nodes of NODE_COUNTS) {
            naive.push(
                await measure({ strategy: ClaimStrategy.AppendEach, nodes, callsPerSecond: RUN_ONCE_CALLS_PER_SECOND, seed }),
            );
            current.push(
                await measure({ strategy: ClaimStrategy.GroupCommit, nodes, callsPerSecond: RUN_ONCE_CALLS_PER_SECOND, seed }),
            );
        }
        const slowLog = await measure({
            strategy: ClaimStrategy.GroupCommit,
            nodes: 16,
            callsPerSecond: RUN_ONCE_CALLS_PER_SECOND,
            seed,
            logCallMs: SLOW_LOG_ROUND_TRIP_MS,
        });
        const undated: Row[] = [];
        for (const callsPerSecond of UNDATED_CALLS_PER_SECOND) {
            undated.push(
                await measure({ strategy: ClaimStrategy.GroupCommit, nodes: 16, callsPerSecond, seed, datedKeys: false }),
            );
        }
        const dispatchOnce = {
            nodes: 16,
            callsPerSecond: LOOKUP_CALLS_PER_SECOND,
            seed,
            semantics: Semantics.DispatchOnce,
            staleNode: true,
        };
        return {
            scenario: "claims",
            seed,
            baseline: {
                "one append for each claim": naive,
                "dispatch once by a home table, one node with a stale view": [
                    await measure({ ...dispatchOnce, strategy: ClaimStrategy.HomeTable }),
                ],
            },
            current: {
                "group commit": current,
                "group commit on a log of 20 ms": [slowLog],
                "keys without a date": undated,
                "dispatch once by claims, one node with a stale view": [
                    await measure({ ...dispatchOnce, strategy: ClaimStrategy.GroupCommit }),
                ],
            },
            targets: [
                ...current.flatMap(row => toTargets(row, LOG_ROUND_TRIP_MS)),
                toLatencyTarget(slowLog, SLOW_LOG_ROUND_TRIP_MS),
            ],
        };
    },
};

/** Row of the report: results of one run with its settings. */
type Row = ClaimRun & Readonly<Pick<ClaimRunSettings, "nodes" | "callsPerSecond">> & Readonly<Record<string, number>>;

async function measure(settings: ClaimRunSettings): Promise<Row> {
    const { nodes, callsPerSecond } = settings;
    return { nodes, callsPerSecond, ...await runClaims(settings) };
}

function toTargets(row: Row, logCallMs: number): readonly Target[] {
    return [
        {
            name: `claims per second, ${row.nodes} nodes`,
            measured: row.claimsPerSecond,
            comparison: "at least",
            bound: MIN_CLAIMS_PER_SECOND,
        },
        {
            name: `appends per second, ${row.nodes} nodes`,
            measured: row.appendsPerSecond,
            comparison: "at most",
            bound: MAX_APPENDS_PER_SECOND,
        },
        { name: `keys dispatched twice, ${row.nodes} nodes`, measured: row.doubled, comparison: "at most", bound: 0 },
        toLatencyTarget(row, logCallMs),
    ];
}

function toLatencyTarget(row: Row, logCallMs: number): Target {
    return {
        name: `p99 added ms, ${row.nodes} nodes, log of ${logCallMs} ms`,
        measured: row.p99Ms,
        comparison: "at most",
        bound: 2 * logCallMs + MAX_ADDED_LATENCY_MS,
    };
}
