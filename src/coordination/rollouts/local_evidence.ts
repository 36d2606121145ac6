/**
 * Evidence that a node collects from its own attempts.
 *
 * @module
 */

import type { RandomSource } from "../../state/mod.js";
import type { AttemptResult } from "../attempt_observer.js";
import { bucketOf, type EvidenceCell, type NodeSlice, SLICE_MS } from "../evidence/mod.js";
import { FIRST_TOKEN_MIN_LOAD_SQUARES, GAP_MIN_LOAD_SQUARES, LoadAdjustment } from "./load_adjustment.js";

/** Time for which a slice is still shared after its end, in milliseconds. */
const SLICE_RETENTION_MS = 3_000;

/** Number of latencies that are sampled on the version with more traffic for each one on the other version. */
const MAX_SAMPLE_RATIO = 16;

/** Minimum fraction of the latencies on a version that are sampled. */
const MIN_SAMPLING_RATE = 0.1;

/** Lower bound of each load band but the first, in requests at the backend server. */
const LOAD_BAND_BOUNDS = [6, 12, 20, 30];

/** Versions that are compared. */
export interface ComparedVersions {
    readonly candidate: string;
    readonly control: string;
}

/** Attempts of a cell while they are counted. */
interface CountedCell {
    readonly key: Pick<EvidenceCell, "operation" | "engineClass" | "loadBand" | "candidate">;
    completed: number;
    failed: number;
    readonly firstToken: Map<number, number>;
    readonly gap: Map<number, number>;
}

/** Counts a node's attempts on two versions by time slice. */
export class LocalEvidence {
    private readonly adjustments = new Map<string, LoadAdjustment>();
    private readonly slices = new Map<number, Map<string, CountedCell>>();

    /**
     * @param versions Versions that are compared.
     * @param random Random source for the sampling of latencies.
     */
    constructor(private readonly versions: ComparedVersions, private readonly random: RandomSource) {}

    /**
     * Records one attempt.
     *
     * @param result Result of the attempt; attempts on other versions are ignored.
     * @param nowMs End of the attempt, in milliseconds since the Unix epoch.
     * @param candidateShare Current share of calls that go to the candidate.
     */
    record(result: AttemptResult, nowMs: number, candidateShare: number): void {
        const candidate = result.version === this.versions.candidate;
        if (!candidate && result.version !== this.versions.control) {
            return;
        }
        const cell = this.cell(Math.floor(nowMs / SLICE_MS), result, candidate);
        if (!result.completed) {
            cell.failed += 1;
            return;
        }
        cell.completed += 1;
        const firstTokenMs = this.normalizeLatency(
            `${result.operation} ${result.engineClass}`,
            result.firstTokenMs,
            result,
            nowMs,
        );
        const gapMs = this.normalizeLatency(result.engineClass, result.longestGapMs, result, nowMs);
        if (this.random.next() < samplingRate(candidate ? candidateShare : 1 - candidateShare)) {
            addToHistogram(cell.firstToken, firstTokenMs);
            addToHistogram(cell.gap, gapMs);
        }
    }

    /**
     * Returns the slices that other nodes may not have yet, oldest first, and drops older ones.
     *
     * @param nowMs Current time, in milliseconds since the Unix epoch.
     */
    recentSlices(nowMs: number): readonly NodeSlice[] {
        const oldest = Math.floor((nowMs - SLICE_RETENTION_MS) / SLICE_MS);
        for (const index of this.slices.keys()) {
            if (index < oldest) {
                this.slices.delete(index);
            }
        }
        return [...this.slices]
            .map(([index, cells]) => ({ index, cells: [...cells.values()].map(toCell) }))
            .sort((left, right) => left.index - right.index);
    }

    /** Divides a latency by the effect of the server load, which is estimated from the latencies of the control. */
    private normalizeLatency(
        name: string,
        latencyMs: number | undefined,
        result: AttemptResult,
        nowMs: number,
    ): number | undefined {
        if (latencyMs === undefined) {
            return undefined;
        }
        let adjustment = this.adjustments.get(name);
        if (adjustment === undefined) {
            const isGap = name === result.engineClass;
            adjustment = new LoadAdjustment(isGap ? GAP_MIN_LOAD_SQUARES : FIRST_TOKEN_MIN_LOAD_SQUARES);
            this.adjustments.set(name, adjustment);
        }
        if (result.version === this.versions.control) {
            adjustment.record(result.serverLoad, latencyMs, nowMs);
        }
        return latencyMs / adjustment.factor(result.serverLoad);
    }

    private cell(index: number, result: AttemptResult, candidate: boolean): CountedCell {
        let cells = this.slices.get(index);
        if (cells === undefined) {
            cells = new Map();
            this.slices.set(index, cells);
        }
        const loadBand = LOAD_BAND_BOUNDS.filter(bound => result.serverLoad >= bound).length;
        const { operation, engineClass } = result;
        const name = `${operation} ${engineClass} ${loadBand} ${candidate}`;
        let cell = cells.get(name);
        if (cell === undefined) {
            const key = { operation, engineClass, loadBand, candidate };
            cell = { key, completed: 0, failed: 0, firstToken: new Map(), gap: new Map() };
            cells.set(name, cell);
        }
        return cell;
    }
}

/** Returns the fraction of a version's latencies that are sampled, which bounds the size of shared evidence. */
function samplingRate(share: number): number {
    return Math.max(MIN_SAMPLING_RATE, Math.min(1, MAX_SAMPLE_RATIO * (1 - share) / Math.max(share, Number.MIN_VALUE)));
}

function addToHistogram(buckets: Map<number, number>, latencyMs: number | undefined): void {
    if (latencyMs === undefined) {
        return;
    }
    const bucket = bucketOf(latencyMs);
    buckets.set(bucket, (buckets.get(bucket) ?? 0) + 1);
}

function toCell(cell: CountedCell): EvidenceCell {
    return {
        ...cell.key,
        completed: cell.completed,
        failed: cell.failed,
        firstToken: [...cell.firstToken].flat(),
        gap: [...cell.gap].flat(),
    };
}
