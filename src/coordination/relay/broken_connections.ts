/**
 * Servers whose connections to this node broke a short time ago.
 *
 * When those of many servers break together, the fault is the node's or its network's, and says nothing about the servers.
 *
 * @module
 */

import type { Clock } from "../../state/relay/mod.js";

/** Time in which connections break together, in milliseconds. */
const TOGETHER_MS = 1_000;

/** Counts the servers of each service whose connections broke together. */
export class BrokenConnections {
    private readonly brokenAtMs = new Map<string, Map<number, number>>();

    /** @param clock Clock of the breaks. */
    constructor(private readonly clock: Clock) {}

    /**
     * Records that a connection to a server broke.
     *
     * @param serverKey Key of the server's incarnation.
     * @returns Number of servers of the service whose connections broke together, with this one.
     */
    record(service: string, serverKey: number): number {
        const now = this.clock.now();
        const breaks = this.brokenAtMs.get(service) ?? new Map<number, number>();
        this.brokenAtMs.set(service, breaks.set(serverKey, now));
        for (const [key, atMs] of breaks) {
            if (atMs < now - TOGETHER_MS) {
                breaks.delete(key);
            }
        }
        return breaks.size;
    }
}
