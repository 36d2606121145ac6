/**
 * Sequential test of a version over time, on evidence merged from all nodes.
 *
 * Page's cumulative sum of log-likelihood ratios, restarted at zero, so that good attempts of the past do not hide a fault that
 * begins later. After Page, "Continuous Inspection Schemes" (1954), and for the bound on wrong alarms Lorden, "Procedures for
 * Reacting to a Change in Distribution" (1971): one statistic passes level h within n looks with a probability of at most
 * n * exp(-h) while the version is good.
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

/** Probability of a wrong alarm over the whole life of a rollout. */
export const FALSE_ALARM_PROBABILITY = 0.005;

/** Time for which that probability holds, in milliseconds; longer rollouts are counted by this time. */
const MIN_DURATION_MS = 3_600_000;

/** Length of a block, within which both versions are compared, in milliseconds: several attempts on the candidate fall into it. */
const BLOCK_MS = 10_000;

/** Views for which the most that a block may add is computed. */
const EXPECTED_VIEWS = 16;

/** Looks at a block while its evidence comes in, each of which counts as a test. */
const LOOKS_PER_BLOCK = 20;

/**
 * Most that one block may add to a statistic, as a share of the test's level.
 *
 * Attempts of one block are not independent: a pause or crash of one backend server touches many of them. No single such event may
 * blame a version.
 */
const MAX_BLOCK_FAILURE_SHARE = 0.5;
const MAX_BLOCK_SLOWNESS_SHARE = 0.4;

/** Age from which a block takes no more evidence, in milliseconds. */
const BLOCK_CLOSE_AGE_MS = 30_000;

/** What the evidence says on one view of the traffic. */
export interface ViewFinding {
    readonly view: TrafficView;
    /** Attempts on the candidate since the rollout's start. */
    readonly attempts: number;
    /** Attempts on both versions since the rollout's start. */
    readonly total: number;
    /** Highest statistic as a share of the test's level. */
    readonly alarmRatio: number;
    /** Metric of that statistic. */
    readonly metric: Metric;
}

/** State of a view's statistics at some block. */
interface ViewState {
    readonly view: TrafficView;
    attempts: number;
    total: number;
    readonly sums: Float64Array;
    /** Highest value that each sum has had. */
    highest: number;
    highestIndex: number;
}

/** Block with its statistics, which are computed again when the evidence has changed. */
interface OpenBlock {
    readonly evidence: EvidenceBlock;
    computedChanges: number;
    statistics: ReadonlyMap<string, ViewStatistics>;
}

/** Merges evidence and runs the sequential test over it. */
export class EvidenceMonitor {
    private readonly openBlocks = new Map<number, OpenBlock>();
    private readonly closedStates = new Map<string, ViewState>();
    private readonly looks: number;
    private firstOpenIndex = 0;
    private cached: ReadonlyMap<string, ViewFinding> = new Map();
    private changed = true;

    /**
     * @param durationMs Time that the rollout is planned to take, in milliseconds.
     * @param onClose Is given each block that takes no more evidence.
     */
    constructor(durationMs: number, private readonly onClose: (block: EvidenceBlock) => void = () => undefined) {
        this.looks = Math.max(durationMs, MIN_DURATION_MS) / BLOCK_MS * LOOKS_PER_BLOCK;
    }

    /**
     * Takes a node's evidence; evidence for slices that are too old is left out.
     *
     * @param origin Node whose attempts these are.
     * @param slices Slices with all attempts of the node so far.
     */
    put(origin: string, slices: readonly NodeSlice[]): void {
        for (const slice of slices) {
            const index = Math.floor(slice.index * SLICE_MS / BLOCK_MS);
            if (index < this.firstOpenIndex) {
                continue;
            }
            let block = this.openBlocks.get(index);
            if (block === undefined) {
                block = { evidence: new EvidenceBlock(), computedChanges: -1, statistics: new Map() };
                this.openBlocks.set(index, block);
            }
            const { changes } = block.evidence;
            block.evidence.put(origin, slice);
            this.changed ||= block.evidence.changes !== changes;
        }
    }

    /**
     * Runs the test over everything merged so far.
     *
     * @param nowMs Present time, in milliseconds since the Unix epoch.
     * @returns Findings by the view's name.
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
        const level = this.thresholdFor(states.size);
        this.cached = new Map([...states].map(([name, state]) => [name, toFinding(state, level)]));
        return this.cached;
    }

    /** Returns the evidence of the blocks that still take some, the newest first. */
    recentBlocks(): readonly EvidenceBlock[] {
        return this.openIndices().map(index => (this.openBlocks.get(index) as OpenBlock).evidence).reverse();
    }

    private closeBlocks(nowMs: number): void {
        const before = Math.floor((nowMs - BLOCK_CLOSE_AGE_MS) / BLOCK_MS);
        if (before <= this.firstOpenIndex) {
            return;
        }
        this.firstOpenIndex = before;
        for (const index of this.openIndices()) {
            if (index >= before) {
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
        if (block.computedChanges !== block.evidence.changes) {
            block.computedChanges = block.evidence.changes;
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
        const level = this.thresholdFor(EXPECTED_VIEWS);
        state.attempts += statistics.attempts;
        state.total += statistics.total;
        for (let place = 0; place < RATIO_COUNT; place++) {
            const share = metricOfRatio(place) === Metric.Failures ? MAX_BLOCK_FAILURE_SHARE : MAX_BLOCK_SLOWNESS_SHARE;
            const sum = Math.max(0, state.sums[place] + Math.min(share * level, statistics.ratios[place]));
            state.sums[place] = sum;
            if (sum > state.highest) {
                state.highest = sum;
                state.highestIndex = place;
            }
        }
    }

    private thresholdFor(viewCount: number): number {
        return Math.log(Math.max(1, viewCount) * RATIO_COUNT * this.looks / FALSE_ALARM_PROBABILITY);
    }
}

function makeState(view: TrafficView): ViewState {
    return { view, attempts: 0, total: 0, sums: new Float64Array(RATIO_COUNT), highest: 0, highestIndex: 0 };
}

function copyState(state: ViewState): ViewState {
    const highest = Math.max(...state.sums);
    return { ...state, sums: Float64Array.from(state.sums), highest, highestIndex: state.sums.indexOf(highest) };
}

function toFinding(state: ViewState, level: number): ViewFinding {
    const { view, attempts, total } = state;
    return { view, attempts, total, alarmRatio: state.highest / level, metric: metricOfRatio(state.highestIndex) };
}
