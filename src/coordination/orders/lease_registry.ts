/**
 * Leases as the records of the log make them.
 *
 * @module
 */

import { type LeaseRecord, LeaseRecordKind } from "../../protocol/mod.js";

/** Right of one node to give orders to a group of backend servers. */
export interface Lease {
    readonly group: string;
    readonly holder: string;
    /** Offset of the record by which the lease was taken; a later lease has a higher one. */
    readonly fencingNumber: number;
    /** Offset of the lease's last record. */
    readonly revision: number;
    /** End by the holder's clock, in milliseconds since the Unix epoch. */
    readonly expiresAtMs: number;
    /** End of the lease before, by its holder's clock; 0 when there was none or it was released. */
    readonly previousExpiresAtMs: number;
    readonly released: boolean;
}

/** Keeps the leases; the same records in the same order give the same state on every node. */
export class LeaseRegistry {
    private readonly leases = new Map<string, Lease>();
    private readonly seenRecordIds = new Set<string>();

    /** Returns the last lease of a group. */
    get(group: string): Lease | undefined {
        return this.leases.get(group);
    }

    /** Tells whether the record of that id has been read. */
    hasSeen(recordId: string): boolean {
        return this.seenRecordIds.has(recordId);
    }

    /**
     * Applies a record; one that was made against an older record of its group has no effect.
     *
     * @param offset Offset of the record.
     * @param record Record.
     */
    apply(offset: number, record: LeaseRecord): void {
        const current = this.leases.get(record.group);
        const fresh = !this.seenRecordIds.has(record.id) && record.madeAgainst === (current?.revision ?? -1);
        this.seenRecordIds.add(record.id);
        if (!fresh) {
            return;
        }
        if (record.kind === LeaseRecordKind.Taken) {
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
