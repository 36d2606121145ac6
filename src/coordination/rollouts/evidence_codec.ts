/**
 * Wire encoding of the evidence that nodes share.
 *
 * @module
 */

import { rolloutWire } from "../../protocol/mod.js";
import { type EvidenceCell, LOAD_BAND_COUNT, type NodeSlice } from "../evidence/mod.js";

/** Report of one node on one rollout. */
export interface NodeReport {
    /** Current share of calls that the node sends to the version. */
    readonly share: number;
    /** Time at which the node found the canary evidence sufficient, in milliseconds since the Unix epoch; 0 before. */
    readonly clearedAtMs: number;
    /** Offset of the last record of the rollout that the node has applied. */
    readonly revision: number;
    /** Whether the rollout is paused at that revision. */
    readonly paused: boolean;
    readonly slices: readonly NodeSlice[];
    /** Pool of the rollout; with both versions, it serves nodes that have not read the log yet. */
    readonly pool: string;
    readonly version: string;
    readonly fromVersion: string;
}

/** Encodes a report; each pair of operation and engine class is written once. */
export function encodeReport(report: NodeReport): Uint8Array {
    const stratumIndices = new Map<string, number>();
    const strata: rolloutWire.EvidenceStratum[] = [];
    const toWire = (cell: EvidenceCell): rolloutWire.EvidenceCell => {
        const name = `${cell.operation} ${cell.engineClass}`;
        let stratum = stratumIndices.get(name);
        if (stratum === undefined) {
            stratum = strata.length;
            stratumIndices.set(name, stratum);
            strata.push({ operation: cell.operation, engineClass: cell.engineClass });
        }
        const { completed, failed, firstToken, gap } = cell;
        return { stratum, arm: cell.loadBand * 2 + Number(cell.candidate), whole: completed, failed, firstToken, gap };
    };
    const slices = report.slices.map(({ index, cells }) => ({ index, cells: cells.map(toWire) }));
    return rolloutWire.RolloutEvidence.encode({ ...report, strata, slices }).finish();
}

/**
 * Decodes a report.
 *
 * @returns The report, or `undefined` if it is malformed.
 */
export function decodeReport(data: Uint8Array): NodeReport | undefined {
    try {
        const wire = rolloutWire.RolloutEvidence.decode(data);
        const slices = wire.slices.map(({ index, cells }) => ({
            index,
            cells: cells.flatMap(cell => fromWire(cell, wire.strata)),
        }));
        return { ...wire, slices };
    }
    catch {
        return undefined;
    }
}

function fromWire(cell: rolloutWire.EvidenceCell, strata: readonly rolloutWire.EvidenceStratum[]): readonly EvidenceCell[] {
    const stratum = strata.at(cell.stratum);
    const loadBand = cell.arm >> 1;
    if (stratum === undefined || loadBand >= LOAD_BAND_COUNT) {
        return [];
    }
    const { whole: completed, failed, firstToken, gap } = cell;
    const candidate = cell.arm % 2 === 1;
    return [{ ...stratum, loadBand, candidate, completed, failed, firstToken, gap }];
}
