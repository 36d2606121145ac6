/**
 * Dispatch-once by a home node: the node that ranks first for a key keeps it in a table for a short time.
 *
 * @module
 */

import { rankMembers } from "../../src/coordination/mod.js";
import type { Member } from "../../src/protocol/mod.js";
import type { Clock } from "../../src/state/mod.js";

/** Time one way between two nodes, in milliseconds. */
const PEER_ONE_WAY_MS = 1.5;

/** Tables of all nodes, by the id of the node. */
export type ClaimTables = Map<string, Set<string>>;

/** One node that asks the home of each key. */
export class HomeNodeClaim {
    /**
     * @param members Members as this node sees them.
     * @param tables Tables of all nodes.
     * @param clock Clock that delays are timed by.
     */
    constructor(
        private readonly members: readonly Member[],
        private readonly tables: ClaimTables,
        private readonly clock: Clock,
    ) {}

    /**
     * Asks the home of a key for the right to dispatch it.
     *
     * @returns Whether the call may be dispatched.
     */
    async claim(key: string): Promise<boolean> {
        const [home] = rankMembers(key, this.members);
        await this.clock.sleep(PEER_ONE_WAY_MS);
        const table = this.tables.get(home.id) ?? new Set();
        this.tables.set(home.id, table);
        const free = !table.has(key);
        table.add(key);
        await this.clock.sleep(PEER_ONE_WAY_MS);
        return free;
    }
}
