/**
 * Backend servers of a service that calls may be sent to, after the operator's orders, the homes of calls and the rollouts.
 *
 * @module
 */

import type { Homes } from "../../state/relay/mod.js";
import type { ServerFilter } from "./server_filter.js";
import type { ServerPool } from "./server_pool.js";
import type { ServerState } from "./server_state.js";
import { NoSlotReason } from "./slot_reservation.js";
import type { VersionRollouts } from "./version_rollouts.js";

/** Applies the filter and the rollouts to the servers of the pool. */
export class UsableServers {
    /**
     * @param pool Servers of all services.
     * @param filter Excludes servers for all calls, or for those with homes.
     * @param rollouts Choose the version of a call.
     */
    constructor(
        private readonly pool: Pick<ServerPool, "openServers">,
        private readonly filter: ServerFilter,
        private readonly rollouts: Pick<VersionRollouts, "candidates" | "mainServers">,
    ) {}

    /** Returns the servers of a service that may get calls. */
    open(service: string): readonly ServerState[] {
        return this.filter.usable(this.pool.openServers(service));
    }

    /** Returns the servers that get most of a service's calls. */
    main(service: string): readonly ServerState[] {
        return this.rollouts.mainServers(service, this.open(service));
    }

    /** Returns the servers that may be chosen for a call, by its id. */
    candidates(service: string, callId: string, homes?: Homes): readonly ServerState[] {
        const open = this.pool.openServers(service);
        return this.rollouts.candidates(service, this.filter.usable(open, homes), callId, open);
    }

    /**
     * Returns why a call must not be sent to any server although the service has some; `undefined` if it may be, or if only time or
     * capacity is lacking.
     */
    findExclusion(service: string, callId: string, homes?: Homes): NoSlotReason.Emptied | NoSlotReason.Homes | undefined {
        if (!this.filter.isActive(homes)) {
            return undefined;
        }
        const open = this.pool.openServers(service);
        const usable = this.filter.usable(open, homes);
        const isExcluded = usable !== open && this.rollouts.candidates(service, usable, callId, open).length === 0 &&
            this.rollouts.candidates(service, open, callId).length > 0;
        if (!isExcluded) {
            return undefined;
        }
        const atHome = open.filter(({ server }) => this.filter.isAtHome(server.failureDomain, homes));
        const hasHomeServer = atHome.length === open.length || this.rollouts.candidates(service, atHome, callId, open).length > 0;
        return hasHomeServer ? NoSlotReason.Emptied : NoSlotReason.Homes;
    }
}
