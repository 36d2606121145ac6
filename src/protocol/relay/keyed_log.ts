/**
 * Interface to the platform's compacted log, whose topics retain the newest record of each key.
 *
 * @module
 */

/** Record of a compacted topic. */
export interface KeyedRecord {
    readonly key: string;
    /** Value, or `undefined` when the record is a tombstone that deletes the key. */
    readonly value: Uint8Array | undefined;
    readonly offset: number;
}

/** Place in a topic. Offsets of different eras cannot be compared, because a restored log gives out offsets again. */
export interface LogPosition {
    /** Era of the log, which increases each time it is restored from an older copy. */
    readonly era: number;
    readonly offset: number;
}

/** Records of a compacted topic and the end of the topic at the time of the read. */
export interface KeyedPage {
    readonly records: readonly KeyedRecord[];
    /** Offset that the next appended record will get. */
    readonly endOffset: number;
    /** Era of the log that answered. */
    readonly era: number;
}

/** Failure of a read from an offset whose records the log no longer retains. */
export class CompactedError extends Error {
    override readonly name = "CompactedError";

    /**
     * @param topic Topic that was read.
     * @param fromOffset Requested offset.
     */
    constructor(readonly topic: string, readonly fromOffset: number) {
        super(`Cannot read topic ${topic} from offset ${fromOffset}: the records were deleted`);
    }
}

/** Failure of a conditional append because the topic does not end at the expected offset. */
export class AppendConflictError extends Error {
    override readonly name = "AppendConflictError";

    /** @param topic Topic to which other records were appended. */
    constructor(readonly topic: string) {
        super(`Cannot append to topic ${topic}: it has grown since it was read`);
    }
}

/** Failure of a call that was answered from an earlier era of the log than one already seen. */
export class OutdatedEraError extends Error {
    override readonly name = "OutdatedEraError";

    /**
     * @param step Operation that failed, such as `read topic nodes`.
     * @param era Era of the answer.
     * @param newestEra Newest era seen.
     */
    constructor(readonly step: string, readonly era: number, readonly newestEra: number) {
        super(`Cannot ${step}: the answer is of era ${era}, and the log has reached era ${newestEra}`);
    }
}

/** Settings of a read of the newest records. */
export interface NewestReadSettings {
    /** Time for the log to answer each request, in milliseconds; the client has a default. */
    readonly answerTimeoutMs?: number;
}

/** Settings of a read from an offset on. */
export interface KeyedReadSettings extends NewestReadSettings {
    /** Maximum time for which the log waits for a record, in milliseconds. Defaults to 0. */
    readonly waitMs?: number;
}

/** Client for the platform's compacted topics. */
export abstract class KeyedLog {
    /**
     * Returns the newest record of each key.
     *
     * @throws {PlatformError} When no answer was received.
     */
    abstract readNewest(topic: string, settings?: NewestReadSettings): Promise<KeyedPage>;

    /**
     * Returns records from an offset on.
     *
     * @throws {CompactedError} When records from that offset on are no longer retained.
     * @throws {PlatformError} When no answer was received.
     */
    abstract read(topic: string, fromOffset: number, settings?: KeyedReadSettings): Promise<KeyedPage>;

    /**
     * Appends a record, which becomes the newest of its key.
     *
     * @param endOffset Expected end offset of the topic; omitted for an unconditional append.
     * @returns Era in which the record was appended.
     * @throws {AppendConflictError} When the topic ends at another offset.
     * @throws {PlatformError} When no answer was received; the record may have been appended nevertheless.
     */
    abstract append(topic: string, key: string, value: Uint8Array, endOffset?: number): Promise<number>;
}
