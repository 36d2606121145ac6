/**
 * History of applied configuration changes and of the outcomes of proposals.
 *
 * @module
 */

import type { RecordOutcome } from "./change_outcome.js";

/** Maximum number of changes and of outcomes in the history; at 4,000 changes a day this covers one day. */
export const MAX_REMEMBERED_CHANGES = 4_096;

/** Change that was applied to the configuration. */
export interface AppliedChange {
    readonly version: number;
    /** Description of the change, one line per item. */
    readonly descriptions: readonly string[];
}

/** Holds the most recently applied changes and the outcomes of the most recent proposals. */
export class ChangeHistory {
    private readonly outcomes = new Map<string, RecordOutcome>();
    private readonly waiters = new Map<string, Set<(outcome: RecordOutcome) => void>>();
    private appliedChanges: AppliedChange[] = [];
    private oldestBaseVersion = -1;

    /** Number of outcomes in the history. */
    get size(): number {
        return this.outcomes.size;
    }

    /** Clears the changes up to a version that was installed from a snapshot and whose single changes are not known. */
    reset(version: number): void {
        this.appliedChanges = [];
        this.oldestBaseVersion = version;
    }

    /** Adds an applied change. */
    add(change: AppliedChange): void {
        this.appliedChanges.push(change);
        if (this.appliedChanges.length > MAX_REMEMBERED_CHANGES) {
            this.oldestBaseVersion = (this.appliedChanges.shift() as AppliedChange).version;
        }
    }

    /**
     * Returns descriptions of the changes after a version.
     *
     * @returns Lines, oldest change first; `undefined` when the history does not reach back to the version.
     */
    descriptionsSince(version: number): readonly string[] | undefined {
        if (version < this.oldestBaseVersion) {
            return undefined;
        }
        return this.appliedChanges.filter(change => change.version > version).flatMap(change => change.descriptions);
    }

    /** Adds the outcome of a change, unless an earlier record with the same id already has one. */
    addOutcome(id: string, outcome: RecordOutcome): void {
        if (this.outcomes.has(id)) {
            return;
        }
        this.outcomes.set(id, outcome);
        if (this.outcomes.size > MAX_REMEMBERED_CHANGES) {
            const [oldest] = this.outcomes.keys();
            this.outcomes.delete(oldest);
        }
        for (const resolve of this.waiters.get(id) ?? []) {
            resolve(outcome);
        }
    }

    /** Returns the outcome of a change, or `undefined` when no record of it was read. */
    outcome(id: string): RecordOutcome | undefined {
        return this.outcomes.get(id);
    }

    /**
     * Waits until a record of a change has been read.
     *
     * @param id Id of the change.
     * @param signal Ends the wait when aborted.
     * @returns The outcome, or `undefined` when the signal ended the wait.
     */
    async awaitOutcome(id: string, signal: AbortSignal): Promise<RecordOutcome | undefined> {
        const known = this.outcomes.get(id);
        if (known !== undefined || signal.aborted) {
            return known;
        }
        const listeners = this.waiters.get(id) ?? new Set();
        this.waiters.set(id, listeners);
        let listener: ((outcome: RecordOutcome | undefined) => void) | undefined;
        try {
            return await new Promise(resolve => {
                listener = resolve;
                listeners.add(resolve);
                signal.addEventListener("abort", () => resolve(undefined), { once: true });
            });
        }
        finally {
            listeners.delete(listener as (outcome: RecordOutcome) => void);
            if (listeners.size === 0) {
                this.waiters.delete(id);
            }
        }
    }
}
