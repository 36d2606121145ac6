/**
 * Answer on its way to a caller.
 *
 * @module
 */

import type { HeaderList } from "./relay_call.js";

/** Final answer that the node gives by itself. */
export interface LocalAnswer {
    readonly status: number;
    /** Sentence for the caller. */
    readonly text: string;
    /** Time after which the caller may come back, in milliseconds. */
    readonly retryAfterMs?: number;
}

/** Answer of one call; it is whole, of the node's own, or broken off. */
export abstract class RelayAnswer {
    /** Whether the head has been written. */
    abstract readonly isStarted: boolean;

    /** Writes a whole answer of a backend server. */
    abstract sendWhole(status: number, headers: HeaderList, body: Buffer): void;

    /** Writes the head of a stream. */
    abstract start(status: number, headers: HeaderList): void;

    /** Writes a part of a stream; resolves when the caller's connection takes more. */
    abstract write(chunk: Buffer): Promise<void>;

    /** Ends a stream as complete. */
    abstract end(): void;

    /** Closes the connection so that the answer cannot look complete. */
    abstract abort(): void;

    /** Writes an answer of the node's own. */
    abstract sendLocal(answer: LocalAnswer): void;
}
