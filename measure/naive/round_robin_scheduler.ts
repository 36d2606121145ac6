/**
 * Baseline scheduler: round robin in order of arrival, without tiers or prefix affinity.
 *
 * @module
 */

import { Assignment, type AssignSettings, Scheduler } from "../../src/coordination/mod.js";
import { type AcceptedCall, Refusal, RefusalType } from "../../src/protocol/mod.js";
import type { BackendServer, BackendTable } from "../../src/state/mod.js";

/** Dispatches each call immediately to the next backend server. */
export class RoundRobinScheduler extends Scheduler {
    private nextIndex = 0;

    /** @param table Known backend servers. */
    constructor(private readonly table: BackendTable) {
        super();
    }

    override async assign(call: AcceptedCall, settings: AssignSettings): Promise<Assignment> {
        const servers = this.table.inPool(call.operation.pool)
            .filter(server => server.acceptsRequests && !settings.excludedServers.has(server.vm.id));
        if (servers.length === 0) {
            throw new Refusal(RefusalType.NoBackendServer, "No backend server takes work.");
        }
        this.nextIndex += 1;
        return new UntrackedAssignment(servers[this.nextIndex % servers.length]);
    }
}

/** Assignment that does not track outstanding work. */
class UntrackedAssignment extends Assignment {
    constructor(override readonly server: BackendServer) {
        super();
    }

    override recordToken(): void {
        // Outstanding work is not tracked.
    }

    override release(): void {
        // Outstanding work is not tracked.
    }
}
