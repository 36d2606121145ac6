/**
 * The platform's log service: append-only streams with offsets.
 *
 * @module
 */

/** Record of a stream. */
export interface LogRecord {
    readonly offset: number;
    readonly data: Uint8Array;
}

/** Result of a read. */
export interface LogPage {
    readonly records: readonly LogRecord[];
    /** Oldest offset still kept. */
    readonly firstOffset: number;
    /** Offset that the next record will get. */
    readonly endOffset: number;
}

/** Settings of a read. */
export interface LogReadSettings {
    /** Largest number of records. Defaults to 1,000. */
    readonly maxRecords?: number;
    /** Time to wait for a record when there is none, in milliseconds. Defaults to 0. */
    readonly waitMs?: number;
}

/** Connection to the log service. */
export abstract class LogService {
    /**
     * Appends a record.
     *
     * @returns Offset of the record.
     * @throws {PlatformError} When no answer came; the record can have landed all the same.
     */
    abstract append(stream: string, data: Uint8Array): Promise<number>;

    /**
     * Reads records from an offset on; older ones than are kept are skipped.
     *
     * @throws {PlatformError} When no answer came.
     */
    abstract read(stream: string, fromOffset: number, settings?: LogReadSettings): Promise<LogPage>;
}
