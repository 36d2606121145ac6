/**
 * What cold servers of each service bear.
 *
 * @module
 */

import type { RelayService } from "../../state/relay/mod.js";
import { boundedRate, type RateLimits } from "../allotment/mod.js";

/** Calls that a cold server may get beyond those that it sustains, from all nodes. */
export interface ColdBounds {
    /** Factor of the calls a second that it sustains. */
    readonly overage: number;
    /** Further calls in any one second. */
    readonly slack: number;
}

/** What the cold servers of a service bear. */
export interface ColdRule {
    /** Time for which a server is cold after its start, in milliseconds. */
    readonly durationMs: number;
    readonly limits: RateLimits;
}

/** Rules of the services whose cold servers bear fewer calls. */
export class ColdRules {
    private readonly rules = new Map<string, ColdRule>();

    /** @param bounds See {@linkcode ColdBounds}. */
    constructor(private readonly bounds: ColdBounds) {}

    /** Replaces the rules by those of a configuration. */
    apply(services: Iterable<RelayService>): void {
        this.rules.clear();
        const { overage, slack } = this.bounds;
        for (const { name, coldStart } of services) {
            if (coldStart !== undefined) {
                const { callsPerSecond, durationMs } = coldStart;
                const limits = boundedRate(callsPerSecond * overage + slack, callsPerSecond);
                this.rules.set(name, { durationMs, limits });
            }
        }
    }

    /** Finds the rule of a service. */
    find(service: string): ColdRule | undefined {
        return this.rules.get(service);
    }
}
