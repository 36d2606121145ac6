/**
 * What the records of one claim stream say of each key, in the order of the log.
 *
 * @module
 */

import { claimWire } from "../../protocol/mod.js";
import { toIndexName } from "./claim_key.js";

/** Owner of a key. */
interface Owner {
    readonly attempt: string;
    readonly node: string;
    readonly digest: Uint8Array;
    readonly operation: string;
    readonly atMs: number;
    readonly deadlineMs: number;
    outcome: claimWire.ClaimOutcome | undefined;
}

/** State of one key. */
interface KeyState {
    readonly workspace: string;
    readonly key: string;
    owner: Owner | undefined;
    /** Attempts that never dispatched and never will; a late claim of theirs does not count. */
    readonly released: Set<string>;
    /** Offset of the last record that names the key. */
    lastOffset: number;
}

/** Claim without an outcome. */
export interface OpenClaim {
    readonly workspace: string;
    readonly key: string;
    readonly operation: string;
    readonly node: string;
    readonly attempt: string;
    readonly atMs: number;
    readonly deadlineMs: number;
}

const { ClaimEntryKind, ClaimVerdictKind } = claimWire;

/** Settings of a {@linkcode ClaimIndex}. */
export interface ClaimIndexSettings {
    /** Whether the keys of the stream carry their date. */
    readonly dated: boolean;
}

/**
 * Applies the entries of one stream in order; the first claim of a key that was not released owns it.
 *
 * The index depends on nothing but the records, so that all nodes that read them give the same verdicts.
 */
export class ClaimIndex {
    private readonly states = new Map<string, KeyState>();
    private lossy = false;

    /** @param settings See {@linkcode ClaimIndexSettings}. */
    constructor(private readonly settings: ClaimIndexSettings) {}

    /** Number of keys held. */
    get size(): number {
        return this.states.size;
    }

    /** Applies one entry of the record at an offset. */
    apply(offset: number, entry: claimWire.ClaimEntry): void {
        const state = this.stateOf(entry);
        state.lastOffset = offset;
        switch (entry.kind) {
            case ClaimEntryKind.CLAIM_ENTRY_KIND_CLAIM:
                takeClaim(state, entry);
                return;
            case ClaimEntryKind.CLAIM_ENTRY_KIND_OUTCOME:
                if (state.owner?.attempt === entry.attempt) {
                    state.owner.outcome ??= entry.outcome;
                }
                return;
            case ClaimEntryKind.CLAIM_ENTRY_KIND_RELEASE:
                release(state, entry.attempt);
                return;
            default:
                return;
        }
    }

    /**
     * Says that records which were never applied have expired.
     *
     * The keys of a dated stream are then all too old to be given out, since a missing record may have claimed any of them. Keys
     * without a date are guarded only as long as their records are kept.
     */
    markLossy(): void {
        this.lossy = true;
    }

    /** Forgets the undated keys that no kept record names; dated streams are forgotten whole. */
    forgetBefore(firstOffset: number): void {
        if (this.settings.dated) {
            return;
        }
        for (const [name, state] of this.states) {
            if (state.lastOffset < firstOffset) {
                this.states.delete(name);
            }
        }
    }

    /** Gives the verdict on an entry as of the last record applied; `undefined` when the entry does not stand in the log. */
    judge(entry: claimWire.ClaimEntry): claimWire.ClaimVerdict | undefined {
        const state = this.states.get(toIndexName(entry.workspace, entry.key));
        switch (entry.kind) {
            case ClaimEntryKind.CLAIM_ENTRY_KIND_OUTCOME:
                return this.judgeOutcome(state, entry);
            case ClaimEntryKind.CLAIM_ENTRY_KIND_RELEASE:
                return state?.released.has(entry.attempt) ? toVerdict(ClaimVerdictKind.CLAIM_VERDICT_KIND_STORED) : undefined;
            case ClaimEntryKind.CLAIM_ENTRY_KIND_LOOKUP:
                return this.judgeClaim(state, entry) ?? toVerdict(ClaimVerdictKind.CLAIM_VERDICT_KIND_UNCLAIMED);
            default:
                return this.judgeClaim(state, entry);
        }
    }

    /** Lists claims without an outcome. */
    *listOpen(): Generator<OpenClaim> {
        for (const { workspace, key, owner } of this.states.values()) {
            if (owner !== undefined && owner.outcome === undefined) {
                yield { workspace, key, ...owner };
            }
        }
    }

    private stateOf(entry: claimWire.ClaimEntry): KeyState {
        const name = toIndexName(entry.workspace, entry.key);
        let state = this.states.get(name);
        if (state === undefined) {
            state = { workspace: entry.workspace, key: entry.key, owner: undefined, released: new Set(), lastOffset: 0 };
            this.states.set(name, state);
        }
        return state;
    }

    private judgeOutcome(state: KeyState | undefined, entry: claimWire.ClaimEntry): claimWire.ClaimVerdict | undefined {
        const stored = state?.owner?.attempt === entry.attempt && state.owner.outcome !== undefined;
        return stored ? toVerdict(ClaimVerdictKind.CLAIM_VERDICT_KIND_STORED) : undefined;
    }

    private judgeClaim(state: KeyState | undefined, entry: claimWire.ClaimEntry): claimWire.ClaimVerdict | undefined {
        if (this.lossy && this.settings.dated) {
            return toVerdict(ClaimVerdictKind.CLAIM_VERDICT_KIND_EXPIRED);
        }
        const owner = state?.owner;
        if (owner === undefined) {
            return undefined;
        }
        if (owner.attempt === entry.attempt) {
            return toVerdict(ClaimVerdictKind.CLAIM_VERDICT_KIND_OWNED);
        }
        if (Buffer.compare(owner.digest, entry.digest) !== 0) {
            return toVerdict(ClaimVerdictKind.CLAIM_VERDICT_KIND_CONFLICT);
        }
        const kind = owner.outcome === undefined ?
            ClaimVerdictKind.CLAIM_VERDICT_KIND_HELD :
            ClaimVerdictKind.CLAIM_VERDICT_KIND_RECORDED;
        return { kind, owner: owner.node, deadlineMs: owner.deadlineMs, outcome: owner.outcome };
    }
}

/** Makes a verdict that tells nothing of an owner. */
export function toVerdict(kind: claimWire.ClaimVerdictKind): claimWire.ClaimVerdict {
    return { kind, owner: "", deadlineMs: 0, outcome: undefined };
}

function takeClaim(state: KeyState, entry: claimWire.ClaimEntry): void {
    if (state.owner !== undefined || state.released.has(entry.attempt)) {
        return;
    }
    const { attempt, node, digest, operation, atMs, deadlineMs } = entry;
    state.owner = { attempt, node, digest, operation, atMs, deadlineMs, outcome: undefined };
}

function release(state: KeyState, attempt: string): void {
    if (state.owner?.attempt === attempt) {
        if (state.owner.outcome !== undefined) {
            return;
        }
        state.owner = undefined;
    }
    state.released.add(attempt);
}
