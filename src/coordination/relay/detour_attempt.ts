/**
 * One attempt of a call by way of a peer.
 *
 * @module
 */

import {
    type AnswerHead,
    AnswerPlace,
    type AttemptAnswer,
    AttemptEnd,
    AttemptError,
    AttemptFault,
    type DetourPeer,
    type EndAttempt,
} from "../../protocol/relay/mod.js";
import { MAX_ANSWER_BYTES, readWhole } from "./answer_reader.js";
import type { EventStreamSplitter } from "./event_stream_splitter.js";
import { type AdmittedCall, type CallState, type FinalAnswer, MISDIRECTED_STATUS } from "./final_answer.js";

/** Status with which a peer states that the call has not run. */
const REFUSED_STATUS = 503;

/** Statuses of a peer that has not served the call: it reaches no server, does not know this node yet, or cannot read the call. */
const NOT_TAKEN_STATUSES: ReadonlySet<number> = new Set([400, 403, MISDIRECTED_STATUS]);

/** Status of a call that may have run and whose answer broke off. */
const BROKEN_STATUS = 502;

/** How an attempt by way of a peer ended. */
export enum DetourOutcome {
    /** The caller has its final answer. */
    Answered = "answered",
    /** The peer was not reached, or reaches no server either; the call has not run. */
    NotTaken = "notTaken",
    /** The answer broke off; the call may have run. */
    Broken = "broken",
    /** This node gave the call up: its caller left, or its time is over. */
    Cancelled = "cancelled",
}

/** Parts of the call that the attempt continues. */
export interface DetourAttemptSettings {
    readonly admitted: AdmittedCall;
    readonly state: CallState;
    readonly finalAnswer: FinalAnswer;
    readonly splitter: EventStreamSplitter;
    readonly peer: DetourPeer;
    readonly answer: AttemptAnswer;
    /** Records how this node knows that the call has not run at the peer. */
    readonly endAttempt: EndAttempt;
    /** Called when the first event of a stream, or a complete answer, is received. */
    readonly onFirstEvent: () => void;
}

/** Passes a peer's answer on to the caller. */
export class DetourAttempt {
    /** @param settings See {@linkcode DetourAttemptSettings}. */
    constructor(private readonly settings: DetourAttemptSettings) {}

    /** Waits for the answer and writes it. */
    async run(): Promise<DetourOutcome> {
        const { answer, admitted } = this.settings;
        try {
            const head = await answer.awaitHead();
            if (!head.isSealed) {
                return await this.handlePeerAnswer(head);
            }
            const isStream = admitted.route.isStream && head.status < 300;
            return isStream ? await this.relayStream(head) : await this.relayCompleteAnswer(head);
        }
        catch (error) {
            if (!(error instanceof AttemptError)) {
                throw error;
            }
            return this.handleError(error);
        }
        finally {
            answer.cancel();
        }
    }

    /** Handles an answer that the peer itself generated. */
    private async handlePeerAnswer({ status }: AnswerHead): Promise<DetourOutcome> {
        const { admitted, answer, finalAnswer, peer, state } = this.settings;
        const text = readText(await readWhole(answer));
        state.lastFailureReason = `peer ${peer.node} answered with status ${status}: ${text}`;
        if (isNotRun(status)) {
            this.settings.endAttempt(AttemptEnd.Refused);
        }
        if (NOT_TAKEN_STATUSES.has(status)) {
            return DetourOutcome.NotTaken;
        }
        if (!state.mayHaveRun) {
            finalAnswer.refuse(AnswerPlace.Peer, text);
        }
        else if (admitted.answer.isStarted) {
            finalAnswer.fail();
        }
        else {
            finalAnswer.failAs(AnswerPlace.Peer, status === REFUSED_STATUS ? BROKEN_STATUS : status, text);
        }
        return DetourOutcome.Answered;
    }

    private async relayCompleteAnswer(head: AnswerHead): Promise<DetourOutcome> {
        const body = await readWhole(this.settings.answer);
        if (body === undefined) {
            return this.fail(`peer ${this.settings.peer.node} sent an answer of more than ${MAX_ANSWER_BYTES} bytes`);
        }
        this.settings.onFirstEvent();
        this.settings.finalAnswer.sendComplete({ head, body });
        return DetourOutcome.Answered;
    }

    private async relayStream(head: AnswerHead): Promise<DetourOutcome> {
        const { admitted, answer, finalAnswer, peer, splitter } = this.settings;
        splitter.dropPartialEvent();
        for (let chunk = await answer.next(); chunk !== undefined; chunk = await answer.next()) {
            const { bytes, count } = splitter.push(chunk);
            if (splitter.isEventTooLong) {
                return this.fail(`peer ${peer.node} sent an event that is too long`);
            }
            answer.recordRead(splitter.partialLength, count);
            if (count > 0) {
                this.startStream(head);
                await admitted.answer.write(bytes);
            }
        }
        if (splitter.hasPartialEvent) {
            return this.fail(`peer ${peer.node} ended its stream within an event`);
        }
        this.startStream(head);
        finalAnswer.endStream(head.status);
        return DetourOutcome.Answered;
    }

    private startStream({ status, endToEnd }: AnswerHead): void {
        if (!this.settings.admitted.answer.isStarted) {
            this.settings.onFirstEvent();
            this.settings.admitted.answer.start(status, endToEnd);
        }
    }

    private handleError(error: AttemptError): DetourOutcome {
        const { state } = this.settings;
        state.lastFailureReason = error.message;
        if (error.isUnsent) {
            this.settings.endAttempt(AttemptEnd.Unsent);
            return DetourOutcome.NotTaken;
        }
        return error.fault === AttemptFault.Cancelled ? DetourOutcome.Cancelled : DetourOutcome.Broken;
    }

    private fail(reason: string): DetourOutcome {
        this.settings.state.lastFailureReason = reason;
        return DetourOutcome.Broken;
    }
}

/** @returns Whether a peer's own answer states that the call has not run there. */
export function isNotRun(status: number): boolean {
    return NOT_TAKEN_STATUSES.has(status) || status === REFUSED_STATUS;
}

/** @returns Text of an answer that a node generated. */
export function readText(body: Buffer | undefined): string {
    try {
        const { error } = JSON.parse(String(body ?? "")) as { readonly error?: unknown };
        return String(error ?? "");
    }
    catch {
        return "";
    }
}
