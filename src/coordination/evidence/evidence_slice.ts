/**
 * Evidence of one block of time, merged from all nodes.
 *
 * @module
 */

import { BUCKET_COUNT } from "./latency_histogram.js";

/** Length of a slice, the unit of time in which nodes share evidence, in milliseconds. */
export const SLICE_MS = 2_000;

/** Number of load bands, within which latencies are compared. */
export const LOAD_BAND_COUNT = 5;

/** Lowest band in which backend servers count as loaded. */
export const FIRST_LOADED_BAND = 2;

/** Attempts of one node in one slice, on one version, operation, engine class and load band. */
export interface EvidenceCell {
    /** Empty, like the engine class, in evidence that is not divided by them. */
    readonly operation: string;
    readonly engineClass: string;
    readonly loadBand: number;
    /** Whether the attempts ran on the version under rollout. */
    readonly candidate: boolean;
    /** Attempts that received the complete answer. */
    readonly completed: number;
    readonly failed: number;
    /** Histogram of first-token times: alternating buckets and counts. */
    readonly firstToken: readonly number[];
    /** Histogram of the longest gaps between tokens: alternating buckets and counts. */
    readonly gap: readonly number[];
}

/** Attempts of one node in one slice. */
export interface NodeSlice {
    /** Start of the slice, in units of {@linkcode SLICE_MS} since the Unix epoch. */
    readonly index: number;
    readonly cells: readonly EvidenceCell[];
}

/** Attempts of one version in one stratum. */
export class ArmEvidence {
    completed = 0;
    failed = 0;
    /** First-token times by load band. */
    readonly firstToken = makeHistograms();
    /** Longest gaps between tokens by load band. */
    readonly gap = makeHistograms();

    /** Total number of attempts. */
    get count(): number {
        return this.completed + this.failed;
    }

    /**
     * Adds or subtracts the attempts of one cell.
     *
     * @param cell Attempts of one node.
     * @param sign 1 to add, -1 to subtract.
     */
    merge(cell: EvidenceCell, sign: 1 | -1): void {
        this.completed += sign * cell.completed;
        this.failed += sign * cell.failed;
        mergeHistogram(this.firstToken[cell.loadBand], cell.firstToken, sign);
        mergeHistogram(this.gap[cell.loadBand], cell.gap, sign);
    }
}

/** Attempts of both versions on one operation and one engine class. */
export class StratumEvidence {
    readonly candidate = new ArmEvidence();
    readonly control = new ArmEvidence();

    /**
     * @param operation Operation of the attempts.
     * @param engineClass Engine class of the attempts.
     */
    constructor(readonly operation: string, readonly engineClass: string) {}
}

/** Evidence of a block of slices by operation and engine class, with the contribution of each node to each slice. */
export class EvidenceBlock {
    /** Number of contributions that changed the evidence. */
    changeCount = 0;
    private readonly strata = new Map<string, StratumEvidence>();
    private readonly contributions = new Map<string, readonly EvidenceCell[]>();

    /** Strata of the block: one for each operation on each engine class. */
    get allStrata(): Iterable<StratumEvidence> {
        return this.strata.values();
    }

    /**
     * Replaces the contribution of a node to a slice, if the new one has more observations. Order and repetition do not matter.
     *
     * @param origin Node that made the attempts.
     * @param slice All attempts of the node in a slice so far.
     */
    put(origin: string, { index, cells }: NodeSlice): void {
        const key = `${origin} ${index}`;
        const previous = this.contributions.get(key);
        if (previous !== undefined && countObservations(previous) >= countObservations(cells)) {
            return;
        }
        this.mergeAll(previous ?? [], -1);
        this.mergeAll(cells, 1);
        this.contributions.set(key, cells);
        this.changeCount += 1;
    }

    private mergeAll(cells: readonly EvidenceCell[], sign: 1 | -1): void {
        for (const cell of cells) {
            if (cell.loadBand >= LOAD_BAND_COUNT) {
                continue;
            }
            const stratum = this.stratum(cell.operation, cell.engineClass);
            (cell.candidate ? stratum.candidate : stratum.control).merge(cell, sign);
        }
    }

    private stratum(operation: string, engineClass: string): StratumEvidence {
        const name = `${operation} ${engineClass}`;
        let stratum = this.strata.get(name);
        if (stratum === undefined) {
            stratum = new StratumEvidence(operation, engineClass);
            this.strata.set(name, stratum);
        }
        return stratum;
    }
}

/** Returns the number of attempts in all cells. */
export function countAttempts(cells: readonly EvidenceCell[]): number {
    let count = 0;
    for (const cell of cells) {
        count += cell.completed + cell.failed;
    }
    return count;
}

/** Returns the number of attempts and latencies in all cells; latencies may become known before their attempts end. */
function countObservations(cells: readonly EvidenceCell[]): number {
    let count = countAttempts(cells);
    for (const { firstToken, gap } of cells) {
        count += countEntries(firstToken) + countEntries(gap);
    }
    return count;
}

function countEntries(pairs: readonly number[]): number {
    let count = 0;
    for (let index = 1; index < pairs.length; index += 2) {
        count += pairs[index];
    }
    return count;
}

function makeHistograms(): readonly Uint32Array[] {
    return Array.from({ length: LOAD_BAND_COUNT }, () => new Uint32Array(BUCKET_COUNT));
}

function mergeHistogram(counts: Uint32Array, pairs: readonly number[], sign: 1 | -1): void {
    for (let index = 0; index + 1 < pairs.length; index += 2) {
        if (pairs[index] < BUCKET_COUNT) {
            counts[pairs[index]] += sign * pairs[index + 1];
        }
    }
}
