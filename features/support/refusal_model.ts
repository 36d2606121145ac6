/**
 * Relay node whose servers and peers end each attempt in a drawn way, under a virtual clock.
 *
 * @module
 */

import {
    type AnswerHead,
    AttemptAnswer,
    AttemptError,
    AttemptFault,
    type AttemptHead,
    type DetourCall,
    type DetourPeer,
    NOT_RUN_STATUSES,
    type RelayCall,
} from "../../src/protocol/relay/mod.js";
import type { Clock, RelayServer } from "../../src/state/relay/mod.js";
import { makeAnswerHead, ScriptedAnswer, type ScriptedPart } from "./scripted_answer.js";
import type { ScriptedCaller } from "./scripted_caller.js";
import { formatScriptedEvent, SCRIPTED_EVENTS, SilenceModel, type SilenceSettings } from "./silence_model.js";

/** How a receiver ends an attempt. */
export enum ReceiverEnd {
    /** It answers with success. */
    Answers = "answers",
    /** It states that it has not run the call. */
    Refuses = "refuses",
    /** It hands the call back, as it is another server or reaches none. */
    HandsBack = "hands back",
    /** It answers 503 without a statement that it has not run the call. */
    Unavailable = "unavailable",
    /** A peer passes a server's answer 503 on that states nothing. */
    PassesOn = "passes 503 on",
    /** It answers 500. */
    Fails = "fails",
    /** No connection is opened. */
    Unreached = "unreached",
    /** The node can write the call to no connection. */
    Unwritable = "unwritable",
    /** The connection breaks before the head of the answer. */
    Breaks = "breaks",
    /** The connection breaks within the answer. */
    BreaksLate = "breaks late",
    /** It is silent until the call is given up. */
    Hangs = "hangs",
    /** An error inside the node ends the reading of its answer. */
    ReadFails = "read fails",
    /** An error inside the node ends the sending of the call. */
    SendFails = "send fails",
}

/** Ends after which the receiver has certainly not run the call. */
const NOT_RUN_ENDS: ReadonlySet<ReceiverEnd> = new Set([
    ReceiverEnd.Refuses,
    ReceiverEnd.HandsBack,
    ReceiverEnd.Unreached,
    ReceiverEnd.Unwritable,
    ReceiverEnd.SendFails,
]);

/** Attempt as it is drawn. */
export interface DrawnAttempt {
    readonly end: ReceiverEnd;
    /** Time until its end, or its head, in milliseconds. */
    readonly delayMs: number;
}

/** Settings of a {@linkcode RefusalModel}. */
export interface RefusalSettings extends SilenceSettings {
    /** Attempts in their order; those after the last one are answered. */
    readonly attempts: readonly DrawnAttempt[];
    /** Time after the calls at which the node stops, and from then until its last answers, in milliseconds. */
    readonly stopsAfterMs: number | undefined;
    readonly graceMs: number;
}

/** Attempt that a receiver may have run. */
interface PossibleRun {
    readonly id: string;
    readonly atMs: number;
}

/** Node, servers and peers whose attempts are drawn. */
export class RefusalModel extends SilenceModel {
    /** Attempts that their receivers may have run. */
    readonly possibleRuns: PossibleRun[] = [];
    /** Times at which a call was handed to a client, by the id of the call. */
    readonly sends: PossibleRun[] = [];
    private nextAttempt = 0;

    /** @param drawn See {@linkcode RefusalSettings}. */
    constructor(private readonly drawn: RefusalSettings) {
        super(drawn);
    }

    override async run(): Promise<void> {
        if (this.drawn.stopsAfterMs !== undefined) {
            void this.stopAfter(this.drawn.stopsAfterMs);
        }
        await super.run();
    }

    /** Returns what is wrong with the answers; empty if nothing is. */
    findFaults(): readonly string[] {
        const faults: string[] = [];
        for (const [id, caller] of this.callers) {
            const runs = this.possibleRuns.filter(run => run.id === id);
            if (!this.drawn.call.mayRepeat && runs.length > 1) {
                faults.push(`${id} may have run ${runs.length} times`);
            }
            if (this.isPromised(caller) && runs.length > 0) {
                faults.push(`${id} was answered ${caller.status} (${caller.body}) and may have run`);
            }
            if (caller.isEnded && this.sends.some(({ id: sent, atMs }) => sent === id && atMs > caller.endedAtMs)) {
                faults.push(`${id} was sent after its answer`);
            }
            if (!caller.isEnded && !caller.isAborted) {
                faults.push(`${id} has no answer`);
            }
        }
        return faults;
    }

    /** Whether the caller was promised that its call has not run; a server's own answer to a call that may be repeated promises nothing. */
    private isPromised({ status, body }: ScriptedCaller): boolean {
        const { isStream, mayRepeat } = this.drawn.call;
        return NOT_RUN_STATUSES.has(status) && !(body === UNAVAILABLE_BODY && mayRepeat && !isStream);
    }

    protected override sendToServer(
        server: RelayServer,
        call: RelayCall,
        attempt: AttemptHead,
        signal: AbortSignal,
    ): AttemptAnswer {
        return this.send(call.head.id, server.id, true, Number(attempt.lastEventId ?? 0), signal);
    }

    protected override sendToPeer(peer: DetourPeer, message: DetourCall, signal: AbortSignal): AttemptAnswer {
        return this.send(String(Buffer.from(message.body)), peer.node, false, Number(message.lastEventId), signal);
    }

    protected override handleInternalError(): void {
        // Some attempts end with such an error.
    }

    private async stopAfter(delayMs: number): Promise<void> {
        await this.clock.sleep(delayMs);
        this.stopDeadline.start(this.clock.now() + this.drawn.graceMs);
        await this.clock.sleep(this.drawn.graceMs);
        this.stopDeadline.end();
    }

    private send(id: string, receiver: string, isServer: boolean, after: number, signal: AbortSignal): AttemptAnswer {
        const { end, delayMs } = this.drawn.attempts[this.nextAttempt] ?? { end: ReceiverEnd.Answers, delayMs: 5 };
        this.nextAttempt += 1;
        if (end === ReceiverEnd.SendFails) {
            throw new Error("fault of the test");
        }
        const { clock } = this;
        const now = clock.now();
        this.sends.push({ id, atMs: now });
        if (!NOT_RUN_ENDS.has(end)) {
            this.possibleRuns.push({ id, atMs: now });
        }
        const headAtMs = now + delayMs;
        const answer = (head: AnswerHead, parts: readonly ScriptedPart[]) =>
            new ScriptedAnswer({ clock, receiver, head, headAtMs, parts, signal, onOver: () => undefined });
        const local = (status: number, text: string, changes: Partial<AnswerHead> = {}) => {
            const body = Buffer.from(isServer ? text : JSON.stringify({ error: text }));
            return answer(makeAnswerHead(status, id, isServer, changes), [
                { atMs: headAtMs, content: body },
                { atMs: headAtMs, content: "end" },
            ]);
        };
        const parts = this.answerParts(after, headAtMs);
        switch (end) {
            case ReceiverEnd.Answers:
                return answer(makeAnswerHead(200, id, true), parts);
            case ReceiverEnd.BreaksLate:
                return answer(makeAnswerHead(200, id, true), [...parts.slice(0, -1), { atMs: headAtMs, content: "break" }]);
            case ReceiverEnd.Refuses:
                return local(503, "refused", { isNotExecuted: true });
            case ReceiverEnd.HandsBack:
                return local(421, "handed back");
            case ReceiverEnd.Unavailable:
                return isServer ? local(503, UNAVAILABLE_BODY) : local(502, "unavailable");
            case ReceiverEnd.PassesOn:
                return answer(makeAnswerHead(503, id, true), [
                    { atMs: headAtMs, content: Buffer.from(UNAVAILABLE_BODY) },
                    { atMs: headAtMs, content: "end" },
                ]);
            case ReceiverEnd.Fails:
                return local(500, "failed");
            case ReceiverEnd.Unreached:
                return new FailingAnswer(
                    clock,
                    headAtMs,
                    signal,
                    () => new AttemptError(AttemptFault.NotRun, receiver, "connect"),
                );
            case ReceiverEnd.Unwritable:
                return new FailingAnswer(
                    clock,
                    headAtMs,
                    signal,
                    () => new AttemptError(AttemptFault.Unwritable, receiver, "write the call"),
                );
            case ReceiverEnd.ReadFails:
                return new FailingAnswer(clock, headAtMs, signal, () => new Error("fault of the test"));
            case ReceiverEnd.Breaks:
            case ReceiverEnd.Hangs:
                return new FailingAnswer(clock, end === ReceiverEnd.Hangs ? Infinity : headAtMs, signal, () => {
                    const fault = signal.aborted ? AttemptFault.Cancelled : AttemptFault.Unknown;
                    return new AttemptError(fault, receiver, "read the head");
                });
        }
    }

    private answerParts(after: number, atMs: number): readonly ScriptedPart[] {
        const parts: ScriptedPart[] = [];
        for (let event = after + 1; this.drawn.call.isStream && event <= SCRIPTED_EVENTS; event += 1) {
            parts.push({ atMs, content: Buffer.from(formatScriptedEvent(event)) });
        }
        if (!this.drawn.call.isStream) {
            parts.push({ atMs, content: Buffer.from("answer") });
        }
        return [...parts, { atMs, content: "end" }];
    }
}

/** Body of a server's answer that it is not available. */
const UNAVAILABLE_BODY = "unavailable after a run";

/** Answer that fails before its head, or when it is given up. */
class FailingAnswer extends AttemptAnswer {
    private readonly over = new AbortController();

    constructor(
        private readonly clock: Clock,
        private readonly failsAtMs: number,
        signal: AbortSignal,
        private readonly makeError: () => Error,
    ) {
        super();
        signal.addEventListener("abort", () => this.over.abort(), { once: true });
        if (signal.aborted) {
            this.over.abort();
        }
    }

    override async awaitHead(): Promise<AnswerHead> {
        await this.clock.sleep(Math.min(this.failsAtMs - this.clock.now(), MAX_WAIT_MS), this.over.signal);
        throw this.makeError();
    }

    override next(): Promise<Buffer | undefined> {
        throw this.makeError();
    }

    override recordRead(): void {
        // Nothing is read.
    }

    override cancel(): void {
        this.over.abort();
    }
}

/** Longest wait for an answer that never comes, in milliseconds. */
const MAX_WAIT_MS = 60_000;
