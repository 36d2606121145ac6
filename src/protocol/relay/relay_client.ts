/**
 * Client for the backend servers that run opaque calls.
 *
 * @module
 */

import type { RelayServer } from "../../state/relay/mod.js";
import type { AnswerHead, AttemptHead, RelayCall } from "./relay_call.js";

/** Classes of failed attempts, by whether the call may have been executed. */
export enum AttemptFault {
    /** The call was not executed: no byte was sent, or the backend server states so. */
    NotRun = "notRun",
    /** The call was not executed, and this node can write it to no connection. */
    Unwritable = "unwritable",
    /** The call may have been executed. */
    Unknown = "unknown",
    /** The call may have been executed; its answer takes more memory than this node has for it. */
    TooLarge = "tooLarge",
    /** This node cancelled the attempt. */
    Cancelled = "cancelled",
}

/** Failure of an attempt, with its backend server and step. */
export class AttemptError extends Error {
    override readonly name = "AttemptError";

    /** Whether the receiver got no byte of the call. */
    get isUnsent(): boolean {
        return this.fault === AttemptFault.NotRun || this.fault === AttemptFault.Unwritable;
    }

    /**
     * @param fault Class of the failure.
     * @param server Id of the backend server.
     * @param step Step that failed, such as `read the head`.
     * @param cause Underlying error.
     */
    constructor(readonly fault: AttemptFault, readonly server: string, readonly step: string, cause?: unknown) {
        super(`Cannot ${step} at ${server}: ${cause instanceof Error ? cause.message : String(cause ?? "no answer")}`, { cause });
    }
}

/** Connection that carries an attempt. */
export interface AttemptConnection {
    /** Local port; `undefined` if the connection was closed before the call was written. */
    readonly localPort: number | undefined;
    /** Calls that it carried before. */
    readonly earlierCalls: number;
    /** Whether the id of the call was answered at the address before; the connection then carries no other call. */
    readonly hasAnsweredId: boolean;
    /** Time since the first byte of the call was written, in milliseconds. */
    readonly sinceWriteMs: number;
}

/** Answer of a backend server that is being received. */
export abstract class AttemptAnswer {
    /** Connection that carries the attempt; `undefined` if none is known. */
    get connection(): AttemptConnection | undefined {
        return undefined;
    }

    /**
     * Waits for the head.
     *
     * @throws {AttemptError} When the attempt fails before the head is received.
     */
    abstract awaitHead(): Promise<AnswerHead>;

    /**
     * Waits for the next chunk of the body.
     *
     * @returns The chunk, or `undefined` at the end of the body.
     * @throws {AttemptError} When the body is truncated.
     */
    abstract next(): Promise<Buffer | undefined>;

    /**
     * Records what the reader has made of the last chunk.
     *
     * @param heldBytes Bytes of the answer that the reader holds, in all.
     * @param events Events that were complete with the chunk.
     */
    abstract recordRead(heldBytes: number, events: number): void;

    /** Records that the answer is not used, so that the call may be sent to its receiver again. */
    recordUnused(): void {
        // By default, no connection carries two calls.
    }

    /** Cancels the attempt: closes the connection unless the answer has ended, and returns the memory that it holds. */
    abstract cancel(): void;
}

/** Client for backend servers. */
export abstract class RelayClient {
    /**
     * Sends a call to one backend server.
     *
     * @param signal Cancels the attempt when aborted.
     */
    abstract send(server: RelayServer, call: RelayCall, attempt: AttemptHead, signal: AbortSignal): AttemptAnswer;

    /** Closes the connections to all addresses except the given ones, once their calls have ended. */
    abstract retain(addresses: ReadonlySet<string>): void;
}
