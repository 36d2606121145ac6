/**
 * Experiment: rate and added latency of claims against appends, and ways of dispatching a key once over all nodes.
 *
 * @module
 */

import { Semantics } from "../src/state/mod.js";
import { type ClaimRun, type ClaimRunSettings, ClaimStrategy, runClaims } from "./claim_bench.js";
import type { Experiment, Report, Target } from "./experiment.js";

/** Calls a second of the run-once runs; the stated rate and a little more, so that a random run reaches it. */
const RUN_ONCE_CALLS_PER_SECOND = 2_050;

/** Stated rate of claims, in a second. */
const MIN_CLAIMS_PER_SECOND = 2_000;

/** Stated limit of appends, in a second. */
const MAX_APPENDS_PER_SECOND = 200;

/** Round trip of the log in the runs with a target, in milliseconds. */
const LOG_ROUND_TRIP_MS = 2;

/** Round trip of a slower log, in milliseconds. */
const SLOW_LOG_ROUND_TRIP_MS = 20;

/** Stated limit of the added latency beyond two round trips of the log, in milliseconds. */
const MAX_ADDED_LATENCY_MS = 10;

/** Numbers of nodes. */
const NODE_COUNTS = [1, 4, 16];

/** Calls a second at the letter's size, if each were a lookup with a key. */
const LOOKUP_CALLS_PER_SECOND = 4_300;

/** Rates of calls whose keys carry no date, in a second. */
const UNDATED_CALLS_PER_SECOND = [50, 200, 2_050];

/** Measures claims against appends. */
export const claimsExperiment: Experiment = {
    name: "claims",
    summary: "run-once claims and added latency against appends, and ways of dispatching once over nodes",
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
        const once = {
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
                    await measure({ ...once, strategy: ClaimStrategy.HomeTable }),
                ],
            },
            current: {
                "group commit": current,
                "group commit on a log of 20 ms": [slowLog],
                "keys without a date": undated,
                "dispatch once by claims, one node with a stale view": [
                    await measure({ ...once, strategy: ClaimStrategy.GroupCommit }),
                ],
            },
            targets: [
                ...current.flatMap(row => toTargets(row, LOG_ROUND_TRIP_MS)),
                toLatencyTarget(slowLog, SLOW_LOG_ROUND_TRIP_MS),
            ],
        };
    },
};

/** Figures of one run with its settings. */
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
