/**
 * Baseline: each node divides an equal part of the slots among workspaces by what it sees itself, without reports.
 *
 * @module
 */

import { type DivisionInput, WorkspaceShares, type WorkspaceSharesSettings } from "../../src/coordination/allotment/mod.js";

/** Shares from this node's view alone. */
export class LocalShares extends WorkspaceShares {
    /**
     * @param settings See {@linkcode WorkspaceSharesSettings}.
     * @param nodes Number of nodes among which the slots are divided equally.
     */
    constructor(settings: WorkspaceSharesSettings, private readonly nodes: number) {
        super(settings);
    }

    override divide({ slots, intervalMs }: DivisionInput): void {
        super.divide({ slots: slots / this.nodes, allCalls: 0, peers: { shortNodes: 0, workspaces: new Map() }, intervalMs });
    }
}
