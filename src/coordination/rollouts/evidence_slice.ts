/**
 * Evidence of one block of time, merged over nodes.
 *
 * @module
 */

import { BUCKET_COUNT } from "./latency_histogram.js";

/** Length of a slice, in which nodes share their evidence, in milliseconds. */
export const SLICE_MS = 2_000;

/** Bands of load that latencies are compared within. */
export const LOAD_BAND_COUNT = 5;

/** First band in which backend servers count as loaded. */
export const FIRST_LOADED_BAND = 2;

/** Attempts of one node in one slice, on one version of one operation on one engine class in one load band. */
export interface EvidenceCell {
    readonly operation: string;
    readonly engineClass: string;
    readonly loadBand: number;
    /** Whether the attempts ran on the version under rollout. */
    readonly candidate: boolean;
    readonly whole: number;
    readonly failed: number;
    /** Histogram of first-token times: bucket and count in turn. */
    readonly firstToken: readonly number[];
    /** Histogram of the longest gaps between tokens: bucket and count in turn. */
    readonly gap: readonly number[];
}

/** Attempts of one node in one slice. */
export interface NodeSlice {
    /** Start of the slice in units of {@linkcode SLICE_MS} since the Unix epoch. */
    readonly index: number;
    readonly cells: readonly EvidenceCell[];
}

/** Attempts of one version in one stratum. */
export class ArmEvidence {
    whole = 0;
    failed = 0;
    /** First-token times by load band. */
    readonly firstToken = makeHistograms();
    /** Longest gaps between tokens by load band. */
    readonly gap = makeHistograms();

    /** Attempts in all. */
    get count(): number {
        return this.whole + this.failed;
    }

    /**
     * Adds or takes away the attempts of one node.
     *
     * @param cell Attempts of the node.
     * @param sign 1 to add, -1 to take away.
     */
    merge(cell: EvidenceCell, sign: 1 | -1): void {
        this.whole += sign * cell.whole;
        this.failed += sign * cell.failed;
        mergeHistogram(this.firstToken[cell.loadBand], cell.firstToken, sign);
        mergeHistogram(this.gap[cell.loadBand], cell.gap, sign);
    }
}

/** Attempts of both versions of one operation on one engine class. */
export class StratumEvidence {
    readonly candidate = new ArmEvidence();
    readonly control = new ArmEvidence();

    /**
     * @param operation Operation of the attempts.
     * @param engineClass Engine class of the attempts.
     */
    constructor(readonly operation: string, readonly engineClass: string) {}
}

/** Evidence of a block of slices, by operation and engine class, with each node's part in each slice. */
export class EvidenceBlock {
    /** Number of changes so far. */
    changes = 0;
    private readonly strata = new Map<string, StratumEvidence>();
    private readonly contributions = new Map<string, readonly EvidenceCell[]>();

    /** Strata of the block. */
    get allStrata(): Iterable<StratumEvidence> {
        return this.strata.values();
    }

    /**
     * Puts a node's part in place of its earlier one.
     *
     * @param origin Node whose attempts these are.
     * @param slice All attempts of the node in a slice so far.
     */
    put(origin: string, { index, cells }: NodeSlice): void {
        const part = `${origin} ${index}`;
        const earlier = this.contributions.get(part);
        if (earlier !== undefined && countAttempts(earlier) >= countAttempts(cells)) {
            return;
        }
        this.mergeAll(earlier ?? [], -1);
        this.mergeAll(cells, 1);
        this.contributions.set(part, cells);
        this.changes += 1;
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

/** Returns the number of attempts that a node's part holds. */
export function countAttempts(cells: readonly EvidenceCell[]): number {
    let count = 0;
    for (const cell of cells) {
        count += cell.whole + cell.failed;
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
