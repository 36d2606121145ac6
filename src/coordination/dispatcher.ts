/**
 * Dispatch of one call: attempts, retries by semantics, and the record of each.
 *
 * @module
 */

import {
    type AcceptedCall,
    DispatchError,
    DispatchFault,
    DispatchStep,
    Executed,
    Refusal,
    RefusalType,
} from "../protocol/mod.js";
import { type EventRing, Part, Semantics } from "../state/mod.js";
import type { CallScope } from "./_call_scope.js";
import type { AttemptMeter } from "./attempt_meter.js";
import { DispatchDecision, type DispatchPermit } from "./dispatch_guard.js";
import type { RetryBudget } from "./retry_budget.js";
import { type Assignment, DispatchResult, type Scheduler } from "./scheduler.js";

/** Most attempts of one call, the first included. */
const MAX_ATTEMPTS = 4;

/** Time after which a caller may ask again when backend servers failed, in milliseconds. */
const FAILED_RETRY_AFTER_MS = 1_000;

/** Reason for the end of an attempt whose first token is overdue. */
const FIRST_TOKEN_OVERDUE = new Error("the first token is overdue");

/** One call on its way to a backend server. */
export interface Dispatch {
    readonly scope: CallScope;
    readonly permit: DispatchPermit;
    /** Tokens of the answer held so far. */
    receivedTokens(): number;
    /**
     * Makes one attempt.
     *
     * @param assignment Right to send.
     * @param signal Ends the attempt.
     * @throws {DispatchError} When the answer did not come whole.
     */
    attempt(assignment: Assignment, signal: AbortSignal): Promise<void>;
}

/** Settings of a {@linkcode Dispatcher}. */
export interface DispatcherSettings {
    readonly scheduler: Scheduler;
    readonly retryBudget: RetryBudget;
    readonly ring: EventRing;
    /** Measures each attempt. Left out when nobody wants the figures. */
    readonly attemptMeter?: AttemptMeter;
}

/** Runs dispatches until one attempt succeeds or no further attempt is allowed. */
export class Dispatcher {
    /** @param settings See {@linkcode DispatcherSettings}. */
    constructor(private readonly settings: DispatcherSettings) {}

    /**
     * Runs one dispatch.
     *
     * @throws {Refusal} When no attempt succeeded.
     */
    async run(dispatch: Dispatch): Promise<void> {
        const excluded = new Set<string>();
        this.settings.retryBudget.recordAttempt();
        let attempt = 0;
        for (;;) {
            const assignment = await this.assign(dispatch, excluded);
            if (!await this.acquirePermit(dispatch, assignment)) {
                continue;
            }
            attempt += 1;
            const retry = isRepeatable(dispatch) ? new AbortController() : undefined;
            assignment.onFirstTokenOverdue = () => {
                if (retry !== undefined && attempt < MAX_ATTEMPTS && this.settings.retryBudget.tryRetry()) {
                    retry.abort(FIRST_TOKEN_OVERDUE);
                }
            };
            const error = await this.runAttempt(dispatch, assignment, retry);
            if (error === undefined) {
                return;
            }
            if (dispatch.scope.signal.aborted) {
                throw dispatch.scope.toRefusal();
            }
            if (attempt >= MAX_ATTEMPTS || !(retry?.signal.aborted || this.tryRetry(dispatch, error))) {
                throw toRefusal(error, dispatch.scope.executed);
            }
            excluded.add(error.peer);
        }
    }

    private async assign(dispatch: Dispatch, excluded: ReadonlySet<string>): Promise<Assignment> {
        const { scope } = dispatch;
        try {
            return await this.settings.scheduler.assign(scope.call, {
                signal: scope.signal,
                excluded,
                receivedTokens: dispatch.receivedTokens(),
            });
        }
        catch (error) {
            throw scope.signal.aborted ? scope.toRefusal() : withExecuted(error, scope.executed);
        }
    }

    /**
     * Takes the right to dispatch; gives the assignment back when there is none yet, so that a slow log holds no backend server.
     *
     * @returns Whether the call is to be dispatched by this assignment.
     */
    private async acquirePermit({ scope, permit: pass }: Dispatch, assignment: Assignment): Promise<boolean> {
        let right = DispatchDecision.AlreadyDispatched;
        try {
            right = await pass.tryAcquire();
            if (right === DispatchDecision.Granted && scope.signal.aborted) {
                pass.cancelDispatch();
                throw scope.toRefusal();
            }
        }
        catch (error) {
            assignment.release(DispatchResult.Abandoned);
            throw error;
        }
        if (right === DispatchDecision.Granted) {
            return true;
        }
        assignment.release(DispatchResult.Abandoned);
        if (right === DispatchDecision.AlreadyDispatched) {
            throw new Refusal(RefusalType.AlreadyDispatched, "This call was dispatched already; it is not sent again.", {
                executed: Executed.Unknown,
            });
        }
        await pass.awaitDecision(scope.signal);
        return false;
    }

    private async runAttempt(
        dispatch: Dispatch,
        assigned: Assignment,
        retry: AbortController | undefined,
    ): Promise<DispatchError | undefined> {
        const { scope } = dispatch;
        const assignment = this.settings.attemptMeter?.measure(assigned, scope) ?? assigned;
        const peer = assignment.server.vm.id;
        this.recordEvent(scope.call, peer, "dispatched", `Call was sent to ${peer}.`);
        const onEnd = () => retry?.abort(scope.signal.reason);
        if (retry !== undefined) {
            scope.signal.addEventListener("abort", onEnd);
        }
        try {
            await dispatch.attempt(assignment, retry?.signal ?? scope.signal);
            assignment.release(DispatchResult.Completed);
            this.recordEvent(scope.call, peer, "answered", `Whole answer came from ${peer}.`);
            return undefined;
        }
        catch (error) {
            assignment.release(scope.signal.aborted ? DispatchResult.Abandoned : DispatchResult.Failed);
            return this.recordFailure(dispatch, error);
        }
        finally {
            scope.signal.removeEventListener("abort", onEnd);
        }
    }

    private recordFailure(dispatch: Dispatch, error: unknown): DispatchError {
        if (!(error instanceof DispatchError)) {
            throw error;
        }
        if (error.executed === Executed.No) {
            dispatch.permit.cancelDispatch();
        }
        else {
            dispatch.scope.executed = Executed.Unknown;
        }
        this.recordEvent(
            dispatch.scope.call,
            error.peer,
            error.fault === DispatchFault.Crossed ? "crossed" : "failed",
            `${error.message}.`,
        );
        return error;
    }

    private tryRetry(dispatch: Dispatch, error: DispatchError): boolean {
        const notSent = error.step === DispatchStep.Connect;
        return (notSent || isRepeatable(dispatch)) && this.settings.retryBudget.tryRetry();
    }

    private recordEvent(call: AcceptedCall, peer: string, kind: string, text: string): void {
        this.settings.ring.record({ part: Part.Dispatch, kind, text, peer, requestId: call.incoming.id });
    }
}

function isRepeatable(dispatch: Dispatch): boolean {
    return dispatch.scope.call.operation.semantics === Semantics.Repeatable;
}

function toRefusal(error: DispatchError, executed: Executed): Refusal {
    return new Refusal(RefusalType.BackendFailed, `${error.message}.`, { executed, retryAfterMs: FAILED_RETRY_AFTER_MS });
}

function withExecuted(error: unknown, executed: Executed): unknown {
    if (!(error instanceof Refusal) || error.executed === executed || executed === Executed.No) {
        return error;
    }
    return new Refusal(error.type, error.message, { executed, retryAfterMs: error.retryAfterMs, field: error.field });
}
