/**
 * Records that a node keeps for peers which cannot read the log.
 *
 * @module
 */

import type { LogRecord } from "../../protocol/mod.js";

/** Most records kept. */
export const MAX_KEPT_RECORDS = 1_024;

/** Most bytes of records kept. */
export const MAX_KEPT_RECORD_BYTES = 1024 * 1024;

/** Most records sent to a peer at a time. */
const MAX_PAGE_RECORDS = 256;

/** The last records of the configuration stream, without a gap up to the next offset. */
export class RecentRecords {
    private records: LogRecord[] = [];
    private bytes = 0;
    private firstOffset = 0;

    /** Number of records kept now. */
    get size(): number {
        return this.records.length;
    }

    /** Adds the next record. */
    add(record: LogRecord): void {
        this.records.push(record);
        this.bytes += record.data.length;
        while (this.records.length > MAX_KEPT_RECORDS || this.bytes > MAX_KEPT_RECORD_BYTES) {
            const dropped = this.records.shift() as LogRecord;
            this.bytes -= dropped.data.length;
            this.firstOffset = dropped.offset + 1;
        }
    }

    /** Drops all records; the next one that is added has this offset or a later one. */
    reset(offset: number): void {
        this.records = [];
        this.bytes = 0;
        this.firstOffset = offset;
    }

    /**
     * Returns records from an offset on.
     *
     * @returns The records, or `undefined` when older ones are asked for than are kept.
     */
    readFrom(offset: number): readonly LogRecord[] | undefined {
        if (offset < this.firstOffset) {
            return undefined;
        }
        return this.records.filter(record => record.offset >= offset).slice(0, MAX_PAGE_RECORDS);
    }
}
