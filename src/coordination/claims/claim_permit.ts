/**
 * Dispatch permit for a call whose key is claimed in the log.
 *
 * @module
 */

import { type AcceptedCall, claimWire, Executed, type MemberView, type ServiceAnswer } from "../../protocol/mod.js";
import { type Clock, Semantics } from "../../state/mod.js";
import { DispatchDecision, DispatchPermit } from "../dispatch_guard.js";
import { toRefusal } from "./_claim_refusal.js";
import { type ClaimKey, digestCall } from "./claim_key.js";
import type { ClaimOutbox } from "./claim_outbox.js";
import type { ClaimRouter } from "./claim_router.js";

/** Maximum time for which a backend server stays reserved while the claim is undecided, in milliseconds. */
const MAX_SERVER_HOLD_MS = 50;

/** Time before the deadline of the call at which the wait for the log ends, in milliseconds. */
const DEADLINE_MARGIN_MS = 20;

/** Maximum time to look up, when a call ends without a claim, whether another call with its key was executed, in milliseconds. */
const LOOKUP_TIMEOUT_MS = 50;

/** Maximum time to wait for the outcome of a running call with the same key, in milliseconds. */
const OUTCOME_TIMEOUT_MS = 1_000;

/** Time between two polls for that outcome, in milliseconds. */
const OUTCOME_POLL_INTERVAL_MS = 60;

/** Time after the deadline of the owner's call during which the owner is still assumed to be running, in milliseconds. */
const OWNER_GRACE_PERIOD_MS = 5_000;

/** Maximum size of an answer body that is recorded for retries with the same key, in bytes. */
const MAX_KEPT_BODY_BYTES = 16 * 1024;

const { ClaimEntryKind, ClaimVerdictKind } = claimWire;

/** Settings of a {@linkcode ClaimPermit}. */
export interface ClaimPermitSettings {
    readonly clock: Clock;
    /** Id of this node. */
    readonly node: string;
    readonly members: MemberView;
    readonly router: ClaimRouter;
    readonly outbox: ClaimOutbox;
    readonly call: AcceptedCall;
    readonly key: ClaimKey;
}

/** Permit that claims the key immediately before the dispatch, so that a call that was only queued leaves no claim in the log. */
export class ClaimPermit extends DispatchPermit {
    private pendingVerdict: Promise<claimWire.ClaimVerdict> | undefined;
    private verdict: claimWire.ClaimVerdict | undefined;
    private dispatched = false;
    private ended = false;

    /** @param settings See {@linkcode ClaimPermitSettings}. */
    constructor(private readonly settings: ClaimPermitSettings) {
        super();
    }

    override async tryAcquire(): Promise<DispatchDecision> {
        if (this.dispatched || this.ended) {
            return DispatchDecision.AlreadyDispatched;
        }
        this.pendingVerdict ??= this.commitClaim();
        const decided = new AbortController();
        await Promise.race([this.pendingVerdict, this.settings.clock.sleep(MAX_SERVER_HOLD_MS, decided.signal)]);
        decided.abort();
        if (this.verdict === undefined) {
            return DispatchDecision.Pending;
        }
        this.checkVerdict(this.verdict);
        this.dispatched = true;
        return DispatchDecision.Granted;
    }

    override async awaitDecision(signal: AbortSignal): Promise<void> {
        const aborted = new Promise<void>(resolve => {
            signal.addEventListener("abort", () => resolve(), { once: true });
        });
        await Promise.race([this.pendingVerdict, aborted]);
        if (this.verdict !== undefined) {
            this.checkVerdict(this.verdict);
        }
    }

    override cancelDispatch(): void {
        this.dispatched = false;
    }

    override async complete(answer: ServiceAnswer | undefined): Promise<void> {
        this.ended = true;
        this.settings.outbox.enqueue(
            this.settings.key.stream,
            this.toEntry(ClaimEntryKind.CLAIM_ENTRY_KIND_OUTCOME, this.toOutcome(answer)),
        );
    }

    override async fail(executed: Executed): Promise<Executed> {
        this.ended = true;
        if (this.dispatched) {
            return Executed.Unknown;
        }
        if (this.pendingVerdict === undefined) {
            return this.lookUpExecution();
        }
        if (this.mayOwn()) {
            // Lets the next call claim the key, at any node.
            this.settings.outbox.enqueue(this.settings.key.stream, this.toEntry(ClaimEntryKind.CLAIM_ENTRY_KIND_RELEASE));
        }
        return this.isKnownNotExecuted() ? executed : Executed.Unknown;
    }

    private checkVerdict(verdict: claimWire.ClaimVerdict): void {
        if (verdict.kind !== ClaimVerdictKind.CLAIM_VERDICT_KIND_OWNED) {
            throw toRefusal(verdict, this.isOwnerRunning(verdict));
        }
    }

    /**
     * Returns whether, as far as the verdict shows, no undispatched claim of this call can remain in the log and no other attempt at
     * the call was executed.
     */
    private isKnownNotExecuted(): boolean {
        const kind = this.verdict?.kind;
        return kind === ClaimVerdictKind.CLAIM_VERDICT_KIND_OWNED ||
            kind === ClaimVerdictKind.CLAIM_VERDICT_KIND_NOT_APPENDED ||
            kind === ClaimVerdictKind.CLAIM_VERDICT_KIND_FULL ||
            kind === ClaimVerdictKind.CLAIM_VERDICT_KIND_CONFLICT;
    }

    private async commitClaim(): Promise<claimWire.ClaimVerdict> {
        const { router, key, call, clock } = this.settings;
        const entry = this.toEntry(ClaimEntryKind.CLAIM_ENTRY_KIND_CLAIM);
        const untilMs = call.deadlineMs - DEADLINE_MARGIN_MS;
        let verdict = await router.commit(key.stream, entry, untilMs);
        const stopAtMs = Math.min(untilMs, clock.now() + OUTCOME_TIMEOUT_MS);
        while (this.shouldAwaitOutcome(verdict) && clock.now() < stopAtMs) {
            await clock.sleep(OUTCOME_POLL_INTERVAL_MS);
            verdict = await router.commit(key.stream, entry, untilMs);
        }
        this.verdict = verdict;
        return verdict;
    }

    private shouldAwaitOutcome(verdict: claimWire.ClaimVerdict): boolean {
        const { call } = this.settings;
        return verdict.kind === ClaimVerdictKind.CLAIM_VERDICT_KIND_HELD && call.operation.semantics === Semantics.RunOnce &&
            !this.ended && this.isOwnerRunning(verdict);
    }

    /** Returns whether the claim of this call owns the key, or an append still in doubt may make it the owner. */
    private mayOwn(): boolean {
        const kind = this.verdict?.kind ?? ClaimVerdictKind.CLAIM_VERDICT_KIND_FATE_UNKNOWN;
        return kind === ClaimVerdictKind.CLAIM_VERDICT_KIND_OWNED || kind === ClaimVerdictKind.CLAIM_VERDICT_KIND_FATE_UNKNOWN;
    }

    /** Looks up whether another call with the key may have been executed; this call claimed nothing and was not executed. */
    private async lookUpExecution(): Promise<Executed> {
        const { router, clock, key } = this.settings;
        const entry = this.toEntry(ClaimEntryKind.CLAIM_ENTRY_KIND_LOOKUP);
        const { kind } = await router.commit(key.stream, entry, clock.now() + LOOKUP_TIMEOUT_MS);
        const isKnownNotExecuted = kind === ClaimVerdictKind.CLAIM_VERDICT_KIND_UNCLAIMED ||
            kind === ClaimVerdictKind.CLAIM_VERDICT_KIND_CONFLICT;
        return isKnownNotExecuted ? Executed.No : Executed.Unknown;
    }

    private isOwnerRunning({ owner, deadlineMs }: claimWire.ClaimVerdict): boolean {
        const { members, node, clock } = this.settings;
        const isLive = owner === node || members.live.some(member => member.id === owner);
        return isLive && clock.now() < deadlineMs + OWNER_GRACE_PERIOD_MS;
    }

    private toOutcome(answer: ServiceAnswer | undefined): claimWire.ClaimOutcome {
        const { semantics } = this.settings.call.operation;
        if (answer === undefined || semantics !== Semantics.RunOnce || answer.body.length > MAX_KEPT_BODY_BYTES) {
            return { status: answer?.status ?? 0, contentType: "", body: Buffer.alloc(0), kept: false };
        }
        return { ...answer, kept: true };
    }

    private toEntry(kind: claimWire.ClaimEntryKind, outcome?: claimWire.ClaimOutcome): claimWire.ClaimEntry {
        const { call, key, node, clock } = this.settings;
        return {
            kind,
            workspace: key.workspace,
            key: key.key,
            digest: digestCall(call),
            attempt: call.incoming.id,
            node,
            operation: call.operation.name,
            atMs: Math.floor(clock.now()),
            deadlineMs: Math.floor(call.deadlineMs),
            outcome,
        };
    }
}
