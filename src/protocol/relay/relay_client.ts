/**
 * Connections to the backend servers of opaque calls.
 *
 * @module
 */

import type { RelayServer } from "../../state/relay/mod.js";
import type { AnswerHead, AttemptHead, RelayCall } from "./relay_call.js";

/** What is known of an attempt that failed. */
export enum AttemptFault {
    /** No byte was sent, or the backend server says that the call has not run. */
    NotRun = "notRun",
    /** The call may have run. */
    Unknown = "unknown",
    /** The attempt was given up here. */
    Cancelled = "cancelled",
}

/** Attempt that failed, with the backend server and the step at which it did. */
export class AttemptError extends Error {
    override readonly name = "AttemptError";

    /**
     * @param fault What is known.
     * @param server Id of the backend server.
     * @param step Step that failed, such as `read the head`.
     * @param cause Error underneath.
     */
    constructor(readonly fault: AttemptFault, readonly server: string, readonly step: string, cause?: unknown) {
        super(`Cannot ${step} at ${server}: ${cause instanceof Error ? cause.message : String(cause ?? "no answer")}`, { cause });
    }
}

/** Answer of a backend server as it comes in. */
export abstract class AttemptAnswer {
    /**
     * Waits for the head.
     *
     * @throws {AttemptError} When the attempt fails before.
     */
    abstract awaitHead(): Promise<AnswerHead>;

    /**
     * Waits for the next part of the body.
     *
     * @returns The part, or `undefined` at the end.
     * @throws {AttemptError} When the body breaks off.
     */
    abstract next(): Promise<Buffer | undefined>;

    /** Closes the connection unless the answer has ended. */
    abstract cancel(): void;
}

/** Connections to backend servers. */
export abstract class RelayClient {
    /**
     * Sends a call to one backend server.
     *
     * @param signal Ends the attempt.
     */
    abstract send(server: RelayServer, call: RelayCall, attempt: AttemptHead, signal: AbortSignal): AttemptAnswer;

    /** Closes the connections to addresses that are not in use any more, once their calls have ended. */
    abstract retain(addresses: ReadonlySet<string>): void;
}
