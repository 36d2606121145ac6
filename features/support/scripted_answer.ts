/**
 * Answers of servers and peers that follow a script, under a virtual clock.
 *
 * @module
 */

import { type AnswerHead, AttemptAnswer, AttemptError, AttemptFault } from "../../src/protocol/relay/mod.js";
import type { Clock } from "../../src/state/relay/mod.js";

/** Part of an answer, and when its reader gets it. */
export interface ScriptedPart {
    /** In milliseconds since the Unix epoch. */
    readonly atMs: number;
    /** Bytes; `"end"` ends the answer, and `"break"` breaks it off. */
    readonly content: Buffer | "end" | "break";
}

/** Script of an answer. */
export interface AnswerScript {
    readonly clock: Clock;
    readonly receiver: string;
    readonly head: AnswerHead;
    /** When the head is read, in milliseconds since the Unix epoch. */
    readonly headAtMs: number;
    readonly parts: readonly ScriptedPart[];
    readonly signal: AbortSignal;
    /** Called when the answer ends, breaks off or is cancelled. */
    readonly onOver: () => void;
}

/** Answer that follows a script until it is cancelled. */
export class ScriptedAnswer extends AttemptAnswer {
    private readonly gone = new AbortController();
    private readParts = 0;
    private isEnded = false;

    /** @param script See {@linkcode AnswerScript}. */
    constructor(private readonly script: AnswerScript) {
        super();
        script.signal.addEventListener("abort", () => this.cancel(), { once: true });
        if (script.signal.aborted) {
            this.cancel();
        }
    }

    override async awaitHead(): Promise<AnswerHead> {
        await this.waitUntil(this.script.headAtMs);
        return this.script.head;
    }

    override async next(): Promise<Buffer | undefined> {
        const part = this.script.parts[this.readParts] ?? { atMs: Infinity, content: "end" };
        await this.waitUntil(part.atMs);
        this.readParts += 1;
        if (part.content === "break") {
            this.finish();
            throw this.makeError(AttemptFault.Unknown, new Error("connection reset"));
        }
        if (part.content === "end") {
            this.finish();
            return undefined;
        }
        return part.content;
    }

    override recordRead(): void {
        // A script holds no memory.
    }

    override cancel(): void {
        if (!this.isEnded && !this.gone.signal.aborted) {
            this.gone.abort();
            this.script.onOver();
        }
    }

    private finish(): void {
        if (!this.isEnded && !this.gone.signal.aborted) {
            this.isEnded = true;
            this.script.onOver();
        }
    }

    private async waitUntil(atMs: number): Promise<void> {
        const { clock, signal } = this.script;
        if (clock.now() < atMs) {
            await clock.sleep(atMs - clock.now(), this.gone.signal);
        }
        if (this.gone.signal.aborted) {
            throw this.makeError(AttemptFault.Cancelled, signal.reason);
        }
    }

    private makeError(fault: AttemptFault, cause: unknown): AttemptError {
        return new AttemptError(fault, this.script.receiver, "read the answer", cause);
    }
}

/** Returns a head with a status; the other fields state nothing. */
export function makeAnswerHead(
    status: number,
    callId: string | undefined,
    isSealed: boolean,
    changes: Partial<AnswerHead> = {},
): AnswerHead {
    return {
        status,
        callId,
        isSealed,
        isNotExecuted: false,
        isEncoded: false,
        isCloseDelimited: false,
        load: undefined,
        callLimit: undefined,
        rest: undefined,
        refusalLimit: undefined,
        warmUp: undefined,
        isLeaving: false,
        endToEnd: [],
        ...changes,
    };
}
