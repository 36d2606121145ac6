/**
 * Fleets of membership nodes by scenario.
 *
 * @module
 */

import type { MemberFleet } from "../../standin/member_fleet.js";
import type { Scenario } from "./world.js";

/** Fleet of membership nodes of each scenario that has started one. */
export const memberFleets = new WeakMap<Scenario, MemberFleet>();

/** Returns the fleet of membership nodes of a scenario. */
export function memberFleet(scenario: Scenario): MemberFleet {
    const fleet = memberFleets.get(scenario);
    if (fleet === undefined) {
        throw new Error("Cannot use the membership nodes: no step has started them");
    }
    return fleet;
}
