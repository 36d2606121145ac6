/**
 * Sequential test of a version over time, on evidence merged from all nodes.
 *
 * The test statistic is Page's cumulative sum (CUSUM) of log-likelihood ratios. It restarts at zero, so that good attempts of the
 * past do not mask a fault that begins later. See Page, "Continuous Inspection Schemes" (1954), and for the false alarm bound
 * Lorden, "Procedures for Reacting to a Change in Distribution" (1971): while the version is good, one statistic exceeds the
 * threshold h within n looks with a probability of at most n * exp(-h).
 *
 * @module
 */

import {
    computeStatistics,
    Metric,
    metricOfRatio,
    RATIO_COUNT,
    type TrafficView,
    type ViewStatistics,
} from "./block_statistics.js";
import { EvidenceBlock, type NodeSlice, SLICE_MS } from "./evidence_slice.js";

/** Settings of an {@linkcode EvidenceMonitor}. */
export interface EvidenceMonitorSettings {
    /** Length of a slice, the unit of time in which nodes share evidence, in milliseconds. */
    readonly sliceMs: number;
    /** Length of a block, within which both versions are compared, in milliseconds; a multiple of the slice with several attempts. */
    readonly blockMs: number;
    /** Age at which a block is closed and accepts no more evidence, in milliseconds. */
    readonly closeAgeMs: number;
    /** Minimum duration for which the false alarm bound is computed, in milliseconds; a longer rollout uses its own duration. */
    readonly minDurationMs: number;
    /** Looks at a block while its evidence arrives; each look counts as a test. */
    readonly looksPerBlock: number;
    /** Maximum probability of a false alarm over the whole duration of a rollout, from 0 to 1. */
    readonly falseAlarmProbability: number;
    /** Number of views assumed in the threshold that limits the contribution of a block. */
    readonly expectedViews: number;
}

/** Settings for rollouts that last minutes to hours. */
const LONG_ROLLOUT_SETTINGS: EvidenceMonitorSettings = {
    sliceMs: SLICE_MS,
    blockMs: 10_000,
    closeAgeMs: 30_000,
    minDurationMs: 3_600_000,
    looksPerBlock: 20,
    falseAlarmProbability: 0.005,
    expectedViews: 16,
};

/**
 * Maximum contribution of one block to a statistic, as a share of the alarm threshold.
 *
 * The attempts of a block are not independent: a pause or crash of one backend server affects many of them. A single such event
 * must not cause a rollback.
 */
const MAX_BLOCK_FAILURE_SHARE = 0.5;
const MAX_BLOCK_SLOWNESS_SHARE = 0.4;

/** Result of the test on one view of the traffic. */
export interface ViewFinding {
    readonly view: TrafficView;
    /** Attempts on the candidate since the rollout's start. */
    readonly attempts: number;
    /** Attempts on both versions since the rollout's start. */
    readonly total: number;
    /** Failed attempts on the candidate, and on both versions, since the rollout's start. */
    readonly failed: number;
    readonly totalFailed: number;
    /** Highest statistic as a share of the alarm threshold. */
    readonly alarmRatio: number;
    /** Metric of that statistic. */
    readonly metric: Metric;
}

/** Cumulative statistics of a view up to some block. */
interface ViewState {
    readonly view: TrafficView;
    attempts: number;
    total: number;
    failed: number;
    totalFailed: number;
    readonly sums: Float64Array;
    /** Highest value of any sum; in the copy that the open blocks are added to, since the last closed block. */
    highest: number;
    highestIndex: number;
}

/** Block that accepts evidence, with its statistics, which are recomputed when the evidence has changed. */
interface OpenBlock {
    readonly evidence: EvidenceBlock;
    /** Change count of the evidence when the statistics were computed. */
    computedChangeCount: number;
    statistics: ReadonlyMap<string, ViewStatistics>;
}

/** Merges evidence and runs the sequential test on it. */
export class EvidenceMonitor {
    private readonly openBlocks = new Map<number, OpenBlock>();
    private readonly closedStates = new Map<string, ViewState>();
    private readonly looks: number;
    private firstOpenIndex = 0;
    private cached: ReadonlyMap<string, ViewFinding> = new Map();
    private changed = true;

    /**
     * @param durationMs Planned duration of the rollout, in milliseconds.
     * @param onClose Called with the evidence of each block that is closed.
     * @param settings Settings of the test. Defaults to those for rollouts that last minutes to hours.
     */
    constructor(
        durationMs: number,
        private readonly onClose: (block: EvidenceBlock) => void = () => undefined,
        private readonly settings: EvidenceMonitorSettings = LONG_ROLLOUT_SETTINGS,
    ) {
        const { minDurationMs, blockMs, looksPerBlock } = settings;
        this.looks = Math.max(durationMs, minDurationMs) / blockMs * looksPerBlock;
    }

    /**
     * Merges the evidence of a node. Slices of closed blocks are ignored.
     *
     * @param origin Node that made the attempts.
     * @param slices Slices with all attempts of the node so far.
     */
    put(origin: string, slices: readonly NodeSlice[]): void {
        const { sliceMs, blockMs } = this.settings;
        for (const slice of slices) {
            const index = Math.floor(slice.index * sliceMs / blockMs);
            if (index < this.firstOpenIndex) {
                continue;
            }
            let block = this.openBlocks.get(index);
            if (block === undefined) {
                block = { evidence: new EvidenceBlock(), computedChangeCount: -1, statistics: new Map() };
                this.openBlocks.set(index, block);
            }
            const { changeCount } = block.evidence;
            block.evidence.put(origin, slice);
            this.changed ||= block.evidence.changeCount !== changeCount;
        }
    }

    /**
     * Runs the test on all evidence merged so far.
     *
     * @param nowMs Current time, in milliseconds since the Unix epoch.
     * @returns Findings by view name.
     */
    evaluate(nowMs: number): ReadonlyMap<string, ViewFinding> {
        this.closeBlocks(nowMs);
        if (!this.changed) {
            return this.cached;
        }
        this.changed = false;
        const states = new Map([...this.closedStates].map(([name, state]) => [name, copyState(state)]));
        for (const index of this.openIndices()) {
            this.addBlock(states, index);
        }
        const threshold = this.thresholdFor(states.size);
        this.cached = new Map([...states].map(([name, state]) => [name, toFinding(state, threshold)]));
        return this.cached;
    }

    /** Returns the evidence of the open blocks, newest first. */
    recentBlocks(): readonly EvidenceBlock[] {
        return this.openIndices().map(index => (this.openBlocks.get(index) as OpenBlock).evidence).reverse();
    }

    private closeBlocks(nowMs: number): void {
        const firstOpenIndex = Math.floor((nowMs - this.settings.closeAgeMs) / this.settings.blockMs);
        if (firstOpenIndex <= this.firstOpenIndex) {
            return;
        }
        this.firstOpenIndex = firstOpenIndex;
        for (const index of this.openIndices()) {
            if (index >= firstOpenIndex) {
                return;
            }
            this.addBlock(this.closedStates, index);
            this.onClose((this.openBlocks.get(index) as OpenBlock).evidence);
            this.openBlocks.delete(index);
        }
    }

    private openIndices(): readonly number[] {
        return [...this.openBlocks.keys()].sort((left, right) => left - right);
    }

    private addBlock(states: Map<string, ViewState>, index: number): void {
        const block = this.openBlocks.get(index) as OpenBlock;
        if (block.computedChangeCount !== block.evidence.changeCount) {
            block.computedChangeCount = block.evidence.changeCount;
            block.statistics = computeStatistics(block.evidence);
        }
        for (const [name, statistics] of block.statistics) {
            let state = states.get(name);
            if (state === undefined) {
                state = makeState(statistics.view);
                states.set(name, state);
            }
            this.addStatistics(state, statistics);
        }
    }

    private addStatistics(state: ViewState, statistics: ViewStatistics): void {
        const threshold = this.thresholdFor(this.settings.expectedViews);
        state.attempts += statistics.attempts;
        state.total += statistics.total;
        state.failed += statistics.failed;
        state.totalFailed += statistics.totalFailed;
        for (let index = 0; index < RATIO_COUNT; index++) {
            const share = metricOfRatio(index) === Metric.Failures ? MAX_BLOCK_FAILURE_SHARE : MAX_BLOCK_SLOWNESS_SHARE;
            const sum = Math.max(0, state.sums[index] + Math.min(share * threshold, statistics.ratios[index]));
            state.sums[index] = sum;
            if (sum > state.highest) {
                state.highest = sum;
                state.highestIndex = index;
            }
        }
    }

    private thresholdFor(viewCount: number): number {
        return Math.log(Math.max(1, viewCount) * RATIO_COUNT * this.looks / this.settings.falseAlarmProbability);
    }
}

function makeState(view: TrafficView): ViewState {
    const counts = { attempts: 0, total: 0, failed: 0, totalFailed: 0 };
    return { view, ...counts, sums: new Float64Array(RATIO_COUNT), highest: 0, highestIndex: 0 };
}

function copyState(state: ViewState): ViewState {
    const highest = Math.max(...state.sums);
    return { ...state, sums: Float64Array.from(state.sums), highest, highestIndex: state.sums.indexOf(highest) };
}

function toFinding(state: ViewState, threshold: number): ViewFinding {
    const { view, attempts, total, failed, totalFailed } = state;
    const metric = metricOfRatio(state.highestIndex);
    return { view, attempts, total, failed, totalFailed, alarmRatio: state.highest / threshold, metric };
}
