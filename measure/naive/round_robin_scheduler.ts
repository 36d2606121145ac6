/**
 * Naive scheduler to measure against: round robin, first come first served, no tiers, no affinity.
 *
 * @module
 */

import { Assignment, type AssignSettings, Scheduler } from "../../src/coordination/mod.js";
import { type AcceptedCall, Refusal, RefusalType } from "../../src/protocol/mod.js";
import type { BackendServer, BackendTable } from "../../src/state/mod.js";

/** Sends each call at once to the next backend server. */
export class RoundRobinScheduler extends Scheduler {
    private nextIndex = 0;

    /** @param table Backend servers known. */
    constructor(private readonly table: BackendTable) {
        super();
    }

    override async assign(call: AcceptedCall, settings: AssignSettings): Promise<Assignment> {
        const servers = this.table.inPool(call.operation.pool)
            .filter(server => server.acceptsRequests && !settings.excluded.has(server.vm.id));
        if (servers.length === 0) {
            throw new Refusal(RefusalType.NoBackendServer, "No backend server takes work.");
        }
        this.nextIndex += 1;
        return new UntrackedAssignment(servers[this.nextIndex % servers.length]);
    }
}

/** Assignment that counts nothing. */
class UntrackedAssignment extends Assignment {
    constructor(override readonly server: BackendServer) {
        super();
    }

    override recordToken(): void {
        // Nothing is counted.
    }

    override release(): void {
        // Nothing is counted.
    }
}
