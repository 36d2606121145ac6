/**
 * Statistics of one block of evidence: log-likelihood ratios by traffic view and metric.
 *
 * @module
 */

import { type EvidenceBlock, FIRST_LOADED_BAND, LOAD_BAND_COUNT, type StratumEvidence } from "./evidence_slice.js";
import { BUCKET_COUNT, countAbove, quantileBucket } from "./latency_histogram.js";
import { type ContingencyTable, logLikelihoodRatio, type OddsPair } from "./sequential_test.js";

/** Tolerated slowdown of the candidate, in histogram buckets; one bucket is a factor of 1.1. */
const TOLERATED_SLOWDOWN_BUCKETS = 2;

/** Ratio of control to candidate latencies in a load band from which no other bands are used for the comparison. */
const MIN_CONTROL_RATIO = 4;

/** Quantiles of the latencies of both versions above which a latency counts as slow. */
const SLOW_QUANTILES = [0.5, 0.9];

/** Odds ratios of failure that are compared; each pair has a log-likelihood ratio of its own. */
const FAILURE_ODDS: readonly OddsPair[] = [{ tolerated: 1.5, bad: 4 }, { tolerated: 1.5, bad: 20 }];

/** Odds ratios of slow latencies that are compared. */
const SLOW_ODDS: readonly OddsPair[] = [{ tolerated: 1.5, bad: 4 }, { tolerated: 1.5, bad: 12 }];

/** Index of each metric's first ratio; a metric has one ratio for each pair of odds, and a latency one for each quantile too. */
const FAILURE_INDEX = 0;
const FIRST_TOKEN_INDEX = FAILURE_INDEX + FAILURE_ODDS.length;
const GAP_INDEX = FIRST_TOKEN_INDEX + SLOW_QUANTILES.length * SLOW_ODDS.length;

/** Number of log-likelihood ratios of a view. */
export const RATIO_COUNT = GAP_INDEX + SLOW_QUANTILES.length * SLOW_ODDS.length;

/** Metric that a log-likelihood ratio compares. */
export enum Metric {
    Failures = "failures",
    FirstToken = "first token",
    Gap = "gap between tokens",
}

/** Part of the traffic that is tested on its own: an operation, an engine class, both, all traffic, or all on loaded servers. */
export interface TrafficView {
    readonly operation: string | undefined;
    readonly engineClass: string | undefined;
    /** Whether only latencies at loaded backend servers count, so that short latencies at low load do not mask a regression. */
    readonly underLoad: boolean;
}

/** Attempt counts and log-likelihood ratios of one view in one block. */
export interface ViewStatistics {
    readonly view: TrafficView;
    /** Attempts on the candidate. */
    attempts: number;
    /** Attempts on both versions. */
    total: number;
    /** Failed attempts on the candidate, and on both versions. */
    failed: number;
    totalFailed: number;
    readonly ratios: Float64Array;
}

/** Returns the unique name of a view. */
export function viewName(view: TrafficView): string {
    const operation = view.operation === undefined ? "all operations" : `operation ${view.operation}`;
    const engineClass = view.engineClass === undefined ? "all engine classes" : `engine class ${view.engineClass}`;
    return `${operation}, ${engineClass}${view.underLoad ? ", under load" : ""}`;
}

/** Returns the metric of the ratio at an index. */
export function metricOfRatio(ratioIndex: number): Metric {
    if (ratioIndex < FIRST_TOKEN_INDEX) {
        return Metric.Failures;
    }
    return ratioIndex < GAP_INDEX ? Metric.FirstToken : Metric.Gap;
}

/**
 * Computes the statistics of a block. The ratios of a view are the sums of the ratios of its strata.
 *
 * @param block Evidence merged from all nodes.
 * @returns Statistics by view name.
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
                statistics = { view, attempts: 0, total: 0, failed: 0, totalFailed: 0, ratios: new Float64Array(RATIO_COUNT) };
                views.set(name, statistics);
            }
            statistics.attempts += stratum.candidate.count;
            statistics.total += stratum.candidate.count + stratum.control.count;
            statistics.failed += stratum.candidate.failed;
            statistics.totalFailed += stratum.candidate.failed + stratum.control.failed;
            for (let index = 0; index < RATIO_COUNT; index++) {
                statistics.ratios[index] += (view.underLoad ? loadedRatios : ratios)[index];
            }
        }
    }
    return views;
}

function viewsOf({ operation, engineClass }: StratumEvidence): readonly TrafficView[] {
    if (operation === "" && engineClass === "") {
        return [{ operation: undefined, engineClass: undefined, underLoad: false }];
    }
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
    // Failures are not stratified by load band, since that would excuse a version that fails only under load.
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

/** Latency histograms that are compared. */
interface Comparison {
    readonly candidate: Uint32Array;
    readonly control: Uint32Array;
}

/**
 * Chooses the control latencies that the candidate's latencies in a load band are compared with.
 *
 * While the candidate has few calls, its backend servers are less loaded than the control's, and the control may have too few
 * latencies in the same band. Its higher bands are then used if they have more: a good candidate at a lower load is at least as
 * fast, since the load adjustment does not overestimate the effect of load. Lower bands are never used.
 */
function chooseComparison(candidate: readonly Uint32Array[], control: readonly Uint32Array[], band: number): Comparison {
    const sameBand = { candidate: candidate[band], control: control[band] };
    if (sum(control[band]) >= MIN_CONTROL_RATIO * sum(candidate[band])) {
        return sameBand;
    }
    const higherBands = new Uint32Array(BUCKET_COUNT);
    for (const counts of control.slice(band + 1)) {
        for (let bucket = 0; bucket < BUCKET_COUNT; bucket++) {
            higherBands[bucket] += counts[bucket];
        }
    }
    return sum(higherBands) > sum(control[band]) ?
        { candidate: candidate[band], control: higherBands } :
        sameBand;
}

function addLatencyRatios(ratios: Float64Array, firstIndex: number, { candidate, control }: Comparison): void {
    const candidateCount = sum(candidate);
    const controlCount = sum(control);
    if (candidateCount === 0 || controlCount === 0) {
        return;
    }
    const pooled = poolHistograms(candidate, control);
    let index = firstIndex;
    for (const quantile of SLOW_QUANTILES) {
        const bound = quantileBucket(pooled, candidateCount + controlCount, quantile);
        const table: ContingencyTable = {
            candidateCount,
            candidateBad: countAbove(candidate, bound + TOLERATED_SLOWDOWN_BUCKETS),
            controlCount,
            controlBad: countAbove(control, bound),
        };
        addRatios(ratios, index, table, SLOW_ODDS);
        index += SLOW_ODDS.length;
    }
}

/** Merges both histograms, with the candidate's shifted down by the tolerated slowdown. */
function poolHistograms(candidate: Uint32Array, control: Uint32Array): Uint32Array {
    const pooled = Uint32Array.from(control);
    for (let bucket = 0; bucket < BUCKET_COUNT; bucket++) {
        pooled[Math.max(0, bucket - TOLERATED_SLOWDOWN_BUCKETS)] += candidate[bucket];
    }
    return pooled;
}

function addRatios(ratios: Float64Array, firstIndex: number, table: ContingencyTable, odds: readonly OddsPair[]): void {
    for (const [offset, pair] of odds.entries()) {
        ratios[firstIndex + offset] += logLikelihoodRatio(table, pair);
    }
}

function sum(counts: Uint32Array): number {
    let total = 0;
    for (const count of counts) {
        total += count;
    }
    return total;
}
