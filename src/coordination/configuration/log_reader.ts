/**
 * Continuous reading of the configuration stream.
 *
 * @module
 */

import { CONFIGURATION_STREAM, type LogService } from "../../protocol/mod.js";
import { type Clock, type EventRing, Part } from "../../state/mod.js";
import { withTimeout } from "./_timeout.js";
import type { ConfigurationStateMachine } from "./configuration_state_machine.js";
import type { SnapshotStore } from "./snapshot_store.js";

/** Long-poll time of a read without new records, in milliseconds. */
const READ_WAIT_MS = 2_000;

/** Time after which a read counts as overdue and records are fetched from peers while it continues, in milliseconds. */
const READ_OVERDUE_MS = READ_WAIT_MS + 500;

/** Time after which a read is abandoned, in milliseconds; long enough for a slow log to answer. */
const READ_TIMEOUT_MS = READ_WAIT_MS + 10_000;

/** Delay after a failed read, in milliseconds. */
const READ_RETRY_DELAY_MS = 500;

/** Settings of a {@linkcode LogReader}. */
export interface LogReaderSettings {
    readonly clock: Clock;
    readonly ring: EventRing;
    readonly log: LogService;
    readonly stateMachine: ConfigurationStateMachine;
    readonly snapshots: SnapshotStore;
}

/** Reads the configuration stream from the last snapshot on; uses snapshots to skip records that the log no longer retains. */
export class LogReader {
    private initialSnapshotChecked = false;
    private failed = false;
    private gapReported = false;

    /** @param settings See {@linkcode LogReaderSettings}. */
    constructor(private readonly settings: LogReaderSettings) {}

    /** Whether the last read failed or the current one is overdue. */
    get isFailing(): boolean {
        return this.failed;
    }

    /** Reads until the signal is aborted; failed and timed-out reads are retried. */
    async run(signal: AbortSignal): Promise<void> {
        const { clock } = this.settings;
        while (!signal.aborted) {
            try {
                const advanced = await this.readOnce(signal);
                this.setFailed(false, "The log can be read.");
                if (!advanced) {
                    await clock.sleep(READ_RETRY_DELAY_MS, signal);
                }
            }
            catch (error) {
                if (!signal.aborted) {
                    this.setFailed(true, `${(error as Error).message}.`);
                    await clock.sleep(READ_RETRY_DELAY_MS, signal);
                }
            }
        }
    }

    /** Reads one page; returns `false` when records are missing and no snapshot covers them. */
    private async readOnce(signal: AbortSignal): Promise<boolean> {
        const { clock, log, stateMachine, snapshots } = this.settings;
        if (!this.initialSnapshotChecked) {
            await this.installLatestSnapshot(signal);
            this.initialSnapshotChecked = true;
        }
        const fromOffset = stateMachine.nextOffset;
        const read = log.read(CONFIGURATION_STREAM, fromOffset, { waitMs: READ_WAIT_MS });
        const step = `read stream ${CONFIGURATION_STREAM}`;
        const page = await this.reportIfOverdue(withTimeout(read, { clock, signal, step, timeoutMs: READ_TIMEOUT_MS }));
        const last = page.records.at(-1);
        const nextOffset = last === undefined ? fromOffset : last.offset + 1;
        if (stateMachine.applyRange({ fromOffset: Math.max(fromOffset, page.firstOffset), nextOffset, records: page.records })) {
            this.gapReported = false;
            return true;
        }
        snapshots.forgetLatest();
        return await this.installLatestSnapshot(signal) || this.reportGap(page.firstOffset);
    }

    private async reportIfOverdue<Value>(read: Promise<Value>): Promise<Value> {
        const answered = new AbortController();
        const report = (overdue: boolean) => {
            if (overdue) {
                this.setFailed(true, `The log has not answered within ${READ_OVERDUE_MS} ms; records are fetched from peers.`);
            }
        };
        void this.settings.clock.sleep(READ_OVERDUE_MS, answered.signal).then(report);
        try {
            return await read;
        }
        finally {
            answered.abort();
        }
    }

    private async installLatestSnapshot(signal: AbortSignal): Promise<boolean> {
        const { stateMachine, snapshots } = this.settings;
        const latest = await snapshots.readLatest(signal);
        return latest !== undefined && stateMachine.installSnapshot(latest);
    }

    private reportGap(firstOffset: number): false {
        const { ring, stateMachine } = this.settings;
        if (!this.gapReported) {
            this.gapReported = true;
            const text = `Records ${stateMachine.nextOffset} to ${
                firstOffset - 1
            } are no longer in the log and no snapshot covers them.`;
            ring.record({ part: Part.Configuration, kind: "gap", text, warning: true });
        }
        return false;
    }

    private setFailed(failed: boolean, text: string): void {
        if (this.failed === failed) {
            return;
        }
        this.failed = failed;
        const kind = failed ? "readFailed" : "readRecovered";
        this.settings.ring.record({ part: Part.Configuration, kind, text, warning: failed });
    }
}
