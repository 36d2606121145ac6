/**
 * Evidence that one node gathers from its own attempts.
 *
 * @module
 */

import type { RandomSource } from "../../state/mod.js";
import type { AttemptFigures } from "../attempt_observer.js";
import { type EvidenceCell, type NodeSlice, SLICE_MS } from "./evidence_slice.js";
import { bucketOf } from "./latency_histogram.js";
import { FIRST_TOKEN_MIN_LOAD_SQUARES, GAP_MIN_LOAD_SQUARES, LoadAdjustment } from "./load_adjustment.js";

/** Time for which a slice that has ended is shared on, in milliseconds. */
const SLICE_RETENTION_MS = 3_000;

/** Latencies on the version with more traffic that are kept for each one on the other version. */
const MAX_SAMPLE_RATIO = 16;

/** Least share of latencies on a version that are kept. */
const MIN_SAMPLING_RATE = 0.1;

/** Lowest server load of each load band after the first, in requests. */
const LOAD_BAND_BOUNDS = [6, 12, 20, 30];

/** Versions that are compared. */
export interface ComparedVersions {
    readonly candidate: string;
    readonly control: string;
}

/** Attempts of one cell while they are being counted. */
interface CountedCell {
    readonly key: Pick<EvidenceCell, "operation" | "engineClass" | "loadBand" | "candidate">;
    whole: number;
    failed: number;
    readonly firstToken: Map<number, number>;
    readonly gap: Map<number, number>;
}

/** Counts a node's attempts on two versions by slice of time. */
export class LocalEvidence {
    private readonly adjustments = new Map<string, LoadAdjustment>();
    private readonly slices = new Map<number, Map<string, CountedCell>>();

    /**
     * @param versions Versions that are compared.
     * @param random Source of the choice which latencies are kept.
     */
    constructor(private readonly versions: ComparedVersions, private readonly random: RandomSource) {}

    /**
     * Counts one attempt.
     *
     * @param figures Attempt; those on other versions are left out.
     * @param nowMs Time of its end, in milliseconds since the Unix epoch.
     * @param candidateShare Share of calls that the candidate has now.
     */
    record(figures: AttemptFigures, nowMs: number, candidateShare: number): void {
        const candidate = figures.version === this.versions.candidate;
        if (!candidate && figures.version !== this.versions.control) {
            return;
        }
        const cell = this.cell(Math.floor(nowMs / SLICE_MS), figures, candidate);
        if (!figures.whole) {
            cell.failed += 1;
            return;
        }
        cell.whole += 1;
        const firstTokenMs = this.normalizeLatency(
            `${figures.operation} ${figures.engineClass}`,
            figures.firstTokenMs,
            figures,
            nowMs,
        );
        const gapMs = this.normalizeLatency(figures.engineClass, figures.longestGapMs, figures, nowMs);
        if (this.random.next() < samplingRate(candidate ? candidateShare : 1 - candidateShare)) {
            addToHistogram(cell.firstToken, firstTokenMs);
            addToHistogram(cell.gap, gapMs);
        }
    }

    /**
     * Returns the slices that other nodes may not have yet, the newest last.
     *
     * @param nowMs Present time, in milliseconds since the Unix epoch.
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

    /** Takes the load of the backend server out of a latency, and learns from those of the control. */
    private normalizeLatency(
        name: string,
        latencyMs: number | undefined,
        figures: AttemptFigures,
        nowMs: number,
    ): number | undefined {
        if (latencyMs === undefined) {
            return undefined;
        }
        let adjustment = this.adjustments.get(name);
        if (adjustment === undefined) {
            const isGap = name === figures.engineClass;
            adjustment = new LoadAdjustment(isGap ? GAP_MIN_LOAD_SQUARES : FIRST_TOKEN_MIN_LOAD_SQUARES);
            this.adjustments.set(name, adjustment);
        }
        if (figures.version === this.versions.control) {
            adjustment.record(figures.serverLoad, latencyMs, nowMs);
        }
        return latencyMs / adjustment.factor(figures.serverLoad);
    }

    private cell(index: number, figures: AttemptFigures, candidate: boolean): CountedCell {
        let cells = this.slices.get(index);
        if (cells === undefined) {
            cells = new Map();
            this.slices.set(index, cells);
        }
        const loadBand = LOAD_BAND_BOUNDS.filter(bound => figures.serverLoad >= bound).length;
        const { operation, engineClass } = figures;
        const name = `${operation} ${engineClass} ${loadBand} ${candidate}`;
        let cell = cells.get(name);
        if (cell === undefined) {
            const key = { operation, engineClass, loadBand, candidate };
            cell = { key, whole: 0, failed: 0, firstToken: new Map(), gap: new Map() };
            cells.set(name, cell);
        }
        return cell;
    }
}

/** Returns the share of a version's latencies that is kept, so that shared evidence stays short. */
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
        whole: cell.whole,
        failed: cell.failed,
        firstToken: [...cell.firstToken].flat(),
        gap: [...cell.gap].flat(),
    };
}
