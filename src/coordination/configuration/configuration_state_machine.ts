/**
 * State machine that applies the records of the configuration stream.
 *
 * @module
 */

import { createAdapter } from "@most/adapter";
import type { Stream } from "@most/types";
import {
    applyAndCheck,
    type ConfigurationRecord,
    type ConfigurationSnapshot,
    decodeConfigurationRecord,
    type LogRecord,
    RecordKind,
} from "../../protocol/mod.js";
import { type Clock, type ConfigurationView, describeChanges, type EventRing, Part } from "../../state/mod.js";
import { ChangeHistory } from "./_change_history.js";
import { RecentRecords } from "./_recent_records.js";
import { ChangeOutcome, type RecordOutcome } from "./change_outcome.js";

/**
 * Maximum number of ids of applied changes that are kept to detect duplicates. All nodes and snapshots keep the same ids; at 4,000
 * changes a day they cover the last 6 hours.
 */
const MAX_APPLIED_IDS = 1_024;

/** Settings of a {@linkcode ConfigurationStateMachine}. */
export interface ConfigurationStateMachineSettings {
    readonly clock: Clock;
    readonly ring: EventRing;
    readonly view: ConfigurationView;
}

/** Range of offsets of the stream, with all records in it that the source still retains. */
export interface RecordRange {
    /** First offset of the range. */
    readonly fromOffset: number;
    /** Offset after the last one of the range. */
    readonly nextOffset: number;
    readonly records: readonly LogRecord[];
}

/**
 * Applies records in log order, whether they come from the log or from a peer.
 *
 * The configuration in force is a function of the records below {@linkcode nextOffset} only, and that offset never decreases, so a
 * source with stale data cannot revert it.
 */
export class ConfigurationStateMachine {
    /** Emits {@linkcode nextOffset} whenever it increases. */
    readonly advances: Stream<number>;
    readonly history = new ChangeHistory();
    readonly recentRecords = new RecentRecords();
    /** Number of records skipped as malformed, invalid or of a later format. */
    skippedCount = 0;
    private readonly emitAdvance: (nextOffset: number) => void;
    private appliedVersions = new Map<string, number>();
    private currentOffset = 0;
    private isStateComplete = true;

    /** @param settings See {@linkcode ConfigurationStateMachineSettings}. */
    constructor(private readonly settings: ConfigurationStateMachineSettings) {
        [this.emitAdvance, this.advances] = createAdapter<number>();
    }

    /** Offset of the next record to apply. */
    get nextOffset(): number {
        return this.currentOffset;
    }

    /**
     * Whether the state reflects all records below the next offset. It does not once a record of a later format was skipped: the
     * configuration of this node may then differ from that of other nodes and is not sent to peers.
     */
    get isComplete(): boolean {
        return this.isStateComplete;
    }

    /**
     * Applies the records of a range that have not been applied yet.
     *
     * @returns `false` when the range begins after the next offset, which means that records are missing.
     */
    applyRange(range: RecordRange): boolean {
        if (range.fromOffset > this.currentOffset) {
            return false;
        }
        const startOffset = this.currentOffset;
        for (const logRecord of range.records) {
            if (logRecord.offset >= this.currentOffset) {
                this.currentOffset = logRecord.offset + 1;
                this.recentRecords.add(logRecord);
                this.applyRecord(logRecord);
            }
        }
        this.currentOffset = Math.max(this.currentOffset, range.nextOffset);
        if (this.currentOffset > startOffset) {
            this.emitAdvance(this.currentOffset);
        }
        return true;
    }

    /**
     * Installs a snapshot if it is ahead of the applied records.
     *
     * @returns Whether the snapshot was installed.
     */
    installSnapshot(snapshot: ConfigurationSnapshot): boolean {
        const { configuration, nextOffset } = snapshot;
        if (nextOffset <= this.currentOffset) {
            return false;
        }
        this.currentOffset = nextOffset;
        this.isStateComplete = true;
        this.recentRecords.reset(nextOffset);
        this.history.reset(configuration.version);
        this.appliedVersions = new Map(snapshot.applied.map(({ id, version }) => [id, version]));
        if (this.settings.view.advance(configuration)) {
            this.recordEvent(
                "inForce",
                `Version ${configuration.version} is in force, from a snapshot up to offset ${nextOffset}.`,
            );
        }
        this.emitAdvance(nextOffset);
        return true;
    }

    /** Returns a snapshot of the applied state, or `undefined` when the state is incomplete or there is no configuration. */
    snapshot(): ConfigurationSnapshot | undefined {
        const { view, clock } = this.settings;
        if (!this.isStateComplete || view.published.version < 0) {
            return undefined;
        }
        const applied = [...this.appliedVersions].map(([id, version]) => ({ id, version }));
        return { configuration: view.published, nextOffset: this.currentOffset, applied, atMs: Math.floor(clock.now()) };
    }

    /**
     * Returns the outcome of a change.
     *
     * @returns The outcome, or `undefined` when no record of the change was read or it is no longer in the history.
     */
    outcome(id: string): RecordOutcome | undefined {
        const version = this.appliedVersions.get(id);
        return version === undefined ? this.history.outcome(id) : { outcome: ChangeOutcome.Accepted, version, problems: [] };
    }

    private applyRecord({ offset, data }: LogRecord): void {
        const decoded = decodeConfigurationRecord(data);
        switch (decoded.kind) {
            case RecordKind.Malformed:
                this.skip(`Record ${offset} is malformed and was skipped: ${decoded.reason}.`);
                return;
            case RecordKind.LaterFormat:
                this.isStateComplete = false;
                this.skip(`Record ${offset} has the later format ${decoded.format} and was skipped; update this node.`);
                return;
            case RecordKind.Changes:
                this.history.addOutcome(decoded.record.id, this.applyChanges(offset, decoded.record));
        }
    }

    private applyChanges(offset: number, record: ConfigurationRecord): RecordOutcome {
        const { view } = this.settings;
        const { version, document } = view.published;
        const appliedVersion = this.appliedVersions.get(record.id);
        if (appliedVersion !== undefined) {
            this.recordEvent("repeated", `Record ${offset} repeats the change of version ${appliedVersion} and has no effect.`);
            return { outcome: ChangeOutcome.Accepted, version: appliedVersion, problems: [] };
        }
        if (record.madeAgainst !== version) {
            const text =
                `Record ${offset} by ${record.author} was made against version ${record.madeAgainst}, but ${version} is in force.`;
            this.recordEvent("conflict", text);
            return { outcome: ChangeOutcome.Conflict, version, problems: [text] };
        }
        const checked = applyAndCheck(document, record.changes);
        if (checked.problems !== undefined) {
            this.skip(`Record ${offset} by ${record.author} is invalid and was skipped: ${checked.problems[0]}`);
            return { outcome: ChangeOutcome.Invalid, version, problems: checked.problems };
        }
        const descriptions = describeChanges(document, record.changes).map(each =>
            `version ${offset} by ${record.author}: ${each.text}`
        );
        this.history.add({ version: offset, descriptions });
        this.addAppliedId(record.id, offset);
        view.advance({ version: offset, document: checked.document });
        this.recordEvent("inForce", `Version ${offset} by ${record.author} is in force.`);
        return { outcome: ChangeOutcome.Accepted, version: offset, problems: [] };
    }

    private addAppliedId(id: string, version: number): void {
        this.appliedVersions.set(id, version);
        if (this.appliedVersions.size > MAX_APPLIED_IDS) {
            const [oldest] = this.appliedVersions.keys();
            this.appliedVersions.delete(oldest);
        }
    }

    private skip(text: string): void {
        this.skippedCount += 1;
        this.settings.ring.record({ part: Part.Configuration, kind: "skipped", text, warning: true });
    }

    private recordEvent(kind: string, text: string): void {
        this.settings.ring.record({ part: Part.Configuration, kind, text });
    }
}
