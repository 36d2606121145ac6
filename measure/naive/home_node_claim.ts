/**
 * Naive dispatch-once: the home node of a key, the one that ranks first for it, keeps it in an in-memory table.
 *
 * @module
 */

import { rankMembers } from "../../src/coordination/mod.js";
import type { LiveMember } from "../../src/protocol/mod.js";
import type { Clock } from "../../src/state/mod.js";

/** One-way delay between two nodes, in milliseconds. */
const PEER_ONE_WAY_MS = 1.5;

/** Claimed keys of each home node, by its id. */
export type ClaimTables = Map<string, Set<string>>;

/** Node that claims each key at its home node. */
export class HomeNodeClaim {
    /**
     * @param members Member view of this node, which may be stale.
     * @param tables Tables of all nodes.
     * @param clock Clock for the delays between nodes.
     */
    constructor(
        private readonly members: readonly LiveMember[],
        private readonly tables: ClaimTables,
        private readonly clock: Clock,
    ) {}

    /**
     * Claims a key at its home node.
     *
     * @returns Whether the call may be dispatched.
     */
    async claim(key: string): Promise<boolean> {
        const [home] = rankMembers(key, this.members);
        await this.clock.sleep(PEER_ONE_WAY_MS);
        const table = this.tables.get(home.id) ?? new Set();
        this.tables.set(home.id, table);
        const isUnclaimed = !table.has(key);
        table.add(key);
        await this.clock.sleep(PEER_ONE_WAY_MS);
        return isUnclaimed;
    }
}
