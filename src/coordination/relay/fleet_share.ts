/**
 * Share of all nodes that this one hears, counting those that it has never heard.
 *
 * A node that has just started, or is cut off, hears no other and would take the whole of what all nodes share.
 *
 * @module
 */

import type { PeerTable } from "./peer_table.js";

/** Settings of a {@linkcode FleetShare}. */
export interface FleetShareSettings {
    readonly peers: Pick<PeerTable, "reachablePeers" | "unreachableShare">;
    /** Returns the number of nodes that the platform's log lists, including this one; `undefined` until it is known. */
    readonly listedNodes: () => number | undefined;
}

/** Tells which share of the nodes may send calls that this node does not hear of. */
export class FleetShare {
    /** @param settings See {@linkcode FleetShareSettings}. */
    constructor(private readonly settings: FleetShareSettings) {}

    /**
     * Share of all nodes that are unreachable but may still send calls, from 0 to 1. A node that hears half of the listed nodes or fewer
     * may be one of a part that is cut off, and leaves the others their share for as long as this lasts. A majority takes the share of
     * nodes that it stopped hearing after a while, as the log also lists nodes that are gone. Nothing is left to a node that does not know
     * how many there are.
     */
    get unreachable(): number {
        const { peers, listedNodes } = this.settings;
        const listed = listedNodes();
        const heard = peers.reachablePeers + 1;
        if (listed === undefined) {
            return 1;
        }
        const unheard = heard * 2 > listed ? 0 : 1 - heard / listed;
        return Math.max(unheard, peers.unreachableShare());
    }
}
