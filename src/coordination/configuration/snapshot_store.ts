/**
 * Snapshots of the configuration in a stream of the system's own.
 *
 * @module
 */

import {
    type ConfigurationSnapshot,
    decodeSnapshot,
    encodeSnapshot,
    type LogService,
    SNAPSHOT_STREAM,
} from "../../protocol/mod.js";
import { type Clock, type EventRing, Part, type RandomSource } from "../../state/mod.js";
import { withinTime } from "./_time_limit.js";
import type { ConfigurationJournal } from "./configuration_journal.js";

/** Age of the last snapshot at which another is written, in milliseconds. */
export const SNAPSHOT_INTERVAL_MS = 3_600_000;

/** Records after the last snapshot at which another is written. */
const SNAPSHOT_INTERVAL_RECORDS = 512;

/** Time between two looks at whether a snapshot is due, in milliseconds. */
const CHECK_INTERVAL_MS = 60_000;

/** Longest random wait before a due snapshot is written, so that one node writes and the others see it, in milliseconds. */
const MAX_WRITE_JITTER_MS = 600_000;

/** Snapshots read at a time, from the end of the stream backwards. */
const READ_BATCH_RECORDS = 4;

/** Longest time of a call to the log, in milliseconds. */
const READ_TIMEOUT_MS = 5_000;

/** Settings of a {@linkcode SnapshotStore}. */
export interface SnapshotStoreSettings {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly ring: EventRing;
    readonly log: LogService;
    readonly journal: ConfigurationJournal;
}

/**
 * Reads the last snapshot, and writes one when it is due.
 *
 * A snapshot is a function of the log up to its offset, so two writers at once write equal ones, or two of which each is right for
 * its offset. A reader takes the one that covers most, in whatever order they landed.
 */
export class SnapshotStore {
    private latestSnapshot: ConfigurationSnapshot | undefined;

    /** @param settings See {@linkcode SnapshotStoreSettings}. */
    constructor(private readonly settings: SnapshotStoreSettings) {}

    /** Drops what is known of the last snapshot. */
    forgetLatest(): void {
        this.latestSnapshot = undefined;
    }

    /**
     * Reads the snapshot that covers most among the last ones.
     *
     * @param signal Gives the read up when aborted.
     * @returns The snapshot, or `undefined` when the stream holds none that is valid.
     * @throws {PlatformError} When the log did not answer.
     */
    async readLatest(signal: AbortSignal): Promise<ConfigurationSnapshot | undefined> {
        const { firstOffset, endOffset } = await this.read(0, 1, signal);
        let best: ConfigurationSnapshot | undefined;
        for (let end = endOffset; best === undefined && end > firstOffset; end -= READ_BATCH_RECORDS) {
            const from = Math.max(firstOffset, end - READ_BATCH_RECORDS);
            const { records } = await this.read(from, end - from, signal);
            for (const { data } of records) {
                const snapshot = decodeSnapshot(data);
                if (snapshot !== undefined && (best === undefined || isNewer(snapshot, best))) {
                    best = snapshot;
                }
            }
        }
        this.latestSnapshot = best;
        return best;
    }

    /**
     * Writes snapshots when they are due, until the signal is aborted.
     *
     * @param signal Ends the task.
     * @param canRead Whether this node can read the log now.
     */
    async run(signal: AbortSignal, canRead: () => boolean): Promise<void> {
        const { clock, random } = this.settings;
        while (await clock.sleep(CHECK_INTERVAL_MS, signal)) {
            if (!canRead() || !this.isDue()) {
                continue;
            }
            await clock.sleep(Math.floor(random.next() * MAX_WRITE_JITTER_MS), signal);
            try {
                await this.readLatest(signal);
                await this.writeIfDue();
            }
            catch (error) {
                this.recordEvent("snapshotFailed", `${(error as Error).message}.`, true);
            }
        }
    }

    /**
     * Writes a snapshot if the last one known is old or covers too little.
     *
     * @returns Whether one was written.
     * @throws {PlatformError} When the log did not answer; the snapshot can have landed all the same, which does no harm.
     */
    async writeIfDue(): Promise<boolean> {
        const snapshot = this.settings.journal.snapshot();
        if (snapshot === undefined || !this.isDue()) {
            return false;
        }
        await this.settings.log.append(SNAPSHOT_STREAM, encodeSnapshot(snapshot));
        this.latestSnapshot = snapshot;
        this.recordEvent("snapshot", `A snapshot up to offset ${snapshot.nextOffset} is in the log.`, false);
        return true;
    }

    private isDue(): boolean {
        const { journal, clock } = this.settings;
        if (journal.snapshot() === undefined) {
            return false;
        }
        const { latestSnapshot: latest } = this;
        if (latest === undefined) {
            return true;
        }
        if (latest.nextOffset > journal.nextOffset) {
            return false;
        }
        // A writer whose clock is ahead must not keep the others from writing.
        const ageMs = clock.now() - latest.atMs;
        return ageMs >= SNAPSHOT_INTERVAL_MS || ageMs < -SNAPSHOT_INTERVAL_MS ||
            journal.nextOffset - latest.nextOffset >= SNAPSHOT_INTERVAL_RECORDS;
    }

    private read(fromOffset: number, maxRecords: number, signal: AbortSignal) {
        const { log, clock } = this.settings;
        const step = `read stream ${SNAPSHOT_STREAM}`;
        return withinTime(log.read(SNAPSHOT_STREAM, fromOffset, { maxRecords }), {
            clock,
            signal,
            step,
            limitMs: READ_TIMEOUT_MS,
        });
    }

    private recordEvent(kind: string, text: string, warning: boolean): void {
        this.settings.ring.record({ part: Part.Configuration, kind, text, warning });
    }
}

/** Tells whether a snapshot covers more than another, or as much and is younger, so that it stays in the log for longer. */
function isNewer(left: ConfigurationSnapshot, right: ConfigurationSnapshot): boolean {
    return left.nextOffset > right.nextOffset || left.nextOffset === right.nextOffset && left.atMs > right.atMs;
}
