/**
 * Dispatch of calls to backend servers, with retries as far as the semantics of the operation allow.
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

/** Maximum number of attempts per call, including the first. */
const MAX_ATTEMPTS = 4;

/** Retry-after time sent to a caller when all attempts failed, in milliseconds. */
const FAILED_RETRY_AFTER_MS = 1_000;

/** Abort reason of an attempt whose first token is overdue. */
const FIRST_TOKEN_OVERDUE = new Error("the first token is overdue");

/** Call to be sent to a backend server, with the state that is kept across its attempts. */
export interface Dispatch {
    readonly scope: CallScope;
    readonly permit: DispatchPermit;
    /** Returns the number of answer tokens received so far. */
    receivedTokens(): number;
    /**
     * Sends the call to the assigned backend server once.
     *
     * @param assignment Backend server to send to.
     * @param signal Cancels the attempt when aborted.
     * @throws {DispatchError} When the complete answer was not received.
     */
    attempt(assignment: Assignment, signal: AbortSignal): Promise<void>;
}

/** Settings of a {@linkcode Dispatcher}. */
export interface DispatcherSettings {
    readonly scheduler: Scheduler;
    readonly retryBudget: RetryBudget;
    readonly ring: EventRing;
    /** Measures each attempt. Attempts are not measured without it. */
    readonly attemptMeter?: AttemptMeter;
}

/** Runs attempts of a call until one succeeds or no further attempt is allowed. */
export class Dispatcher {
    /** @param settings See {@linkcode DispatcherSettings}. */
    constructor(private readonly settings: DispatcherSettings) {}

    /**
     * Runs the attempts of one call.
     *
     * @throws {Refusal} When no attempt succeeded.
     */
    async run(dispatch: Dispatch): Promise<void> {
        const excludedServers = new Set<string>();
        this.settings.retryBudget.recordFirstAttempt();
        let attempt = 0;
        for (;;) {
            const assignment = await this.assign(dispatch, excludedServers);
            if (!await this.acquirePermit(dispatch, assignment)) {
                continue;
            }
            attempt += 1;
            const attemptAbort = isRepeatable(dispatch) ? new AbortController() : undefined;
            assignment.onFirstTokenOverdue = () => {
                if (attemptAbort !== undefined && attempt < MAX_ATTEMPTS && this.settings.retryBudget.tryRetry()) {
                    attemptAbort.abort(FIRST_TOKEN_OVERDUE);
                }
            };
            const error = await this.runAttempt(dispatch, assignment, attemptAbort);
            if (error === undefined) {
                return;
            }
            if (dispatch.scope.signal.aborted) {
                throw dispatch.scope.toRefusal();
            }
            if (attempt >= MAX_ATTEMPTS || !(attemptAbort?.signal.aborted || this.tryRetry(dispatch, error))) {
                throw toRefusal(error, dispatch.scope.executed);
            }
            excludedServers.add(error.peer);
        }
    }

    private async assign(dispatch: Dispatch, excludedServers: ReadonlySet<string>): Promise<Assignment> {
        const { scope } = dispatch;
        try {
            return await this.settings.scheduler.assign(scope.call, {
                signal: scope.signal,
                excludedServers,
                receivedTokens: dispatch.receivedTokens(),
            });
        }
        catch (error) {
            throw scope.signal.aborted ? scope.toRefusal() : withExecuted(error, scope.executed);
        }
    }

    /**
     * Acquires permission to dispatch. While the decision is pending the assignment is released, so that a slow log does not
     * occupy a backend server.
     *
     * @returns `true` if the call may be sent with this assignment, `false` if another assignment is needed.
     */
    private async acquirePermit({ scope, permit }: Dispatch, assignment: Assignment): Promise<boolean> {
        let decision = DispatchDecision.AlreadyDispatched;
        try {
            decision = await permit.tryAcquire();
            if (decision === DispatchDecision.Granted && scope.signal.aborted) {
                permit.cancelDispatch();
                throw scope.toRefusal();
            }
        }
        catch (error) {
            assignment.release(DispatchResult.Abandoned);
            throw error;
        }
        if (decision === DispatchDecision.Granted) {
            return true;
        }
        assignment.release(DispatchResult.Abandoned);
        if (decision === DispatchDecision.AlreadyDispatched) {
            throw new Refusal(RefusalType.AlreadyDispatched, "This call was dispatched already; it is not sent again.", {
                executed: Executed.Unknown,
            });
        }
        await permit.awaitDecision(scope.signal);
        return false;
    }

    private async runAttempt(
        dispatch: Dispatch,
        assigned: Assignment,
        attemptAbort: AbortController | undefined,
    ): Promise<DispatchError | undefined> {
        const { scope } = dispatch;
        const assignment = this.settings.attemptMeter?.measure(assigned, scope) ?? assigned;
        const peer = assignment.server.vm.id;
        this.recordEvent(scope.call, peer, "dispatched", `Call was sent to ${peer}.`);
        const onScopeAbort = () => attemptAbort?.abort(scope.signal.reason);
        if (attemptAbort !== undefined) {
            scope.signal.addEventListener("abort", onScopeAbort);
        }
        try {
            await dispatch.attempt(assignment, attemptAbort?.signal ?? scope.signal);
            assignment.release(DispatchResult.Completed);
            this.recordEvent(scope.call, peer, "answered", `Complete answer was received from ${peer}.`);
            return undefined;
        }
        catch (error) {
            assignment.release(scope.signal.aborted ? DispatchResult.Abandoned : DispatchResult.Failed);
            return this.recordFailure(dispatch, error);
        }
        finally {
            scope.signal.removeEventListener("abort", onScopeAbort);
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
            error.fault === DispatchFault.Mismatched ? "crossed" : "failed",
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
