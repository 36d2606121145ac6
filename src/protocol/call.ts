/**
 * Calls received from callers, and the writer of their answers.
 *
 * @module
 */

import type { Operation, Tier, Workspace } from "../state/mod.js";
import type { Refusal } from "./refusal.js";

const MS_PER_SECOND = 1_000;

/** Abort reason of a call whose caller disconnected. Abort reasons are shared, because capturing a stack trace is expensive. */
export const CALLER_GONE = new Error("the caller went away");

/** Abort reason of a call whose deadline has passed. */
export const DEADLINE_PASSED = new Error("the deadline has passed");

/** Abort reason of a call that is still in progress when its node stops. */
export const NODE_STOPPED = new Error("the node stopped");

/** Abort reason of a call that was answered or refused. */
export const CALL_ENDED = new Error("the call has ended");

/** Call as received over HTTP, before its workspace and operation are resolved. */
export interface IncomingCall {
    /** Id assigned by this node; unique across nodes. */
    readonly id: string;
    readonly method: string;
    /** Path without the query. */
    readonly path: string;
    /** Query string including its question mark, or empty. */
    readonly query: string;
    /** Key of the bearer authorization, or `undefined` when the call has none. */
    readonly bearerKey: string | undefined;
    /** Value of the `Idempotency-Key` header. */
    readonly idempotencyKey: string | undefined;
    /** Value of the `Foxtailrail-Operation` header. */
    readonly operationName: string | undefined;
    readonly contentType: string | undefined;
    readonly body: Buffer;
    /** Aborted when the caller disconnects, and by the handler at the deadline and at the end of the call. */
    readonly abortController: AbortController;
}

/** Call with its workspace and operation resolved, accepted for scheduling. */
export interface AcceptedCall {
    readonly incoming: IncomingCall;
    readonly workspace: Workspace;
    readonly operation: Operation;
    readonly tier: Tier;
    /** Time of acceptance, in milliseconds since the Unix epoch. */
    readonly acceptedAtMs: number;
    /** Deadline for the complete answer, in milliseconds since the Unix epoch. */
    readonly deadlineMs: number;
    /** Estimated length of the prompt in tokens; 0 for plain services. */
    readonly promptTokens: number;
    /** Maximum number of tokens in the answer; 0 for plain services. */
    readonly maxOutputTokens: number;
    /** Whether the answer is streamed. */
    readonly streamed: boolean;
    /** Hashes of the prompt's prefix blocks, which identify entries of the engines' prefix caches. Defaults to none. */
    readonly prefixBlocks?: readonly string[];
}

/** Status and headers of an answer. */
export interface AnswerHead {
    readonly status: number;
    readonly contentType: string;
    /** Additional headers by lower-case name. */
    readonly headers?: Readonly<Record<string, string>>;
}

/** Writes the answer of one call to its caller. */
export abstract class AnswerWriter {
    /** Whether the head has been written; a refusal can no longer be sent then. */
    abstract readonly started: boolean;

    /** Writes the status and the headers. */
    abstract writeHead(head: AnswerHead): void;

    /**
     * Writes a chunk of the body.
     *
     * @returns Resolves when the caller's connection accepts more data.
     */
    abstract write(chunk: Uint8Array): Promise<void>;

    /** Writes a refusal as the complete answer, or aborts the answer when its head has already been written. */
    refuse(refusal: Refusal): void {
        if (this.started) {
            this.abort();
            return;
        }
        const headers: Record<string, string> = {};
        if (refusal.retryAfterMs !== undefined) {
            headers["retry-after"] = String(Math.max(1, Math.ceil(refusal.retryAfterMs / MS_PER_SECOND)));
        }
        const head = { status: refusal.status, contentType: "application/problem+json", headers };
        this.writeComplete(head, Buffer.from(refusal.toProblemDetails()));
    }

    /**
     * Writes a complete answer.
     *
     * @param head Status and headers.
     * @param body Complete body.
     */
    writeComplete(head: AnswerHead, body: Uint8Array): void {
        this.writeHead(head);
        void this.write(body);
        this.end();
    }

    /** Ends the answer as complete. */
    abstract end(): void;

    /** Closes the connection so that the caller cannot take the partial answer for a complete one. */
    abstract abort(): void;
}

/** Handles the calls that the transport receives. */
export abstract class CallHandler {
    /**
     * Answers one call. The returned promise never rejects.
     *
     * @param call Call as received.
     * @param writer Writer of the call's answer.
     */
    abstract handle(call: IncomingCall, writer: AnswerWriter): Promise<void>;
}
