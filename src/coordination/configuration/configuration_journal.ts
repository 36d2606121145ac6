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
import { KeptRecords } from "./_kept_records.js";
import { ChangeOutcome, type RecordOutcome } from "./change_outcome.js";

/**
 * Changes whose ids are kept, so that none of them takes effect again. All nodes and snapshots keep the same ones; at 4,000 changes
 * a day they are those of the last 6 hours.
 */
const APPLIED_IDS = 1_024;

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
    readonly kept = new KeptRecords();
    /** Records that were skipped as malformed or of a later format. */
    skipped = 0;
    private readonly announce: (nextOffset: number) => void;
    private applied = new Map<string, number>();
    private next = 0;
    private whole = true;

    /** @param settings See {@linkcode ConfigurationJournalSettings}. */
    constructor(private readonly settings: ConfigurationJournalSettings) {
        [this.announce, this.advances] = createAdapter<number>();
    }

    /** Offset of the first record that was not applied. */
    get nextOffset(): number {
        return this.next;
    }

    /**
     * Whether every record was understood. Once a record of a later format was skipped, this node's configuration is no longer
     * the log's, and is not handed on.
     */
    get complete(): boolean {
        return this.whole;
    }

    /**
     * Applies the records of a page that were not applied before.
     *
     * @returns `false` when the page begins after the next offset, so that records between are missing.
     */
    take(page: JournalPage): boolean {
        if (page.fromOffset > this.next) {
            return false;
        }
        const before = this.next;
        for (const record of page.records) {
            if (record.offset >= this.next) {
                this.next = record.offset + 1;
                this.kept.add(record);
                this.apply(record);
            }
        }
        this.next = Math.max(this.next, page.nextOffset);
        if (this.next > before) {
            this.announce(this.next);
        }
        return true;
    }

    /**
     * Takes over a snapshot that covers more than was applied.
     *
     * @returns Whether it did.
     */
    adopt(snapshot: ConfigurationSnapshot): boolean {
        const { configuration, nextOffset } = snapshot;
        if (nextOffset <= this.next) {
            return false;
        }
        this.next = nextOffset;
        this.whole = true;
        this.kept.restart(nextOffset);
        this.history.restart(configuration.version);
        this.applied = new Map(snapshot.applied.map(({ id, version }) => [id, version]));
        if (this.settings.view.advance(configuration)) {
            this.record("inForce", `Version ${configuration.version} is in force, by a snapshot up to offset ${nextOffset}.`);
        }
        this.announce(nextOffset);
        return true;
    }

    /** Returns a snapshot of what was applied, or `undefined` when there is none to hand on. */
    snapshot(): ConfigurationSnapshot | undefined {
        const { view, clock } = this.settings;
        if (!this.whole || view.published.version < 0) {
            return undefined;
        }
        const applied = [...this.applied].map(([id, version]) => ({ id, version }));
        return { configuration: view.published, nextOffset: this.next, applied, atMs: Math.floor(clock.now()) };
    }

    /**
     * Returns what became of a change.
     *
     * @returns The outcome, or `undefined` when no record of the change was read, or it was long ago.
     */
    outcome(id: string): RecordOutcome | undefined {
        const version = this.applied.get(id);
        return version === undefined ? this.history.outcome(id) : { outcome: ChangeOutcome.Accepted, version, problems: [] };
    }

    private apply({ offset, data }: LogRecord): void {
        const decoded = decodeConfigurationRecord(data);
        switch (decoded.kind) {
            case RecordKind.Malformed:
                this.skip(`Record ${offset} is malformed and was skipped: ${decoded.reason}.`);
                return;
            case RecordKind.LaterFormat:
                this.whole = false;
                this.skip(`Record ${offset} has the later format ${decoded.format} and was skipped; update this node.`);
                return;
            case RecordKind.Changes:
                this.history.settle(decoded.record.id, this.applyChanges(offset, decoded.record));
        }
    }

    private applyChanges(offset: number, record: ConfigurationRecord): RecordOutcome {
        const { view } = this.settings;
        const { version, document } = view.published;
        const repeated = this.applied.get(record.id);
        if (repeated !== undefined) {
            this.record("repeated", `Record ${offset} repeats the change of version ${repeated} and has no effect.`);
            return { outcome: ChangeOutcome.Accepted, version: repeated, problems: [] };
        }
        if (record.madeAgainst !== version) {
            const text =
                `Record ${offset} by ${record.author} was made against version ${record.madeAgainst}, but ${version} is in force.`;
            this.record("conflict", text);
            return { outcome: ChangeOutcome.Conflict, version, problems: [text] };
        }
        const checked = applyAndCheck(document, record.changes);
        if (checked.problems !== undefined) {
            this.skip(`Record ${offset} by ${record.author} is wrong and was skipped: ${checked.problems[0]}`);
            return { outcome: ChangeOutcome.Invalid, version, problems: checked.problems };
        }
        const lines = describeChanges(document, record.changes).map(each =>
            `version ${offset} by ${record.author}: ${each.text}`
        );
        this.history.add({ version: offset, lines });
        this.rememberApplied(record.id, offset);
        view.advance({ version: offset, document: checked.document });
        this.record("inForce", `Version ${offset} by ${record.author} is in force.`);
        return { outcome: ChangeOutcome.Accepted, version: offset, problems: [] };
    }

    private rememberApplied(id: string, version: number): void {
        this.applied.set(id, version);
        if (this.applied.size > APPLIED_IDS) {
            const [oldest] = this.applied.keys();
            this.applied.delete(oldest);
        }
    }

    private skip(text: string): void {
        this.skipped += 1;
        this.settings.ring.record({ part: Part.Configuration, kind: "skipped", text, warning: true });
    }

    private record(kind: string, text: string): void {
        this.settings.ring.record({ part: Part.Configuration, kind, text });
    }
}
