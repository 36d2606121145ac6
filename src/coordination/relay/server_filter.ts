/**
 * Backend servers that may be used: none in an emptied failure domain, and for a call with homes none outside their regions.
 *
 * Every place that chooses servers or counts them as usable asks this filter. Without orders and homes it returns the list that it gets.
 *
 * @module
 */

import type { Homes, RelayRoute, RelayServer, RelayWorkspace } from "../../state/relay/mod.js";
import type { EmptiedDomains } from "./emptied_domains.js";
import type { ServerState } from "./server_state.js";

/** Returns the regions to which calls of a route and a workspace are confined: those of both, if both have homes. */
export function homesOf(
    route: Pick<RelayRoute, "homes">,
    workspace: Pick<RelayWorkspace, "homes"> | undefined,
): Homes | undefined {
    if (route.homes === undefined || workspace?.homes === undefined) {
        return route.homes ?? workspace?.homes;
    }
    const { homes } = workspace;
    return new Set([...route.homes].filter(region => homes.has(region)));
}

/** Returns the region of a failure domain, or `undefined` if it is unknown. */
export type RegionOf = (failureDomain: string) => string | undefined;

/** Tells which servers may get calls. */
export class ServerFilter {
    /**
     * @param emptied Failure domains to whose servers nothing may be sent.
     * @param regionOf Region of each failure domain.
     */
    constructor(
        private readonly emptied: Pick<EmptiedDomains, "size" | "has">,
        private readonly regionOf: RegionOf = () => undefined,
    ) {}

    /** Whether the filter may exclude a server from a call with these homes. */
    isActive(homes: Homes | undefined): boolean {
        return homes !== undefined || this.emptied.size > 0;
    }

    /** Whether a call with these homes may be sent to a server. */
    isUsable({ failureDomain }: RelayServer, homes: Homes | undefined): boolean {
        return !this.emptied.has(failureDomain) && this.isAtHome(failureDomain, homes);
    }

    /** Whether a call with these homes may go to a failure domain, emptied or not; never if its region is unknown. */
    isAtHome(failureDomain: string, homes: Homes | undefined): boolean {
        if (homes === undefined) {
            return true;
        }
        const region = this.regionOf(failureDomain);
        return region !== undefined && homes.has(region);
    }

    /** Returns the servers to which a call with these homes may be sent: the same list if that is all of them. */
    usable(servers: readonly ServerState[], homes?: Homes): readonly ServerState[] {
        if (!this.isActive(homes) || servers.every(({ server }) => this.isUsable(server, homes))) {
            return servers;
        }
        return servers.filter(({ server }) => this.isUsable(server, homes));
    }
}
