/**
 * Memory of the changes that came into force, for the answers to operators.
 *
 * @module
 */

import type { RecordOutcome } from "./change_outcome.js";

/** Changes remembered; at 4,000 a day this is the last day. */
export const MAX_REMEMBERED_CHANGES = 4_096;

/** Change that came into force. */
export interface AppliedChange {
    readonly version: number;
    /** What it did, one line for each item. */
    readonly descriptions: readonly string[];
}

/** Remembers the last changes and the outcomes of the last records. */
export class ChangeHistory {
    private readonly outcomes = new Map<string, RecordOutcome>();
    private readonly waiters = new Map<string, Set<(outcome: RecordOutcome) => void>>();
    private appliedChanges: AppliedChange[] = [];
    private oldestBaseVersion = -1;

    /** Number of outcomes remembered now. */
    get size(): number {
        return this.outcomes.size;
    }

    /** Forgets the changes before a version, which this node has not seen one by one. */
    reset(version: number): void {
        this.appliedChanges = [];
        this.oldestBaseVersion = version;
    }

    /** Adds a change that came into force. */
    add(change: AppliedChange): void {
        this.appliedChanges.push(change);
        if (this.appliedChanges.length > MAX_REMEMBERED_CHANGES) {
            this.oldestBaseVersion = (this.appliedChanges.shift() as AppliedChange).version;
        }
    }

    /**
     * Returns what was changed after a version.
     *
     * @returns Lines, oldest change first; `undefined` when the version is older than the changes remembered.
     */
    descriptionsSince(version: number): readonly string[] | undefined {
        if (version < this.oldestBaseVersion) {
            return undefined;
        }
        return this.appliedChanges.filter(change => change.version > version).flatMap(change => change.descriptions);
    }

    /** Sets the outcome of a change, unless an earlier record of the same id has set it. */
    recordOutcome(id: string, outcome: RecordOutcome): void {
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

    /** Returns the outcome of a change, if a record of it was read. */
    outcome(id: string): RecordOutcome | undefined {
        return this.outcomes.get(id);
    }

    /**
     * Waits until a record of a change is read.
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
