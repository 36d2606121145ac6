/**
 * Relay of a backend server's answer to the caller.
 *
 * @module
 */

import { type AnswerHead, type AttemptAnswer, type HeaderList, NOT_RUN_STATUSES } from "../../protocol/relay/mod.js";
import type { Clock } from "../../state/relay/mod.js";
import { MAX_ANSWER_BYTES, readWhole } from "./answer_reader.js";
import type { CallQuarantine, SentAttempt } from "./call_quarantine.js";
import type { CallTrait } from "./call_traits.js";
import type { EventStreamSplitter } from "./event_stream_splitter.js";
import { type AdmittedCall, type CallState, type FinalAnswer, MIN_SERVER_ERROR_STATUS } from "./final_answer.js";
import { AttemptOutcome } from "./server_call_observer.js";
import type { SlotReservation } from "./slot_reservation.js";

/** Attempt whose answer is relayed, and the call that it belongs to. */
export interface ServerAnswerSettings {
    readonly clock: Clock;
    readonly quarantine: CallQuarantine;
    readonly admitted: AdmittedCall;
    readonly state: CallState;
    readonly finalAnswer: FinalAnswer;
    readonly splitter: EventStreamSplitter;
    readonly traits: readonly CallTrait[];
    readonly slot: SlotReservation;
    /** Time at which the call was sent, in milliseconds since the Unix epoch. */
    readonly sentAtMs: number;
    readonly answer: AttemptAnswer;
    /** Returns whether the answer of another attempt is used, so that nothing of this one may be written. */
    readonly isTakenOver: () => boolean;
    /** Called before a part of the answer is written. */
    readonly onProgress: () => void;
    /** Called with the reason if the answer is no success. */
    readonly onFailed: (reason: string) => void;
}

/** Relays the answer of a server that ran the call. */
export class ServerAnswer {
    /** Number of events that have arrived. */
    events = 0;

    private readonly attempt: SentAttempt;

    /** @param settings See {@linkcode ServerAnswerSettings}. */
    constructor(private readonly settings: ServerAnswerSettings) {
        this.attempt = { server: settings.slot.server, sentAtMs: settings.sentAtMs };
    }

    /**
     * Writes the answer, unless it is a failure.
     *
     * @throws {AttemptError} When the answer breaks off.
     */
    async relay(head: AnswerHead): Promise<AttemptOutcome> {
        const isStream = this.settings.admitted.route.isStream && head.status < 300;
        return isStream ? await this.relayStream(head) : await this.relayComplete(head);
    }

    private async relayComplete(head: AnswerHead): Promise<AttemptOutcome> {
        const { slot, answer } = this.settings;
        const body = await readWhole(answer);
        if (body === undefined) {
            this.settings.onFailed(`server ${slot.server.id} sent an answer of more than ${MAX_ANSWER_BYTES} bytes`);
            return AttemptOutcome.Bad;
        }
        slot.recordFirstEvent();
        if (this.settings.isTakenOver()) {
            return AttemptOutcome.Neutral;
        }
        this.settings.state.times.firstMs ??= this.elapsedMs();
        if (!head.isSealed || head.isEncoded) {
            this.settings.onFailed(
                `server ${slot.server.id} sent an answer of status ${head.status} that is not its own`,
            );
            return AttemptOutcome.Bad;
        }
        if (head.status >= MIN_SERVER_ERROR_STATUS || NOT_RUN_STATUSES.has(head.status)) {
            this.settings.state.lastFailedAnswer = { head, body };
            this.settings.onFailed(`server ${slot.server.id} answered with status ${head.status}`);
            return AttemptOutcome.Bad;
        }
        this.settings.quarantine.recordAnswered(this.settings.traits, this.attempt);
        this.settings.onProgress();
        this.settings.finalAnswer.sendComplete({ head, body });
        return AttemptOutcome.Good;
    }

    private async relayStream(head: AnswerHead): Promise<AttemptOutcome> {
        const { slot, answer, splitter } = this.settings;
        if (!head.isSealed || head.isEncoded) {
            this.settings.onFailed(`server ${slot.server.id} sent a stream that is not its own`);
            return AttemptOutcome.Bad;
        }
        splitter.dropPartialEvent();
        for (let chunk = await answer.next(); chunk !== undefined; chunk = await answer.next()) {
            if (this.settings.isTakenOver()) {
                return AttemptOutcome.Neutral;
            }
            const { bytes, count } = splitter.push(chunk);
            if (splitter.isEventTooLong) {
                this.settings.onFailed(`server ${slot.server.id} sent an event that is too long`);
                return AttemptOutcome.Bad;
            }
            answer.recordRead(splitter.partialLength, count);
            if (count === 0) {
                continue;
            }
            slot.recordFirstEvent();
            slot.recordEvents(count);
            this.events += count;
            this.settings.quarantine.recordProgress(this.settings.traits, this.attempt, this.events);
            this.settings.onProgress();
            this.startStream(head.status, head.endToEnd);
            await this.settings.admitted.answer.write(bytes);
        }
        if (this.settings.isTakenOver()) {
            return AttemptOutcome.Neutral;
        }
        const isResumed = this.settings.admitted.answer.isStarted ||
            this.settings.admitted.call.head.lastEventId !== undefined;
        // A server that crashes also ends its stream by closing the connection.
        const isEmpty = this.events === 0 && (!isResumed || head.isCloseDelimited);
        if (splitter.hasPartialEvent || isEmpty) {
            const where = isEmpty ? "without an event" : "within an event";
            this.settings.onFailed(`server ${slot.server.id} ended its stream ${where}`);
            slot.state.recordBroken();
            if (slot.state.isBrittle) {
                return AttemptOutcome.Neutral;
            }
            this.settings.quarantine.recordBroken(this.settings.traits, slot.server, this.events);
            return AttemptOutcome.Broken;
        }
        if (this.events > 0) {
            this.settings.quarantine.recordAnswered(this.settings.traits, this.attempt);
        }
        this.settings.onProgress();
        this.startStream(head.status, head.endToEnd);
        this.settings.finalAnswer.endStream(head.status);
        return AttemptOutcome.Good;
    }

    private startStream(status: number, headers: HeaderList): void {
        if (!this.settings.admitted.answer.isStarted) {
            this.settings.state.times.firstMs ??= this.elapsedMs();
            this.settings.admitted.answer.start(status, headers);
        }
    }

    private elapsedMs(): number {
        return this.settings.clock.now() - this.settings.admitted.call.arrivedAtMs;
    }
}
