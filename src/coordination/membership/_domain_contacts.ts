/**
 * Last contact of this failure domain with each other one.
 *
 * @module
 */

import type { wire } from "../../protocol/mod.js";
import type { Clock } from "../../state/mod.js";

/** Time without contact after which a failure domain counts as out of reach, in milliseconds. */
const UNREACHABLE_AFTER_MS = 8_000;

/** Other failure domains whose contact is kept; the rest count as reached at start. */
export const MAX_FAILURE_DOMAINS = 64;

/** Times of the last contacts; of two reports the more recent one wins, so that all orders of arrival give one result. */
export class DomainContacts {
    private readonly lastContactAtMs = new Map<string, number>();

    /** @param clock Clock that ages are measured by. */
    constructor(private readonly clock: Clock) {}

    /** Number of failure domains kept. */
    get size(): number {
        return this.lastContactAtMs.size;
    }

    /** Records that a node of a failure domain answered. */
    record(failureDomain: string, ageMs = 0): void {
        const atMs = this.clock.now() - ageMs;
        const known = this.lastContactAtMs.get(failureDomain);
        if (known === undefined ? this.lastContactAtMs.size < MAX_FAILURE_DOMAINS : known < atMs) {
            this.lastContactAtMs.set(failureDomain, atMs);
        }
    }

    /** Tells whether a failure domain can be reached, as far as is known. Gives a domain that is new the whole time. */
    isReachable(failureDomain: string): boolean {
        const atMs = this.lastContactAtMs.get(failureDomain);
        if (atMs === undefined) {
            this.record(failureDomain);
            return true;
        }
        return this.clock.now() - atMs <= UNREACHABLE_AFTER_MS;
    }

    /** Takes the contacts that a node of this failure domain reports. */
    merge(contacts: readonly wire.DomainContact[]): void {
        for (const contact of contacts) {
            this.record(contact.failureDomain, contact.ageMs);
        }
    }

    /** Returns the contacts as a message. */
    toRecords(): wire.DomainContact[] {
        const nowMs = this.clock.now();
        return [...this.lastContactAtMs].map(([failureDomain, atMs]) => ({
            failureDomain,
            ageMs: Math.max(0, Math.round(nowMs - atMs)),
        }));
    }
}
