/**
 * Log of the platform whose topics keep the newest record of each key.
 *
 * @module
 */

/** Record of a keyed topic. */
export interface KeyedRecord {
    readonly key: string;
    /** `undefined` when the key was dropped. */
    readonly value: Uint8Array | undefined;
    readonly offset: number;
}

/** Records of a keyed topic and where it ended when they were read. */
export interface KeyedPage {
    readonly records: readonly KeyedRecord[];
    /** Offset that the next record will get. */
    readonly endOffset: number;
}

/** Offset from which a read was tried that the log no longer keeps. */
export class CompactedError extends Error {
    override readonly name = "CompactedError";

    /**
     * @param topic Topic that was read.
     * @param fromOffset Offset that was asked for.
     */
    constructor(readonly topic: string, readonly fromOffset: number) {
        super(`Cannot read topic ${topic} from offset ${fromOffset}: the records were deleted`);
    }
}

/** Condition of an append that did not hold. */
export class AppendConflictError extends Error {
    override readonly name = "AppendConflictError";

    /** @param topic Topic that had grown. */
    constructor(readonly topic: string) {
        super(`Cannot append to topic ${topic}: it has grown since it was read`);
    }
}

/** Settings of a read. */
export interface KeyedReadSettings {
    /** Time for which the log may wait for a record, in milliseconds. Defaults to 0. */
    readonly waitMs?: number;
}

/** Connection to the platform's keyed topics. */
export abstract class KeyedLog {
    /**
     * Returns the newest record of each key.
     *
     * @throws {PlatformError} When no answer came.
     */
    abstract readNewest(topic: string): Promise<KeyedPage>;

    /**
     * Returns records from an offset on.
     *
     * @throws {CompactedError} When records from that offset on are gone.
     * @throws {PlatformError} When no answer came.
     */
    abstract read(topic: string, fromOffset: number, settings?: KeyedReadSettings): Promise<KeyedPage>;

    /**
     * Appends the newest record of a key.
     *
     * @param endOffset Offset at which the topic must end; left out when any will do.
     * @throws {AppendConflictError} When the topic ends elsewhere.
     * @throws {PlatformError} When no answer came; the record can have landed all the same.
     */
    abstract append(topic: string, key: string, value: Uint8Array, endOffset?: number): Promise<void>;
}
