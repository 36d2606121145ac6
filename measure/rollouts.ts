/**
 * Experiment `rollouts`: rollouts of good and bad versions under traffic bursts and a platform slowdown.
 *
 * The nodes run the real rollout code; traffic is synthetic and enters at the interface where attempts are observed.
 *
 * @module
 */

import { SeededRandom } from "../src/state/mod.js";
import type { Experiment, Figures, Report, Target } from "./experiment.js";
import { isBad, type RunResult } from "./rollout_run.js";
import { ENGINE_CLASSES, OPERATIONS, type RolloutCase, SLOWDOWN_DURATION_MS, VersionFault } from "./rollout_traffic.js";
import { runCases } from "./rollout_worker.js";

/** Number of rollouts to good versions, and to bad versions of each {@linkcode VersionFault}. */
const GOOD_COUNT = 24;
const BAD_COUNT_PER_FAULT = 4;

/** Time from the start of a rollout to its deadline, in milliseconds. */
const ROLLOUT_DURATION_MS = 480_000;

/** Calls per second with normal and with low traffic. */
const CALLS_PER_SECOND = 60;
const LOW_CALLS_PER_SECOND = 1;

/** One in this many good rollouts has low traffic. */
const LOW_TRAFFIC_EVERY = 6;

/** Traffic bursts of each rollout. */
const BURST_COUNT = 5;

/** Time over which the bursts are distributed, as a multiple of the time to the deadline. */
const BURST_SPREAD_FACTOR = 1.3;

/** Earliest start of a delayed fault, and range that its start is drawn from, as fractions of the time to the deadline. */
const EARLIEST_FAULT_FRACTION = 0.3;
const FAULT_SPREAD_FRACTION = 0.9;

/** Targets: traffic share of a version that is bad from the start, and fraction of good versions that are rolled back. */
const MAX_IMMEDIATE_FAULT_SHARE = 0.05;
const MAX_FALSE_ROLLBACK_SHARE = 0.01;

/** Compares the rollout decisions with those of a linear ramp with an error threshold. */
export const rolloutExperiment: Experiment = {
    name: "rollouts",
    summary: "good versions completed in time and bad ones rolled back, compared with a linear ramp with an error threshold",
    async run(seed: number): Promise<Report> {
        const cases = makeCases(seed);
        const results = await runCases(cases);
        const current = results.map(result => result.current);
        const naive = results.map(result => result.naive);
        return {
            scenario: "rollouts",
            seed,
            baseline: toFigures(naive),
            current: toFigures(current),
            targets: listTargets(current),
        };
    },
};

function makeCases(seed: number): readonly RolloutCase[] {
    const random = new SeededRandom(seed);
    const cases: RolloutCase[] = [];
    for (const fault of Object.values(VersionFault)) {
        const count = fault === VersionFault.None ? GOOD_COUNT : BAD_COUNT_PER_FAULT;
        for (let index = 0; index < count; index++) {
            cases.push(makeCase(fault, index, seed * 10_000 + 2 * cases.length * 10 + index % 2, random));
        }
    }
    return cases;
}

function makeCase(fault: VersionFault, index: number, seed: number, random: SeededRandom): RolloutCase {
    const hasLowTraffic = fault === VersionFault.None && index % LOW_TRAFFIC_EVERY === LOW_TRAFFIC_EVERY - 1;
    return {
        seed,
        fault,
        durationMs: ROLLOUT_DURATION_MS,
        faultAtMs: ROLLOUT_DURATION_MS * (EARLIEST_FAULT_FRACTION + FAULT_SPREAD_FRACTION * random.next()),
        callsPerSecond: hasLowTraffic ? LOW_CALLS_PER_SECOND : CALLS_PER_SECOND,
        burstsAtMs: Array.from({ length: BURST_COUNT }, () => random.next() * ROLLOUT_DURATION_MS * BURST_SPREAD_FACTOR),
        slowdownAtMs: index % 2 === 0 ? random.next() * ROLLOUT_DURATION_MS : undefined,
        faultyOperation: OPERATIONS[random.nextInt(OPERATIONS.length)].name,
        faultyClass: ENGINE_CLASSES[random.nextInt(ENGINE_CLASSES.length)].name,
        domainIsolatedFromLog: fault === VersionFault.Delayed && index % 2 === 1,
    };
}

function toFigures(results: readonly RunResult[]): Figures {
    const good = results.filter(result => !isBad(result.rolloutCase));
    const bad = results.filter(result => isBad(result.rolloutCase));
    const falseRollbacks = good.filter(result => result.rolledBackAtMs !== undefined);
    return {
        "good versions": good.length,
        "good done in time": good.filter(isDoneInTime).length,
        "good done in time on thin evidence (not counted as good)": good.filter(isDoneInTime).filter(hasThinEvidence).length,
        "wrong rollbacks": falseRollbacks.length,
        "wrong rollbacks in the platform slowdown": falseRollbacks.filter(isInSlowdown).length,
        "bad versions": bad.length,
        "bad rolled back": bad.filter(result => result.rolledBackAtMs !== undefined).length,
        "evidence received, bytes/s a node, mean": mean(results.map(result => result.evidenceBytesPerSecond)),
        "evidence received, bytes/s a node, highest": Math.max(...results.map(result => result.evidenceBytesPerSecond)),
        "bad versions by fault": bad.map(toBadRow),
        "good versions taken back or late": good.filter(result => !isDoneInTime(result)).map(toGoodRow),
        "thin evidence": good.filter(hasThinEvidence).map(result => ({ seed: result.rolloutCase.seed, evidence: result.reason })),
    };
}

function toGoodRow(result: RunResult): Readonly<Record<string, number | string>> {
    return {
        seed: result.rolloutCase.seed,
        "slowdown at, s": seconds(result.rolloutCase.slowdownAtMs),
        "taken back at, s": seconds(result.rolledBackAtMs),
        "done at, s": seconds(result.doneAtMs),
        reason: result.reason,
    };
}

function toBadRow(result: RunResult): Readonly<Record<string, number | string>> {
    const { faultAtMs, detectableAtMs, rolledBackAtMs, lastNewCallAtMs } = result;
    return {
        seed: result.rolloutCase.seed,
        fault: result.rolloutCase.fault,
        "log cut": result.rolloutCase.domainIsolatedFromLog ? "one domain" : "-",
        "share at fault, %": percent(result.shareAtFault),
        "highest share, %": percent(result.maxShare),
        "fault at, s": seconds(faultAtMs),
        "shown after, s": seconds(difference(detectableAtMs, faultAtMs)),
        "no traffic after, s": rolledBackAtMs === undefined ? "never" : seconds(difference(lastNewCallAtMs, faultAtMs)),
        "calls later than 3 s": result.lateCalls,
    };
}

function listTargets(results: readonly RunResult[]): readonly Target[] {
    const good = results.filter(result => !isBad(result.rolloutCase));
    const bad = results.filter(result => isBad(result.rolloutCase));
    const falseRollbacks = good.filter(result => result.rolledBackAtMs !== undefined);
    const immediateFaults = bad.filter(({ rolloutCase: { fault } }) =>
        fault !== VersionFault.Delayed && fault !== VersionFault.UnderLoad
    );
    const laterFaults = bad.filter(result => !immediateFaults.includes(result));
    return [
        atLeast(
            "good done in time on evidence that tells, share",
            good.filter(isDoneOnSufficientEvidence).length / good.length,
            1,
        ),
        atLeast("bad rolled back, share", bad.filter(result => result.rolledBackAtMs !== undefined).length / bad.length, 1),
        atMost(
            "highest share of one bad from the start, on one route or class",
            findMaxShare(immediateFaults),
            MAX_IMMEDIATE_FAULT_SHARE,
        ),
        atMost("calls later than 3 s after a later fault shows", sum(laterFaults.map(result => result.lateCalls)), 0),
        atMost("wrong rollbacks, share", falseRollbacks.length / good.length, MAX_FALSE_ROLLBACK_SHARE),
        atMost("wrong rollbacks in the platform slowdown", falseRollbacks.filter(isInSlowdown).length, 0),
    ];
}

function isDoneInTime(result: RunResult): boolean {
    return result.rolledBackAtMs === undefined && result.doneAtMs !== undefined &&
        result.doneAtMs <= result.rolloutCase.durationMs;
}

/** Returns whether a rollout was completed in time and on sufficient evidence. */
function isDoneOnSufficientEvidence(result: RunResult): boolean {
    return isDoneInTime(result) && !hasThinEvidence(result);
}

function hasThinEvidence(result: RunResult): boolean {
    return result.reason.includes("too thin");
}

function isInSlowdown({ rolloutCase: { slowdownAtMs }, rolledBackAtMs = Infinity }: RunResult): boolean {
    return slowdownAtMs !== undefined && rolledBackAtMs >= slowdownAtMs && rolledBackAtMs <= slowdownAtMs + SLOWDOWN_DURATION_MS;
}

function findMaxShare(results: readonly RunResult[]): number {
    return Math.max(...results.map(result => result.maxShare));
}

function sum(values: readonly number[]): number {
    return values.reduce((total, value) => total + value, 0);
}

function mean(values: readonly number[]): number {
    return sum(values) / values.length;
}

function difference(later: number | undefined, earlier: number | undefined): number | undefined {
    return later === undefined || earlier === undefined ? undefined : later - earlier;
}

function seconds(durationMs: number | undefined): number | string {
    return durationMs === undefined ? "-" : Math.round(durationMs / 100) / 10;
}

function percent(share: number): number {
    return Math.round(share * 1_000) / 10;
}

function atLeast(name: string, measured: number, bound: number): Target {
    return { name, measured, comparison: "at least", bound };
}

function atMost(name: string, measured: number, bound: number): Target {
    return { name, measured, comparison: "at most", bound };
}
