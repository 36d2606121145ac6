/**
 * The one place where records of the configuration stream take effect.
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
 * Changes whose ids are kept, so that none of them takes effect again. All nodes and snapshots keep the same ones; at 4,000 changes
 * a day they are those of the last 6 hours.
 */
const MAX_APPLIED_IDS = 1_024;

/** Settings of a {@linkcode ConfigurationJournal}. */
export interface ConfigurationJournalSettings {
    readonly clock: Clock;
    readonly ring: EventRing;
    readonly view: ConfigurationView;
}

/** All records of the stream between two offsets that are still kept. */
export interface JournalPage {
    /** First offset that the page covers. */
    readonly fromOffset: number;
    /** Offset after the last one that the page covers. */
    readonly nextOffset: number;
    readonly records: readonly LogRecord[];
}

/**
 * Applies records in the order of the log, whether they come from the log or from a peer.
 *
 * What is in force is a function of the records below {@linkcode nextOffset} alone, and that offset never goes back: so no source,
 * however late, can revert it.
 */
export class ConfigurationJournal {
    /** Values of {@linkcode nextOffset} as it moves. */
    readonly advances: Stream<number>;
    readonly history = new ChangeHistory();
    readonly recentRecords = new RecentRecords();
    /** Records that were skipped as malformed or of a later format. */
    skippedCount = 0;
    private readonly announce: (nextOffset: number) => void;
    private appliedVersions = new Map<string, number>();
    private currentOffset = 0;
    private understoodAll = true;

    /** @param settings See {@linkcode ConfigurationJournalSettings}. */
    constructor(private readonly settings: ConfigurationJournalSettings) {
        [this.announce, this.advances] = createAdapter<number>();
    }

    /** Offset of the first record that was not applied. */
    get nextOffset(): number {
        return this.currentOffset;
    }

    /**
     * Whether every record was understood. Once a record of a later format was skipped, this node's configuration is no longer
     * the log's, and is not handed on.
     */
    get isComplete(): boolean {
        return this.understoodAll;
    }

    /**
     * Applies the records of a page that were not applied before.
     *
     * @returns `false` when the page begins after the next offset, so that records between are missing.
     */
    applyPage(page: JournalPage): boolean {
        if (page.fromOffset > this.currentOffset) {
            return false;
        }
        const before = this.currentOffset;
        for (const logRecord of page.records) {
            if (logRecord.offset >= this.currentOffset) {
                this.currentOffset = logRecord.offset + 1;
                this.recentRecords.add(logRecord);
                this.applyRecord(logRecord);
            }
        }
        this.currentOffset = Math.max(this.currentOffset, page.nextOffset);
        if (this.currentOffset > before) {
            this.announce(this.currentOffset);
        }
        return true;
    }

    /**
     * Takes over a snapshot that covers more than was applied.
     *
     * @returns Whether it did.
     */
    installSnapshot(snapshot: ConfigurationSnapshot): boolean {
        const { configuration, nextOffset } = snapshot;
        if (nextOffset <= this.currentOffset) {
            return false;
        }
        this.currentOffset = nextOffset;
        this.understoodAll = true;
        this.recentRecords.reset(nextOffset);
        this.history.reset(configuration.version);
        this.appliedVersions = new Map(snapshot.applied.map(({ id, version }) => [id, version]));
        if (this.settings.view.advance(configuration)) {
            this.recordEvent(
                "inForce",
                `Version ${configuration.version} is in force, by a snapshot up to offset ${nextOffset}.`,
            );
        }
        this.announce(nextOffset);
        return true;
    }

    /** Returns a snapshot of what was applied, or `undefined` when there is none to hand on. */
    snapshot(): ConfigurationSnapshot | undefined {
        const { view, clock } = this.settings;
        if (!this.understoodAll || view.published.version < 0) {
            return undefined;
        }
        const applied = [...this.appliedVersions].map(([id, version]) => ({ id, version }));
        return { configuration: view.published, nextOffset: this.currentOffset, applied, atMs: Math.floor(clock.now()) };
    }

    /**
     * Returns what became of a change.
     *
     * @returns The outcome, or `undefined` when no record of the change was read, or it was long ago.
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
                this.understoodAll = false;
                this.skip(`Record ${offset} has the later format ${decoded.format} and was skipped; update this node.`);
                return;
            case RecordKind.Changes:
                this.history.recordOutcome(decoded.record.id, this.applyChanges(offset, decoded.record));
        }
    }

    private applyChanges(offset: number, change: ConfigurationRecord): RecordOutcome {
        const { view } = this.settings;
        const { version, document } = view.published;
        const repeated = this.appliedVersions.get(change.id);
        if (repeated !== undefined) {
            this.recordEvent("repeated", `Record ${offset} repeats the change of version ${repeated} and has no effect.`);
            return { outcome: ChangeOutcome.Accepted, version: repeated, problems: [] };
        }
        if (change.madeAgainst !== version) {
            const text =
                `Record ${offset} by ${change.author} was made against version ${change.madeAgainst}, but ${version} is in force.`;
            this.recordEvent("conflict", text);
            return { outcome: ChangeOutcome.Conflict, version, problems: [text] };
        }
        const checked = applyAndCheck(document, change.changes);
        if (checked.problems !== undefined) {
            this.skip(`Record ${offset} by ${change.author} is wrong and was skipped: ${checked.problems[0]}`);
            return { outcome: ChangeOutcome.Invalid, version, problems: checked.problems };
        }
        const lines = describeChanges(document, change.changes).map(each =>
            `version ${offset} by ${change.author}: ${each.text}`
        );
        this.history.add({ version: offset, descriptions: lines });
        this.recordAppliedId(change.id, offset);
        view.advance({ version: offset, document: checked.document });
        this.recordEvent("inForce", `Version ${offset} by ${change.author} is in force.`);
        return { outcome: ChangeOutcome.Accepted, version: offset, problems: [] };
    }

    private recordAppliedId(id: string, version: number): void {
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
