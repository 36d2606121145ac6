/**
 * Calls of callers, and the answer that is written back.
 *
 * @module
 */

import type { Operation, Tier, Workspace } from "../state/mod.js";
import type { Refusal } from "./refusal.js";

/** Milliseconds in a second. */
const MS_PER_SECOND = 1_000;

/** Reason for the end of a call whose caller went away. Reasons are made once, since an error's stack is dear. */
export const CALLER_GONE = new Error("the caller went away");

/** Reason for the end of a call whose deadline has passed. */
export const DEADLINE_PASSED = new Error("the deadline has passed");

/** Reason for the end of a call that was answered or refused. */
export const CALL_ENDED = new Error("the call has ended");

/** Call as it came over HTTP, before its workspace and operation are known. */
export interface IncomingCall {
    /** Id given by this node; unique over all nodes. */
    readonly id: string;
    readonly method: string;
    /** Path without the query. */
    readonly path: string;
    /** Query with its question mark, or empty. */
    readonly query: string;
    /** Bearer key, or `undefined` when the call has none. */
    readonly bearerKey: string | undefined;
    /** Value of the `Idempotency-Key` header. */
    readonly idempotencyKey: string | undefined;
    /** Value of the `Foxtailrail-Operation` header. */
    readonly operationName: string | undefined;
    readonly contentType: string | undefined;
    readonly body: Buffer;
    /** Life of the call: aborted when the caller goes away, and by the handler at the deadline and at the end. */
    readonly abortController: AbortController;
}

/** Call whose workspace and operation are known, accepted for scheduling. */
export interface AcceptedCall {
    readonly incoming: IncomingCall;
    readonly workspace: Workspace;
    readonly operation: Operation;
    readonly tier: Tier;
    /** Time of acceptance, in milliseconds since the Unix epoch. */
    readonly acceptedAtMs: number;
    /** Time by which the whole answer is promised, in milliseconds since the Unix epoch. */
    readonly deadlineMs: number;
    /** Estimated length of the prompt in tokens; 0 for plain services. */
    readonly promptTokens: number;
    /** Largest number of tokens that the answer may have; 0 for plain services. */
    readonly maxOutputTokens: number;
    /** Whether the answer is streamed. */
    readonly streamed: boolean;
    /** Blocks of the prompt's prefix, by which engines name their cache. Defaults to none. */
    readonly prefixBlocks?: readonly string[];
}

/** Head of an answer. */
export interface AnswerHead {
    readonly status: number;
    readonly contentType: string;
    /** Further headers, by lower-case name. */
    readonly headers?: Readonly<Record<string, string>>;
}

/** Writes one answer to one caller. */
export abstract class AnswerWriter {
    /** Whether the head has been written, after which no refusal can be. */
    abstract readonly started: boolean;

    /** Writes the status and the headers. */
    abstract writeHead(head: AnswerHead): void;

    /**
     * Writes part of the body.
     *
     * @returns Resolves when the caller's connection takes more.
     */
    abstract write(chunk: Uint8Array): Promise<void>;

    /** Writes a refusal as the whole answer; breaks the answer off when its head is already written. */
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
        this.writeWhole(head, Buffer.from(refusal.toProblemDetails()));
    }

    /**
     * Writes a whole answer at once.
     *
     * @param head Status and headers.
     * @param body Whole body.
     */
    writeWhole(head: AnswerHead, body: Uint8Array): void {
        this.writeHead(head);
        void this.write(body);
        this.end();
    }

    /** Ends a whole answer. */
    abstract end(): void;

    /** Breaks off an answer, so that it cannot be taken for a whole one. */
    abstract abort(): void;
}

/** Answers calls; the transport hands each call to it. */
export abstract class CallHandler {
    /**
     * Answers one call. Never rejects.
     *
     * @param call Call as it came.
     * @param writer Where the answer goes.
     */
    abstract handle(call: IncomingCall, writer: AnswerWriter): Promise<void>;
}
