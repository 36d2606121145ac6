/**
 * Results for callers whose claim does not permit a dispatch.
 *
 * @module
 */

import { claimWire, Executed, Refusal, type RefusalSettings, RefusalType } from "../../protocol/mod.js";
import { RecordedAnswer } from "../dispatch_guard.js";

/** `Retry-After` for a call whose key is claimed by a running call, in milliseconds. */
const IN_PROGRESS_RETRY_AFTER_MS = 1_000;

/** `Retry-After` when the log did not answer or no further undated key can be held, in milliseconds. */
const LOG_RETRY_AFTER_MS = 2_000;

/** Request header that carries the idempotency key. */
const KEY_FIELD = "idempotency-key";

const { ClaimVerdictKind } = claimWire;

/**
 * Converts a verdict that does not permit a dispatch into a refusal, or into the recorded answer of an earlier call.
 *
 * @param verdict Verdict on the caller's claim.
 * @param isOwnerRunning Whether the call that owns the key may still be running.
 */
export function toRefusal(verdict: claimWire.ClaimVerdict, isOwnerRunning: boolean): Refusal | RecordedAnswer {
    switch (verdict.kind) {
        case ClaimVerdictKind.CLAIM_VERDICT_KIND_RECORDED:
            return toRecordedResult(verdict.outcome as claimWire.ClaimOutcome);
        case ClaimVerdictKind.CLAIM_VERDICT_KIND_HELD:
            return toHeldRefusal(verdict, isOwnerRunning);
        case ClaimVerdictKind.CLAIM_VERDICT_KIND_CONFLICT:
            return createRefusal(
                RefusalType.KeyConflict,
                'Header "idempotency-key" was used with another body. Send a new key.',
                {
                    field: KEY_FIELD,
                },
            );
        case ClaimVerdictKind.CLAIM_VERDICT_KIND_EXPIRED:
            return toExpiredKeyRefusal();
        case ClaimVerdictKind.CLAIM_VERDICT_KIND_FULL:
            return createRefusal(
                RefusalType.Overloaded,
                'Header "idempotency-key" has no date, and as many such keys are held as may be. Send a UUID of version 7.',
                { field: KEY_FIELD, retryAfterMs: LOG_RETRY_AFTER_MS },
            );
        case ClaimVerdictKind.CLAIM_VERDICT_KIND_NOT_APPENDED:
            return createRefusal(RefusalType.LogUnavailable, "The log did not answer in time; the call was not run. Try again.", {
                retryAfterMs: LOG_RETRY_AFTER_MS,
            });
        default:
            return createRefusal(
                RefusalType.LogUnavailable,
                "The log did not answer in time; the call was not dispatched, but its claim may stand. Ask again with the same key.",
                { executed: Executed.Unknown, retryAfterMs: LOG_RETRY_AFTER_MS },
            );
    }
}

/** Creates the refusal for a key whose records may have expired. */
export function toExpiredKeyRefusal(): Refusal {
    return createRefusal(
        RefusalType.KeyExpired,
        'Header "idempotency-key" is older than the records that are kept; an earlier call may have run. Send a new key.',
        { executed: Executed.Unknown, field: KEY_FIELD },
    );
}

/** Creates the refusal for an undated key where dated keys are required. */
export function toUndatedKeyRefusal(): Refusal {
    return createRefusal(RefusalType.InvalidRequest, 'Header "idempotency-key" carries no date. Send a UUID of version 7.', {
        field: KEY_FIELD,
    });
}

function toHeldRefusal({ owner }: claimWire.ClaimVerdict, isOwnerRunning: boolean): Refusal {
    if (isOwnerRunning) {
        return createRefusal(RefusalType.InProgress, "A call of this key is still running. Try again.", {
            executed: Executed.Unknown,
            retryAfterMs: IN_PROGRESS_RETRY_AFTER_MS,
        });
    }
    return createRefusal(
        RefusalType.AlreadyDispatched,
        `A call of this key was claimed by ${owner}, and no outcome is recorded; it is not sent again. Ask an operator.`,
        { executed: Executed.Unknown },
    );
}

function toRecordedResult(outcome: claimWire.ClaimOutcome): Refusal | RecordedAnswer {
    if (outcome.kept) {
        const { status, contentType, body } = outcome;
        return new RecordedAnswer({ status, contentType, body: Buffer.from(body) });
    }
    return createRefusal(RefusalType.AlreadyDispatched, "A call of this key was answered, and its answer was not kept.", {
        executed: Executed.Unknown,
    });
}

function createRefusal(type: RefusalType, detail: string, settings: RefusalSettings): Refusal {
    return new Refusal(type, detail, settings);
}
