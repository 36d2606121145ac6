/**
 * Guard that lets the log decide which call of a key is dispatched.
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

/** Age beyond which a key that carries its date is refused, in milliseconds; below the time for which the log keeps records. */
const DEFAULT_KEY_HORIZON_MS = 6 * 86_400_000;

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

    /** The stream itself shows when records have expired; the horizon covers a log that forgets an empty stream. */
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
        const what = entry.kind === claimWire.ClaimEntryKind.CLAIM_ENTRY_KIND_OUTCOME ? "Outcome" : "Release";
        const text = `${what} did not reach the log; callers who ask again are told "unknown".`;
        this.settings.ring.record({ part: Part.Claim, kind: "lost", text, requestId: entry.attempt });
    }
}
