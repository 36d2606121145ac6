/**
 * Current rollouts, derived from the records of the rollout stream.
 *
 * @module
 */

import { type RolloutRecord, RolloutRecordKind } from "../../protocol/mod.js";

/** Phase of a rollout. */
export enum RolloutPhase {
    Running = "running",
    Paused = "paused",
    Done = "done",
    RolledBack = "rolledBack",
}

/** Progressive delivery of a new version to a pool's traffic by a deadline. */
export interface Rollout {
    readonly id: string;
    readonly pool: string;
    readonly version: string;
    /** Version that serves the pool before the rollout. */
    readonly fromVersion: string;
    readonly startMs: number;
    readonly deadlineMs: number;
    /** Number of backend servers that must run the version before it may receive all traffic. */
    readonly neededServers: number;
    readonly author: string;
    readonly phase: RolloutPhase;
    /** Offset of the last record that changed the rollout's phase. */
    readonly revision: number;
    /** Reason for the last change of phase. */
    readonly reason: string;
    /** Why the deadline will not be met; `undefined` if it is not known to be missed. */
    readonly lateReason: string | undefined;
}

/** Effect of a record. */
export type RolloutRecordOutcome =
    | { readonly kind: "applied"; readonly rollout: Rollout | undefined }
    | { readonly kind: "repeated" }
    | { readonly kind: "refused"; readonly problem: string };

/** Replicated state machine of the rollouts: the same records in the same order give the same state on every node. */
export class RolloutRegistry {
    private readonly rollouts = new Map<string, Rollout>();
    private readonly outcomes = new Map<string, RolloutRecordOutcome>();
    private readonly forbiddenVersions = new Map<string, Set<string>>();
    private readonly activeVersions = new Map<string, string>();
    private readonly deliveredEvents = new Set<string>();

    /** All rollouts, oldest first. */
    get all(): Iterable<Rollout> {
        return this.rollouts.values();
    }

    /** Returns the rollout with an id. */
    get(id: string): Rollout | undefined {
        return this.rollouts.get(id);
    }

    /** Returns the latest rollout of a pool. */
    latest(pool: string): Rollout | undefined {
        return [...this.rollouts.values()].filter(rollout => rollout.pool === pool).at(-1);
    }

    /** Returns the versions of a pool that were rolled back and must not get calls. */
    forbidden(pool: string): ReadonlySet<string> {
        return this.forbiddenVersions.get(pool) ?? new Set();
    }

    /** Returns the version that serves the pool according to its completed and rolled back rollouts. */
    activeVersion(pool: string): string | undefined {
        return this.activeVersions.get(pool);
    }

    /** Returns the outcome of the record with an id; `undefined` if it has not been applied. */
    outcome(recordId: string): RolloutRecordOutcome | undefined {
        return this.outcomes.get(recordId);
    }

    /** Returns whether an event was delivered to a webhook receiver. */
    isDelivered(eventId: string): boolean {
        return this.deliveredEvents.has(eventId);
    }

    /** Returns the state that must outlast the log's retention, as the content of a `standing` record. */
    standing(): Pick<RolloutRecord & { readonly kind: RolloutRecordKind.Standing }, "forbidden" | "inForce"> {
        const forbidden = [...this.forbiddenVersions].flatMap(([pool, versions]) =>
            [...versions].map(version => ({ pool, version }))
        );
        return { forbidden, inForce: [...this.activeVersions].map(([pool, version]) => ({ pool, version })) };
    }

    /**
     * Applies a record. A record that was appended more than once takes effect once.
     *
     * @param offset Offset of the record.
     * @param record Record to apply.
     */
    apply(offset: number, record: RolloutRecord): RolloutRecordOutcome {
        if (this.outcomes.has(record.id)) {
            return { kind: "repeated" };
        }
        const outcome = this.applyNew(offset, record);
        this.outcomes.set(record.id, outcome);
        return outcome;
    }

    private applyNew(offset: number, record: RolloutRecord): RolloutRecordOutcome {
        switch (record.kind) {
            case RolloutRecordKind.Started:
                return this.start(offset, record);
            case RolloutRecordKind.EventDelivered:
                this.deliveredEvents.add(record.eventId);
                return { kind: "applied", rollout: undefined };
            case RolloutRecordKind.Standing:
                return this.applyStanding(record);
            default:
                return this.changeRollout(offset, record);
        }
    }

    private start(offset: number, record: RolloutRecord & { readonly kind: RolloutRecordKind.Started }): RolloutRecordOutcome {
        const current = this.latest(record.pool);
        if (current !== undefined && isActive(current)) {
            const remedy = "wait for its end or roll it back";
            return refuse(`Pool "${record.pool}" has rollout ${current.id} to version "${current.version}" already; ${remedy}.`);
        }
        if (this.forbidden(record.pool).has(record.version)) {
            const remedy = "give the fixed version another name";
            return refuse(`Version "${record.version}" of pool "${record.pool}" was rolled back; ${remedy}.`);
        }
        const { rollout: id, pool, version, fromVersion, startMs, deadlineMs, neededServers, author } = record;
        const rollout: Rollout = {
            ...{ id, pool, version, fromVersion, startMs, deadlineMs, neededServers, author },
            phase: RolloutPhase.Running,
            revision: offset,
            reason: "",
            lateReason: undefined,
        };
        return this.store(rollout);
    }

    private changeRollout(offset: number, record: ChangeRecord): RolloutRecordOutcome {
        const rollout = this.rollouts.get(record.rollout);
        if (rollout === undefined) {
            return refuse(`No rollout has the id "${record.rollout}"; see "foxtailrail rollout list".`);
        }
        const problem = this.latest(rollout.pool) === rollout ?
            findChangeProblem(rollout, record) :
            `Pool "${rollout.pool}" has had a later rollout; change that one.`;
        if (problem !== undefined) {
            return refuse(problem);
        }
        const changed = changePhase(rollout, record, offset);
        if (changed.phase === RolloutPhase.RolledBack) {
            this.forbid(rollout.pool, rollout.version);
            this.activeVersions.set(rollout.pool, rollout.fromVersion);
        }
        if (changed.phase === RolloutPhase.Done) {
            this.activeVersions.set(rollout.pool, rollout.version);
        }
        return this.store(changed);
    }

    private applyStanding(record: RolloutRecord & { readonly kind: RolloutRecordKind.Standing }): RolloutRecordOutcome {
        for (const { pool, version } of record.forbidden) {
            this.forbid(pool, version);
        }
        for (const { pool, version } of record.inForce) {
            if (!this.activeVersions.has(pool) && !this.forbidden(pool).has(version)) {
                this.activeVersions.set(pool, version);
            }
        }
        return { kind: "applied", rollout: undefined };
    }

    private forbid(pool: string, version: string): void {
        const versions = this.forbiddenVersions.get(pool) ?? new Set();
        this.forbiddenVersions.set(pool, versions.add(version));
        if (this.activeVersions.get(pool) === version) {
            this.activeVersions.delete(pool);
        }
    }

    private store(rollout: Rollout): RolloutRecordOutcome {
        this.rollouts.set(rollout.id, rollout);
        return { kind: "applied", rollout };
    }
}

/** Record that changes one rollout. */
type ChangeRecord = RolloutRecord & {
    readonly kind:
        | RolloutRecordKind.Paused
        | RolloutRecordKind.Resumed
        | RolloutRecordKind.RolledBack
        | RolloutRecordKind.Done
        | RolloutRecordKind.Late;
};

/** Returns whether a rollout is running or paused. */
export function isActive(rollout: Rollout): boolean {
    return rollout.phase === RolloutPhase.Running || rollout.phase === RolloutPhase.Paused;
}

function findChangeProblem(rollout: Rollout, record: ChangeRecord): string | undefined {
    const name = `Rollout ${rollout.id}`;
    if (rollout.phase === RolloutPhase.RolledBack) {
        return `${name} was rolled back: ${rollout.reason}; start another with a new version.`;
    }
    if (record.kind === RolloutRecordKind.RolledBack) {
        return undefined;
    }
    if (rollout.phase === RolloutPhase.Done) {
        return `${name} is done; it can only be rolled back.`;
    }
    if (record.kind !== RolloutRecordKind.Resumed) {
        return undefined;
    }
    if (record.madeAgainst !== rollout.revision) {
        return `${name} was changed at revision ${rollout.revision}; the resume was made against ${record.madeAgainst}. Look again.`;
    }
    return rollout.phase === RolloutPhase.Paused ? undefined : `${name} is not paused; there is nothing to resume.`;
}

function changePhase(rollout: Rollout, record: ChangeRecord, revision: number): Rollout {
    switch (record.kind) {
        case RolloutRecordKind.Paused:
            return { ...rollout, revision, phase: RolloutPhase.Paused, reason: record.reason };
        case RolloutRecordKind.Resumed:
            return { ...rollout, revision, phase: RolloutPhase.Running, reason: "" };
        case RolloutRecordKind.RolledBack:
            return { ...rollout, revision, phase: RolloutPhase.RolledBack, reason: record.reason };
        case RolloutRecordKind.Done:
            return { ...rollout, revision, phase: RolloutPhase.Done, reason: record.evidence };
        case RolloutRecordKind.Late:
            return { ...rollout, lateReason: record.reason };
    }
}

function refuse(problem: string): RolloutRecordOutcome {
    return { kind: "refused", problem };
}
