/**
 * Attempt by way of peers beside the attempt at a server that has fallen silent.
 *
 * The server may go on at any time, so its attempt is given up only once a peer has an answer, and the peer's once the server goes on:
 * a hedged request, see Dean and Barroso, "The Tail at Scale" (2013).
 *
 * @module
 */

import {
    type AttemptAnswer,
    AttemptEnd,
    AttemptError,
    AttemptFault,
    type DetourPeer,
    type EndAttempt,
    NOT_RUN_STATUSES,
} from "../../protocol/relay/mod.js";
import { DetourOutcome, isNotRun, readText } from "./detour_attempt.js";
import { type CompleteAnswer, MIN_SERVER_ERROR_STATUS } from "./final_answer.js";
import { ReadAheadAnswer } from "./read_ahead_answer.js";

/** How a detour ends whose answer breaks off, by the fault. */
const OUTCOME_BY_FAULT: Readonly<Record<AttemptFault, DetourOutcome>> = {
    [AttemptFault.NotRun]: DetourOutcome.NotTaken,
    [AttemptFault.Unwritable]: DetourOutcome.NotTaken,
    [AttemptFault.Unknown]: DetourOutcome.Broken,
    [AttemptFault.TooLarge]: DetourOutcome.Broken,
    [AttemptFault.Cancelled]: DetourOutcome.Cancelled,
};

/** Call that was handed to a peer. */
export interface StartedDetour {
    readonly peer: DetourPeer;
    /** Backend servers to which the peer may send the call. */
    readonly maxAttempts: number;
    readonly answer: AttemptAnswer;
    /** Records how this node knows that the call has not run at the peer. */
    readonly endAttempt: EndAttempt;
}

/** Detour that ended without an answer that may be used. */
export interface FailedDetour extends StartedDetour {
    readonly outcome: DetourOutcome;
    readonly reason: string;
    /** Error answer of a backend server. */
    readonly failedAnswer?: CompleteAnswer | undefined;
}

/** Settings of a {@linkcode DetourHedge}. */
export interface DetourHedgeSettings {
    /** Whether the call's successful answer is a stream. */
    readonly isStream: boolean;
    /** Hands the call to a peer, to be cancelled by the signal; `undefined` if there is none, or the call may not be sent again. */
    readonly startDetour: (signal: AbortSignal) => StartedDetour | undefined;
    /** Called when a peer has an answer, which is used from then on; the server's attempt must end. */
    readonly onTakenOver: () => void;
    /** Called when a detour ends in another way. */
    readonly onFailed: (detour: FailedDetour) => void;
    /** Called with errors of this node; the server's attempt goes on. */
    readonly onError: (error: unknown) => void;
    /** Cancels the call. */
    readonly signal: AbortSignal;
}

/** Asks one peer after the other until one has an answer or the server goes on. */
export class DetourHedge {
    /** Detour whose answer is used; `undefined` if no peer has one. */
    readonly result: Promise<StartedDetour | undefined>;
    /** Whether a peer's answer is used, so that nothing of the server's may be. */
    isTakenOver = false;
    /** Whether no peer has taken the call over, and none is asked any more. */
    isOver = false;
    private readonly abortController = new AbortController();
    private current: StartedDetour | undefined;
    private readonly onCallAborted = () => this.abortController.abort(this.settings.signal.reason);

    /** @param settings See {@linkcode DetourHedgeSettings}. */
    constructor(private readonly settings: DetourHedgeSettings) {
        settings.signal.addEventListener("abort", this.onCallAborted, { once: true });
        this.result = this.run();
    }

    /** Gives the peers up as the server goes on, unless one of them has taken the call over. */
    cancel(): void {
        if (!this.isTakenOver) {
            this.endCurrent(DetourOutcome.Cancelled, "the server of the call goes on");
            this.abortController.abort();
        }
    }

    /** Gives the peers up as the call ends, also one that has taken it over. */
    end(): void {
        this.endCurrent(DetourOutcome.Cancelled, "the call has ended");
        this.abortController.abort();
    }

    private async run(): Promise<StartedDetour | undefined> {
        try {
            return await this.askPeers();
        }
        catch (error) {
            this.settings.onError(error);
            return undefined;
        }
        finally {
            if (!this.isTakenOver) {
                this.isOver = true;
                this.settings.signal.removeEventListener("abort", this.onCallAborted);
            }
        }
    }

    private async askPeers(): Promise<StartedDetour | undefined> {
        const { signal } = this.abortController;
        while (!signal.aborted) {
            const detour = this.settings.startDetour(signal);
            if (detour === undefined) {
                return undefined;
            }
            const answer = new ReadAheadAnswer(detour.answer);
            this.current = detour;
            if (await this.awaitAnswer(answer) && !signal.aborted) {
                this.isTakenOver = true;
                this.settings.onTakenOver();
                return { ...detour, answer };
            }
            answer.cancel();
        }
        return undefined;
    }

    /** @returns Whether the peer has an answer that serves the call. */
    private async awaitAnswer(answer: ReadAheadAnswer): Promise<boolean> {
        try {
            const head = await answer.awaitHead();
            const { status } = head;
            if (head.isSealed && this.settings.isStream && status < 300) {
                const hasEvent = await answer.readEvent();
                return hasEvent || this.endCurrent(DetourOutcome.Broken, "the peer ended its stream within an event");
            }
            const body = await answer.readBody();
            if (!head.isSealed) {
                const outcome = isNotRun(status) ? DetourOutcome.NotTaken : DetourOutcome.Broken;
                if (outcome === DetourOutcome.NotTaken) {
                    this.current?.endAttempt(AttemptEnd.Refused);
                }
                return this.endCurrent(outcome, `the peer answered with status ${status}: ${readText(body)}`);
            }
            if (body === undefined) {
                return this.endCurrent(DetourOutcome.Broken, "the peer sent an answer that is too long");
            }
            const isServed = !this.settings.isStream && status < MIN_SERVER_ERROR_STATUS && !NOT_RUN_STATUSES.has(status);
            return isServed ||
                this.endCurrent(DetourOutcome.Broken, `the peer passed an answer with status ${status} on`, { head, body });
        }
        catch (error) {
            const fault = error instanceof AttemptError ? error.fault : AttemptFault.Unknown;
            if (error instanceof AttemptError && error.isUnsent) {
                this.current?.endAttempt(AttemptEnd.Unsent);
            }
            return this.endCurrent(OUTCOME_BY_FAULT[fault], String(error));
        }
    }

    private endCurrent(outcome: DetourOutcome, reason: string, failedAnswer?: CompleteAnswer): false {
        const { current } = this;
        this.current = undefined;
        if (current !== undefined) {
            this.settings.onFailed({ ...current, outcome, reason, failedAnswer });
        }
        return false;
    }
}
