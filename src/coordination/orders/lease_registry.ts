/**
 * Current leases, derived from the records of the lease stream.
 *
 * @module
 */

import { type LeaseRecord, LeaseRecordKind } from "../../protocol/mod.js";

/** Exclusive right of one node to send orders to a group of backend servers. */
export interface Lease {
    readonly group: string;
    readonly holder: string;
    /** Offset of the record that acquired the lease; it increases with each new lease of the group. */
    readonly fencingNumber: number;
    /** Offset of the last record that changed the lease. */
    readonly revision: number;
    /** Expiry time by the holder's clock, in milliseconds since the Unix epoch. */
    readonly expiresAtMs: number;
    /** Expiry time of the previous lease by its holder's clock; 0 if there was none or it was released. */
    readonly previousExpiresAtMs: number;
    readonly released: boolean;
}

/** Replicated state machine of the leases: the same records in the same order give the same state on every node. */
export class LeaseRegistry {
    private readonly leases = new Map<string, Lease>();
    private readonly seenRecordIds = new Set<string>();

    /** Returns the latest lease of a group, which may have expired or been released. */
    get(group: string): Lease | undefined {
        return this.leases.get(group);
    }

    /** Returns whether a record with that id has been applied. */
    hasSeen(recordId: string): boolean {
        return this.seenRecordIds.has(recordId);
    }

    /**
     * Applies a record. It has no effect if its id was applied before or its `madeAgainst` is not the group's latest revision.
     *
     * @param offset Offset of the record.
     * @param record Record to apply.
     */
    apply(offset: number, record: LeaseRecord): void {
        const current = this.leases.get(record.group);
        const isCurrent = !this.seenRecordIds.has(record.id) && record.madeAgainst === (current?.revision ?? -1);
        this.seenRecordIds.add(record.id);
        if (!isCurrent) {
            return;
        }
        if (record.kind === LeaseRecordKind.Acquired) {
            this.acquire(offset, record, current);
            return;
        }
        if (current === undefined || current.holder !== record.holder || current.released) {
            return;
        }
        const released = record.kind === LeaseRecordKind.Released;
        this.leases.set(record.group, { ...current, revision: offset, released, expiresAtMs: record.expiresAtMs });
    }

    private acquire(offset: number, record: LeaseRecord, current: Lease | undefined): void {
        const { group, holder, expiresAtMs } = record;
        const previousExpiresAtMs = current === undefined || current.released ? 0 : current.expiresAtMs;
        this.leases.set(group, {
            ...{ group, holder, expiresAtMs, previousExpiresAtMs },
            fencingNumber: offset,
            revision: offset,
            released: false,
        });
    }
}
