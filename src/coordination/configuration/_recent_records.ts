/**
 * Recent configuration records for peers that cannot read the log.
 *
 * @module
 */

import type { LogRecord } from "../../protocol/mod.js";

/** Maximum number of records in memory. */
export const MAX_KEPT_RECORDS = 1_024;

/** Maximum total size of the records in memory, in bytes. */
export const MAX_KEPT_RECORD_BYTES = 1024 * 1024;

/** Maximum number of records in one reply to a peer. */
const MAX_PAGE_RECORDS = 256;

/** Holds the most recent records of the configuration stream, contiguous up to the next offset. */
export class RecentRecords {
    private records: LogRecord[] = [];
    private bytes = 0;
    private firstOffset = 0;

    /** Number of records in memory. */
    get size(): number {
        return this.records.length;
    }

    /** Adds the next record and evicts the oldest ones over the limits. */
    add(record: LogRecord): void {
        this.records.push(record);
        this.bytes += record.data.length;
        while (this.records.length > MAX_KEPT_RECORDS || this.bytes > MAX_KEPT_RECORD_BYTES) {
            const evicted = this.records.shift() as LogRecord;
            this.bytes -= evicted.data.length;
            this.firstOffset = evicted.offset + 1;
        }
    }

    /** Removes all records. The next record that is added must have this offset or a later one. */
    reset(offset: number): void {
        this.records = [];
        this.bytes = 0;
        this.firstOffset = offset;
    }

    /**
     * Returns a bounded number of records, starting at an offset.
     *
     * @returns The records, or `undefined` when the offset is older than the oldest record in memory.
     */
    readFrom(offset: number): readonly LogRecord[] | undefined {
        if (offset < this.firstOffset) {
            return undefined;
        }
        return this.records.filter(record => record.offset >= offset).slice(0, MAX_PAGE_RECORDS);
    }
}
