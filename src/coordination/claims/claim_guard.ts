/**
 * Guard that lets the log decide which call of a key is dispatched.
 *
 * @module
 */

import { type AcceptedCall, type ClaimClient, claimWire, type LogService, type MemberView } from "../../protocol/mod.js";
import { type Clock, type EventRing, Part, Semantics } from "../../state/mod.js";
import { DispatchGuard, type DispatchPermit } from "../dispatch_guard.js";
import { toExpired, toUndated } from "./_claim_refusal.js";
import { type ClaimKey, toClaimKey } from "./claim_key.js";
import { ClaimPass } from "./claim_pass.js";
import { ClaimRouter } from "./claim_router.js";
import { ClaimStore } from "./claim_store.js";
import { ClaimStreams } from "./claim_streams.js";
import { UnclaimedPass } from "./unclaimed_pass.js";

/** Age beyond which a key that carries its date is refused, in milliseconds; below the time for which the log keeps records. */
const DEFAULT_HORIZON_MS = 6 * 86_400_000;

/** Which idempotency keys a node takes. */
export interface KeyRules {
    /** Age beyond which a key that carries its date is refused, in milliseconds. Defaults to 6 days. */
    readonly keyHorizonMs?: number;
    /**
     * Whether keys without a date are refused. Defaults to `false`; such keys are then guarded only as long as the log keeps their
     * records.
     */
    readonly requireDatedKeys?: boolean;
}

/** Settings of a {@linkcode ClaimGuard}. */
export interface ClaimGuardSettings {
    /** Id of this node. */
    readonly node: string;
    readonly clock: Clock;
    readonly ring: EventRing;
    readonly log: LogService;
    readonly members: MemberView;
    readonly client: ClaimClient;
    /** Which keys are taken. */
    readonly keyRules?: KeyRules;
}

/** Claims the keys of run-once and dispatch-once calls in the log. */
export class ClaimGuard extends DispatchGuard {
    /** Streams that this node combines or has read. */
    readonly streams: ClaimStreams;
    /** Outcomes and releases on their way to the log. */
    readonly store: ClaimStore;
    private readonly router: ClaimRouter;

    /** @param settings See {@linkcode ClaimGuardSettings}. */
    constructor(private readonly settings: ClaimGuardSettings) {
        super();
        this.streams = new ClaimStreams(settings);
        this.router = new ClaimRouter({ ...settings, streams: this.streams });
        this.store = new ClaimStore({ ...settings, router: this.router, onLost: entry => this.recordLost(entry) });
    }

    override admit(call: AcceptedCall): DispatchPermit {
        const { semantics } = call.operation;
        const { idempotencyKey } = call.incoming;
        if (idempotencyKey === undefined || semantics === Semantics.Repeatable) {
            return new UnclaimedPass(semantics);
        }
        const key = toClaimKey(call.workspace.name, idempotencyKey);
        this.checkDate(key);
        return new ClaimPass({ ...this.settings, router: this.router, store: this.store, call, key });
    }

    override close(signal: AbortSignal): Promise<void> {
        return this.store.flush(signal);
    }

    /** The stream itself shows when records have expired; the horizon covers a log that forgets an empty stream. */
    private checkDate({ createdAtMs }: ClaimKey): void {
        const { keyHorizonMs = DEFAULT_HORIZON_MS, requireDatedKeys = false } = this.settings.keyRules ?? {};
        if (createdAtMs === undefined && requireDatedKeys) {
            throw toUndated();
        }
        if (createdAtMs !== undefined && createdAtMs < this.settings.clock.now() - keyHorizonMs) {
            throw toExpired();
        }
    }

    private recordLost(entry: claimWire.ClaimEntry): void {
        const what = entry.kind === claimWire.ClaimEntryKind.CLAIM_ENTRY_KIND_OUTCOME ? "Outcome" : "Release";
        const text = `${what} did not reach the log; callers who ask again are told "unknown".`;
        this.settings.ring.record({ part: Part.Claim, kind: "lost", text, requestId: entry.attempt });
    }
}
