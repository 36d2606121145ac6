/**
 * Times at which this failure domain last reached each other failure domain.
 *
 * @module
 */

import type { wire } from "../../protocol/mod.js";
import type { Clock } from "../../state/mod.js";

/** Time without contact after which a failure domain is unreachable, in milliseconds. */
const UNREACHABLE_AFTER_MS = 8_000;

/** Maximum number of failure domains whose last contact is kept; every further one is always treated as reachable. */
export const MAX_FAILURE_DOMAINS = 64;

/** Last contact with each failure domain. Merging keeps the latest time, so the result does not depend on the order of reports. */
export class DomainContacts {
    private readonly lastContactAtMs = new Map<string, number>();

    /** @param clock Clock against which ages are measured. */
    constructor(private readonly clock: Clock) {}

    /** Number of failure domains with a recorded contact. */
    get size(): number {
        return this.lastContactAtMs.size;
    }

    /** Records a contact with a failure domain, `ageMs` milliseconds ago. */
    record(failureDomain: string, ageMs = 0): void {
        const atMs = this.clock.now() - ageMs;
        const known = this.lastContactAtMs.get(failureDomain);
        if (known === undefined ? this.lastContactAtMs.size < MAX_FAILURE_DOMAINS : known < atMs) {
            this.lastContactAtMs.set(failureDomain, atMs);
        }
    }

    /** Returns whether a failure domain is reachable. The timeout of an unknown failure domain starts at the first call. */
    isReachable(failureDomain: string): boolean {
        const atMs = this.lastContactAtMs.get(failureDomain);
        if (atMs === undefined) {
            this.record(failureDomain);
            return true;
        }
        return this.clock.now() - atMs <= UNREACHABLE_AFTER_MS;
    }

    /** Merges the contacts reported by another node of this failure domain. */
    merge(contacts: readonly wire.DomainContact[]): void {
        for (const contact of contacts) {
            this.record(contact.failureDomain, contact.ageMs);
        }
    }

    /** Converts the contacts to their wire format. */
    toRecords(): wire.DomainContact[] {
        const nowMs = this.clock.now();
        return [...this.lastContactAtMs].map(([failureDomain, atMs]) => ({
            failureDomain,
            ageMs: Math.max(0, Math.round(nowMs - atMs)),
        }));
    }
}
