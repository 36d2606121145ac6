/**
 * Index of the claims in one stream, by key.
 *
 * @module
 */

import { claimWire } from "../../protocol/mod.js";
import { toQualifiedKey } from "./claim_key.js";

/** Claim for which no outcome is recorded. */
export interface OpenClaim {
    readonly workspace: string;
    readonly key: string;
    readonly operation: string;
    readonly node: string;
    readonly attempt: string;
    readonly atMs: number;
    readonly deadlineMs: number;
}

/** Attempt that owns a key. */
interface Owner {
    readonly attempt: string;
    /** Digest of the call as a string: the digest bytes of an entry would keep the buffer of its whole record in memory. */
    readonly digest: string;
    /** Details of the claim for operators; dropped once the outcome is recorded, to save memory. */
    open: OpenClaim | undefined;
    /** Offset of the record that holds the outcome; -1 while there is none. */
    outcomeOffset: number;
}

/** State of one key. */
interface KeyState {
    owner: Owner | undefined;
    /** Attempts that released the key without dispatching; a claim of theirs that is read later is ignored. */
    releasedAttempts: Set<string> | undefined;
    /** Offset of the last record that contains an entry for the key. */
    lastOffset: number;
}

const { ClaimEntryKind, ClaimVerdictKind } = claimWire;

/** Settings of a {@linkcode ClaimIndex}. */
export interface ClaimIndexSettings {
    /** Whether the keys of the stream contain their creation time. */
    readonly dated: boolean;
}

/**
 * Applies the entries of one stream in log order; the first claim of a key that was not released owns the key.
 *
 * The index is a deterministic function of the records, so all nodes that read the same records return the same verdicts.
 */
export class ClaimIndex {
    private readonly states = new Map<string, KeyState>();
    private isIncomplete = false;

    /** @param settings See {@linkcode ClaimIndexSettings}. */
    constructor(private readonly settings: ClaimIndexSettings) {}

    /** Number of keys in the index. */
    get size(): number {
        return this.states.size;
    }

    /** Applies one entry of the record at an offset. */
    apply(offset: number, entry: claimWire.ClaimEntry): void {
        const state = this.getOrCreateState(entry);
        state.lastOffset = offset;
        switch (entry.kind) {
            case ClaimEntryKind.CLAIM_ENTRY_KIND_CLAIM:
                applyClaim(state, entry);
                return;
            case ClaimEntryKind.CLAIM_ENTRY_KIND_OUTCOME:
                applyOutcome(state, entry, offset);
                return;
            case ClaimEntryKind.CLAIM_ENTRY_KIND_RELEASE:
                applyRelease(state, entry.attempt);
                return;
            default:
                return;
        }
    }

    /**
     * Marks that records expired before they were applied.
     *
     * Claims and lookups in a dated stream then get the verdict "expired", since a missing record may have claimed any key. Undated
     * keys are protected only while their records are retained.
     */
    markIncomplete(): void {
        this.isIncomplete = true;
    }

    /** Evicts the undated keys that no retained record contains. Keys of dated streams are evicted together with their stream. */
    evictBefore(firstOffset: number): void {
        if (this.settings.dated) {
            return;
        }
        for (const [name, state] of this.states) {
            if (state.lastOffset < firstOffset) {
                this.states.delete(name);
            }
        }
    }

    /** Returns the verdict on an entry as of the last applied record, or `undefined` when the entry is not in the log. */
    verdictFor(entry: claimWire.ClaimEntry): claimWire.ClaimVerdict | undefined {
        const state = this.states.get(toQualifiedKey(entry.workspace, entry.key));
        switch (entry.kind) {
            case ClaimEntryKind.CLAIM_ENTRY_KIND_OUTCOME:
                return this.outcomeVerdict(state, entry);
            case ClaimEntryKind.CLAIM_ENTRY_KIND_RELEASE:
                return state?.releasedAttempts?.has(entry.attempt) ?
                    createVerdict(ClaimVerdictKind.CLAIM_VERDICT_KIND_STORED) :
                    undefined;
            case ClaimEntryKind.CLAIM_ENTRY_KIND_LOOKUP:
                return this.claimVerdict(state, entry) ?? createVerdict(ClaimVerdictKind.CLAIM_VERDICT_KIND_UNCLAIMED);
            default:
                return this.claimVerdict(state, entry);
        }
    }

    /** Returns the offset of the record that holds the outcome of a key, or -1 when there is none. */
    outcomeOffset(entry: claimWire.ClaimEntry): number {
        return this.states.get(toQualifiedKey(entry.workspace, entry.key))?.owner?.outcomeOffset ?? -1;
    }

    /** Lists the claims for which no outcome is recorded. */
    *listOpenClaims(): Generator<OpenClaim> {
        for (const { owner } of this.states.values()) {
            if (owner?.open !== undefined) {
                yield owner.open;
            }
        }
    }

    private getOrCreateState(entry: claimWire.ClaimEntry): KeyState {
        const name = toQualifiedKey(entry.workspace, entry.key);
        let state = this.states.get(name);
        if (state === undefined) {
            state = { owner: undefined, releasedAttempts: undefined, lastOffset: 0 };
            this.states.set(name, state);
        }
        return state;
    }

    private outcomeVerdict(state: KeyState | undefined, entry: claimWire.ClaimEntry): claimWire.ClaimVerdict | undefined {
        const stored = state?.owner?.attempt === entry.attempt && state.owner.outcomeOffset >= 0;
        return stored ? createVerdict(ClaimVerdictKind.CLAIM_VERDICT_KIND_STORED) : undefined;
    }

    private claimVerdict(state: KeyState | undefined, entry: claimWire.ClaimEntry): claimWire.ClaimVerdict | undefined {
        if (this.isIncomplete && this.settings.dated) {
            return createVerdict(ClaimVerdictKind.CLAIM_VERDICT_KIND_EXPIRED);
        }
        const owner = state?.owner;
        if (owner === undefined) {
            return undefined;
        }
        if (owner.attempt === entry.attempt) {
            return createVerdict(ClaimVerdictKind.CLAIM_VERDICT_KIND_OWNED);
        }
        if (owner.digest !== encodeDigest(entry.digest)) {
            return createVerdict(ClaimVerdictKind.CLAIM_VERDICT_KIND_CONFLICT);
        }
        if (owner.open === undefined) {
            return createVerdict(ClaimVerdictKind.CLAIM_VERDICT_KIND_RECORDED);
        }
        const { node, deadlineMs } = owner.open;
        return { kind: ClaimVerdictKind.CLAIM_VERDICT_KIND_HELD, owner: node, deadlineMs, outcome: undefined };
    }
}

/** Creates a verdict without details of an owner. */
export function createVerdict(kind: claimWire.ClaimVerdictKind): claimWire.ClaimVerdict {
    return { kind, owner: "", deadlineMs: 0, outcome: undefined };
}

function applyClaim(state: KeyState, entry: claimWire.ClaimEntry): void {
    if (state.owner !== undefined || state.releasedAttempts?.has(entry.attempt)) {
        return;
    }
    const { workspace, key, attempt, node, digest, operation, atMs, deadlineMs } = entry;
    const open = { workspace, key, operation, node, attempt, atMs, deadlineMs };
    state.owner = { attempt, digest: encodeDigest(digest), open, outcomeOffset: -1 };
}

function encodeDigest(digest: Uint8Array): string {
    return Buffer.from(digest).toString("latin1");
}

function applyOutcome({ owner }: KeyState, entry: claimWire.ClaimEntry, offset: number): void {
    if (owner?.attempt === entry.attempt && owner.open !== undefined) {
        owner.open = undefined;
        owner.outcomeOffset = offset;
    }
}

function applyRelease(state: KeyState, attempt: string): void {
    if (state.owner?.attempt === attempt) {
        if (state.owner.open === undefined) {
            return;
        }
        state.owner = undefined;
    }
    state.releasedAttempts ??= new Set();
    state.releasedAttempts.add(attempt);
}
