/**
 * Interface to the platform's log service, which stores append-only streams.
 *
 * @module
 */

/** Record of a stream. */
export interface LogRecord {
    readonly offset: number;
    readonly data: Uint8Array;
}

/** Result of a read: consecutive records and the bounds of the stream. */
export interface LogPage {
    readonly records: readonly LogRecord[];
    /** Oldest offset that is still retained. */
    readonly firstOffset: number;
    /** Offset that the next appended record will get. */
    readonly endOffset: number;
}

/** Settings of a read. */
export interface LogReadSettings {
    /** Maximum number of records to return. Defaults to 1,000. */
    readonly maxRecords?: number;
    /** Maximum time to wait for a record when there is none, in milliseconds. Defaults to 0. */
    readonly waitMs?: number;
}

/** Client for the log service. */
export abstract class LogService {
    /**
     * Appends a record to a stream.
     *
     * @returns Offset of the record.
     * @throws {PlatformError} When no answer was received; the record may have been appended nevertheless.
     */
    abstract append(stream: string, data: Uint8Array): Promise<number>;

    /**
     * Reads records from an offset on; records that are no longer retained are skipped.
     *
     * @throws {PlatformError} When no answer was received.
     */
    abstract read(stream: string, fromOffset: number, settings?: LogReadSettings): Promise<LogPage>;
}
