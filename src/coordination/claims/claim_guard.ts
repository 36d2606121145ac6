/**
 * Guard that decides by claims in the log which call with an idempotency key is dispatched.
 *
 * @module
 */

import { type AcceptedCall, type ClaimClient, claimWire, type LogService, type MemberView } from "../../protocol/mod.js";
import { type Clock, type EventRing, Part, Semantics } from "../../state/mod.js";
import { DispatchGuard, type DispatchPermit } from "../dispatch_guard.js";
import { toExpiredKeyRefusal, toUndatedKeyRefusal } from "./_claim_refusal.js";
import { type ClaimKey, toClaimKey } from "./claim_key.js";
import { ClaimOutbox } from "./claim_outbox.js";
import { ClaimPermit } from "./claim_permit.js";
import { ClaimRouter } from "./claim_router.js";
import { ClaimStreams } from "./claim_streams.js";
import { UnclaimedPermit } from "./unclaimed_permit.js";

/** Default maximum age of a dated key, in milliseconds; shorter than the retention of the log. */
const DEFAULT_KEY_HORIZON_MS = 6 * 86_400_000;

/** Rules for the idempotency keys that a node accepts. */
export interface KeyRules {
    /**
     * Maximum age of a dated key, which contains its creation time, in milliseconds; older keys are refused. Defaults to 6 days.
     */
    readonly keyHorizonMs?: number;
    /**
     * Whether undated keys are refused. Defaults to `false`; undated keys are then protected against repeated dispatch only while the
     * log retains their records.
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
    /** Rules for idempotency keys; see {@linkcode KeyRules}. */
    readonly keyRules?: KeyRules;
}

/** Guard that claims the keys of run-once and dispatch-once calls in the log. */
export class ClaimGuard extends DispatchGuard {
    /** Claim streams that this node has appended to or read. */
    readonly streams: ClaimStreams;
    /** Outcomes and releases that are being committed to the log in the background. */
    readonly outbox: ClaimOutbox;
    private readonly router: ClaimRouter;

    /** @param settings See {@linkcode ClaimGuardSettings}. */
    constructor(private readonly settings: ClaimGuardSettings) {
        super();
        this.streams = new ClaimStreams(settings);
        this.router = new ClaimRouter({ ...settings, streams: this.streams });
        this.outbox = new ClaimOutbox({ ...settings, router: this.router, onLost: entry => this.recordLostEntry(entry) });
    }

    override admit(call: AcceptedCall): DispatchPermit {
        const { semantics } = call.operation;
        const { idempotencyKey } = call.incoming;
        if (idempotencyKey === undefined || semantics === Semantics.Repeatable) {
            return new UnclaimedPermit(semantics);
        }
        const key = toClaimKey(call.workspace.name, idempotencyKey);
        this.checkKeyAge(key);
        return new ClaimPermit({ ...this.settings, router: this.router, outbox: this.outbox, call, key });
    }

    override close(signal: AbortSignal): Promise<void> {
        return this.outbox.flush(signal);
    }

    /**
     * Refuses a dated key that is too old, and an undated key where dated keys are required.
     *
     * The first offset of a stream normally shows that records have expired. The age limit covers logs that delete an empty stream
     * and so lose that offset.
     */
    private checkKeyAge({ createdAtMs }: ClaimKey): void {
        const { keyHorizonMs = DEFAULT_KEY_HORIZON_MS, requireDatedKeys = false } = this.settings.keyRules ?? {};
        if (createdAtMs === undefined && requireDatedKeys) {
            throw toUndatedKeyRefusal();
        }
        if (createdAtMs !== undefined && createdAtMs < this.settings.clock.now() - keyHorizonMs) {
            throw toExpiredKeyRefusal();
        }
    }

    private recordLostEntry(entry: claimWire.ClaimEntry): void {
        const entryName = entry.kind === claimWire.ClaimEntryKind.CLAIM_ENTRY_KIND_OUTCOME ? "Outcome" : "Release";
        const text = `${entryName} was not committed to the log; a retry with the same key is answered "unknown".`;
        this.settings.ring.record({ part: Part.Claim, kind: "lost", text, requestId: entry.attempt });
    }
}
