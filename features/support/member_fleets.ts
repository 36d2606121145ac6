/**
 * Fleets of memberships by scenario.
 *
 * @module
 */

import type { MemberFleet } from "../../standin/member_fleet.js";
import type { Scenario } from "./world.js";

/** Fleet of memberships of each scenario that has one. */
export const memberFleets = new WeakMap<Scenario, MemberFleet>();

/** Returns the fleet of memberships of a scenario. */
export function memberFleet(scenario: Scenario): MemberFleet {
    const fleet = memberFleets.get(scenario);
    if (fleet === undefined) {
        throw new Error("Cannot use memberships: no step has started them");
    }
    return fleet;
}
