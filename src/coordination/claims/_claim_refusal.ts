/**
 * What callers are told when a claim does not give them the right to be dispatched.
 *
 * @module
 */

import { claimWire, Executed, Refusal, type RefusalSettings, RefusalType } from "../../protocol/mod.js";
import { RecordedAnswer } from "../dispatch_guard.js";

/** Time after which a caller may ask again for a call that still runs, in milliseconds. */
const IN_PROGRESS_RETRY_AFTER_MS = 1_000;

/** Time after which a caller may ask again when the log did not answer, in milliseconds. */
const LOG_RETRY_AFTER_MS = 2_000;

/** Field of the request that carries the key. */
const KEY_FIELD = "idempotency-key";

const { ClaimVerdictKind } = claimWire;

/**
 * Turns a verdict that gives no right into what the caller gets.
 *
 * @param verdict Verdict on the caller's claim.
 * @param isOwnerRunning Whether the owner of the key can still be at work.
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

/** Returns the refusal of a key whose records may have expired. */
export function toExpiredKeyRefusal(): Refusal {
    return createRefusal(
        RefusalType.KeyExpired,
        'Header "idempotency-key" is older than the records that are kept; an earlier call may have run. Send a new key.',
        { executed: Executed.Unknown, field: KEY_FIELD },
    );
}

/** Returns the refusal of a key that carries no date where one is required. */
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
