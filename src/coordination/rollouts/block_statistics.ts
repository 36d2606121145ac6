/**
 * What one block of time says on a version: log-likelihood ratios by view and metric.
 *
 * @module
 */

import { type EvidenceBlock, FIRST_LOADED_BAND, LOAD_BAND_COUNT, type StratumEvidence } from "./evidence_slice.js";
import { BUCKET_COUNT, countAbove, quantileBucket } from "./latency_histogram.js";
import { type ContingencyTable, logLikelihoodRatio, type OddsPair } from "./sequential_test.js";

/** Buckets by which the candidate may be slower; one is a factor of 1.1. */
const TOLERATED_SLOWDOWN_BUCKETS = 2;

/** Latencies of the control for each one of the candidate from which no other load band is looked at. */
const MIN_CONTROL_RATIO = 4;

/** Shares of both versions' attempts above which a latency counts as slow. */
const SLOW_QUANTILES = [0.5, 0.9];

/** Odds ratios for failed attempts. */
const FAILURE_ODDS: readonly OddsPair[] = [{ tolerated: 1.5, bad: 4 }, { tolerated: 1.5, bad: 20 }];

/** Odds ratios for slow attempts. */
const SLOW_ODDS: readonly OddsPair[] = [{ tolerated: 1.5, bad: 4 }, { tolerated: 1.5, bad: 12 }];

/** Place at which the ratios of each metric begin; each metric has one for each pair of odds. */
const FAILURE_INDEX = 0;
const FIRST_TOKEN_INDEX = FAILURE_INDEX + FAILURE_ODDS.length;
const GAP_INDEX = FIRST_TOKEN_INDEX + SLOW_QUANTILES.length * SLOW_ODDS.length;

/** Log-likelihood ratios that each view has. */
export const RATIO_COUNT = GAP_INDEX + SLOW_QUANTILES.length * SLOW_ODDS.length;

/** Metric that a log-likelihood ratio is about. */
export enum Metric {
    Failures = "failures",
    FirstToken = "first token",
    Gap = "gap between tokens",
}

/** Part of the traffic that is looked at on its own: an operation, an engine class, both, all, or all on loaded servers. */
export interface TrafficView {
    readonly operation: string | undefined;
    readonly engineClass: string | undefined;
    /** Whether only latencies at loaded backend servers are looked at, so that good times at little load do not hide a fault. */
    readonly underLoad: boolean;
}

/** Ratios and counts of one view in one block. */
export interface ViewStatistics {
    readonly view: TrafficView;
    /** Attempts on the candidate. */
    attempts: number;
    /** Attempts on both versions. */
    total: number;
    readonly ratios: Float64Array;
}

/** Returns the name of a view, by which views are told apart. */
export function viewName(view: TrafficView): string {
    const operation = view.operation === undefined ? "all operations" : `operation ${view.operation}`;
    const engineClass = view.engineClass === undefined ? "all engine classes" : `engine class ${view.engineClass}`;
    return `${operation}, ${engineClass}${view.underLoad ? ", under load" : ""}`;
}

/** Returns the metric that the ratio at a place is about. */
export function metricOfRatio(ratioIndex: number): Metric {
    if (ratioIndex < FIRST_TOKEN_INDEX) {
        return Metric.Failures;
    }
    return ratioIndex < GAP_INDEX ? Metric.FirstToken : Metric.Gap;
}

/**
 * Computes the statistics of a block; the ratios of a view are the sums of those of its strata.
 *
 * @param block Merged evidence.
 * @returns Statistics by the view's name.
 */
export function computeStatistics(block: EvidenceBlock): ReadonlyMap<string, ViewStatistics> {
    const views = new Map<string, ViewStatistics>();
    for (const stratum of block.allStrata) {
        const ratios = computeRatios(stratum, 0);
        const loadedRatios = computeRatios(stratum, FIRST_LOADED_BAND);
        for (const view of viewsOf(stratum)) {
            const name = viewName(view);
            let statistics = views.get(name);
            if (statistics === undefined) {
                statistics = { view, attempts: 0, total: 0, ratios: new Float64Array(RATIO_COUNT) };
                views.set(name, statistics);
            }
            statistics.attempts += stratum.candidate.count;
            statistics.total += stratum.candidate.count + stratum.control.count;
            for (let place = 0; place < RATIO_COUNT; place++) {
                statistics.ratios[place] += (view.underLoad ? loadedRatios : ratios)[place];
            }
        }
    }
    return views;
}

function viewsOf({ operation, engineClass }: StratumEvidence): readonly TrafficView[] {
    return [
        { operation, engineClass, underLoad: false },
        { operation, engineClass: undefined, underLoad: false },
        { operation: undefined, engineClass, underLoad: false },
        { operation: undefined, engineClass: undefined, underLoad: false },
        { operation: undefined, engineClass: undefined, underLoad: true },
    ];
}

function computeRatios({ candidate, control }: StratumEvidence, firstBand: number): Float64Array {
    const ratios = new Float64Array(RATIO_COUNT);
    if (candidate.count === 0 || control.count === 0) {
        return ratios;
    }
    // A version that fails only under load is not excused by that load, so failures are not divided by load band.
    const failures: ContingencyTable = {
        candidateCount: candidate.count,
        candidateBad: candidate.failed,
        controlCount: control.count,
        controlBad: control.failed,
    };
    if (firstBand === 0) {
        addRatios(ratios, FAILURE_INDEX, failures, FAILURE_ODDS);
    }
    for (let band = firstBand; band < LOAD_BAND_COUNT; band++) {
        addLatencyRatios(ratios, FIRST_TOKEN_INDEX, chooseComparison(candidate.firstToken, control.firstToken, band));
        addLatencyRatios(ratios, GAP_INDEX, chooseComparison(candidate.gap, control.gap, band));
    }
    return ratios;
}

/** Latencies that are compared. */
interface Comparison {
    readonly candidate: Uint32Array;
    readonly control: Uint32Array;
}

/**
 * Chooses what the candidate's latencies in a load band are compared with.
 *
 * While the candidate has few calls its backend servers are less loaded than the control's, so that the same band may hold no
 * control at all; at less load a good candidate is at least as fast as the control, since load lengthens latencies by no less than
 * was adjusted for. At more load no comparison is made.
 */
function chooseComparison(candidate: readonly Uint32Array[], control: readonly Uint32Array[], band: number): Comparison {
    const same = { candidate: candidate[band], control: control[band] };
    if (sum(control[band]) >= MIN_CONTROL_RATIO * sum(candidate[band])) {
        return same;
    }
    const more = new Uint32Array(BUCKET_COUNT);
    for (const counts of control.slice(band + 1)) {
        for (let bucket = 0; bucket < BUCKET_COUNT; bucket++) {
            more[bucket] += counts[bucket];
        }
    }
    return sum(more) > sum(control[band]) ?
        { candidate: candidate[band], control: more } :
        same;
}

function addLatencyRatios(ratios: Float64Array, firstPlace: number, { candidate, control }: Comparison): void {
    const candidateCount = sum(candidate);
    const controlCount = sum(control);
    if (candidateCount === 0 || controlCount === 0) {
        return;
    }
    const pooled = poolHistograms(candidate, control);
    let place = firstPlace;
    for (const share of SLOW_QUANTILES) {
        const bound = quantileBucket(pooled, candidateCount + controlCount, share);
        const table: ContingencyTable = {
            candidateCount,
            candidateBad: countAbove(candidate, bound + TOLERATED_SLOWDOWN_BUCKETS),
            controlCount,
            controlBad: countAbove(control, bound),
        };
        addRatios(ratios, place, table, SLOW_ODDS);
        place += SLOW_ODDS.length;
    }
}

/** Adds both histograms after the candidate's was made faster by what is tolerated. */
function poolHistograms(candidate: Uint32Array, control: Uint32Array): Uint32Array {
    const pooled = Uint32Array.from(control);
    for (let bucket = 0; bucket < BUCKET_COUNT; bucket++) {
        pooled[Math.max(0, bucket - TOLERATED_SLOWDOWN_BUCKETS)] += candidate[bucket];
    }
    return pooled;
}

function addRatios(ratios: Float64Array, firstPlace: number, table: ContingencyTable, odds: readonly OddsPair[]): void {
    for (const [index, pair] of odds.entries()) {
        ratios[firstPlace + index] += logLikelihoodRatio(table, pair);
    }
}

function sum(counts: Uint32Array): number {
    let total = 0;
    for (const count of counts) {
        total += count;
    }
    return total;
}
