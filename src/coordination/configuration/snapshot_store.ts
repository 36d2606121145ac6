/**
 * Snapshots of the configuration in a dedicated stream of the log.
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
import { withTimeout } from "./_timeout.js";
import type { ConfigurationStateMachine } from "./configuration_state_machine.js";

/** Age of the last snapshot at which the next one is due, in milliseconds. */
export const SNAPSHOT_INTERVAL_MS = 3_600_000;

/** Number of records after the last snapshot at which the next one is due. */
const SNAPSHOT_INTERVAL_RECORDS = 512;

/** Time between two checks whether a snapshot is due, in milliseconds. */
const CHECK_INTERVAL_MS = 60_000;

/** Maximum random delay before a due snapshot is written, so that usually only one node writes it, in milliseconds. */
const MAX_WRITE_JITTER_MS = 600_000;

/** Number of snapshots per read, from the end of the stream backwards. */
const READ_BATCH_RECORDS = 4;

/** Maximum duration of a read, in milliseconds. */
const READ_TIMEOUT_MS = 5_000;

/** Settings of a {@linkcode SnapshotStore}. */
export interface SnapshotStoreSettings {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly ring: EventRing;
    readonly log: LogService;
    readonly stateMachine: ConfigurationStateMachine;
}

/**
 * Reads the latest snapshot and writes a new one when it is due.
 *
 * The state in a snapshot is a function of the log up to its offset, so snapshots of concurrent writers are each correct for their
 * offset. A reader uses the one with the highest offset, in whatever order they were appended.
 */
export class SnapshotStore {
    private latestSnapshot: ConfigurationSnapshot | undefined;

    /** @param settings See {@linkcode SnapshotStoreSettings}. */
    constructor(private readonly settings: SnapshotStoreSettings) {}

    /** Forgets the latest known snapshot. */
    forgetLatest(): void {
        this.latestSnapshot = undefined;
    }

    /**
     * Reads the snapshot with the highest offset from the last batch that contains a valid one.
     *
     * @param signal Ends the wait for the log when aborted.
     * @returns The snapshot, or `undefined` when the stream contains no valid one.
     * @throws {PlatformError} When the log did not answer.
     */
    async readLatest(signal: AbortSignal): Promise<ConfigurationSnapshot | undefined> {
        const { firstOffset, endOffset } = await this.read(0, 1, signal);
        let newest: ConfigurationSnapshot | undefined;
        for (let end = endOffset; newest === undefined && end > firstOffset; end -= READ_BATCH_RECORDS) {
            const from = Math.max(firstOffset, end - READ_BATCH_RECORDS);
            const { records } = await this.read(from, end - from, signal);
            for (const { data } of records) {
                const snapshot = decodeSnapshot(data);
                if (snapshot !== undefined && (newest === undefined || isNewer(snapshot, newest))) {
                    newest = snapshot;
                }
            }
        }
        this.latestSnapshot = newest;
        return newest;
    }

    /**
     * Writes snapshots when they are due, until the signal is aborted.
     *
     * @param signal Ends the task.
     * @param canRead Returns whether this node can read the log.
     */
    async run(signal: AbortSignal, canRead: () => boolean): Promise<void> {
        const { clock, random } = this.settings;
        while (await clock.sleep(CHECK_INTERVAL_MS, signal)) {
            if (!canRead() || !this.isDue()) {
                continue;
            }
            if (!await clock.sleep(Math.floor(random.next() * MAX_WRITE_JITTER_MS), signal)) {
                return;
            }
            try {
                await this.readLatest(signal);
                await this.writeIfDue();
            }
            catch (error) {
                if (signal.aborted) {
                    return;
                }
                this.recordEvent("snapshotFailed", `${(error as Error).message}.`, true);
            }
        }
    }

    /**
     * Writes a snapshot if the latest known one is too old or too many records follow it.
     *
     * @returns Whether a snapshot was written.
     * @throws {PlatformError} When the log did not answer; the snapshot may have been appended nevertheless, which is harmless.
     */
    async writeIfDue(): Promise<boolean> {
        const snapshot = this.settings.stateMachine.snapshot();
        if (snapshot === undefined || !this.isDue()) {
            return false;
        }
        await this.settings.log.append(SNAPSHOT_STREAM, encodeSnapshot(snapshot));
        this.latestSnapshot = snapshot;
        this.recordEvent("snapshot", `A snapshot up to offset ${snapshot.nextOffset} is in the log.`, false);
        return true;
    }

    private isDue(): boolean {
        const { stateMachine, clock } = this.settings;
        if (stateMachine.snapshot() === undefined) {
            return false;
        }
        const { latestSnapshot: latest } = this;
        if (latest === undefined) {
            return true;
        }
        if (latest.nextOffset > stateMachine.nextOffset) {
            return false;
        }
        // A snapshot dated in the future, from a writer whose clock is ahead, must not block further snapshots.
        const ageMs = clock.now() - latest.atMs;
        return ageMs >= SNAPSHOT_INTERVAL_MS || ageMs < -SNAPSHOT_INTERVAL_MS ||
            stateMachine.nextOffset - latest.nextOffset >= SNAPSHOT_INTERVAL_RECORDS;
    }

    private read(fromOffset: number, maxRecords: number, signal: AbortSignal) {
        const { log, clock } = this.settings;
        const step = `read stream ${SNAPSHOT_STREAM}`;
        return withTimeout(log.read(SNAPSHOT_STREAM, fromOffset, { maxRecords }), {
            clock,
            signal,
            step,
            timeoutMs: READ_TIMEOUT_MS,
        });
    }

    private recordEvent(kind: string, text: string, warning: boolean): void {
        this.settings.ring.record({ part: Part.Configuration, kind, text, warning });
    }
}

/** Returns whether a snapshot has a higher offset than another, or the same offset and a later time: the log retains it longer. */
function isNewer(left: ConfigurationSnapshot, right: ConfigurationSnapshot): boolean {
    return left.nextOffset > right.nextOffset || left.nextOffset === right.nextOffset && left.atMs > right.atMs;
}
