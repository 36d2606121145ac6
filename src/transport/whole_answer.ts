/**
 * Whole answers to requests of the node itself.
 *
 * @module
 */

import type { IncomingHttpHeaders } from "node:http";
import { startTimeLimit } from "../state/relay/mod.js";
import type { HttpExchange } from "./http_exchange.js";

/** Reason with which an answer is cancelled that is not read to its end. */
const NOT_READ = new Error("the answer is not read to its end");

/** Answer that was read to its end. */
export interface WholeAnswer {
    readonly status: number;
    readonly headers: IncomingHttpHeaders;
    readonly body: Buffer;
}

/** Limits of a request whose answer is read to its end. */
export interface WholeAnswerLimits {
    /** Time for the whole exchange, in milliseconds; by default, it has no limit of its own. */
    readonly timeoutMs?: number;
    /** Largest answer, in bytes; by default, it has no limit. */
    readonly maxBytes?: number;
    /** Cancels the exchange when aborted. */
    readonly signal?: AbortSignal;
}

/**
 * Sends a request and reads its answer to the end.
 *
 * @param send Sends the request in an exchange that the signal cancels.
 * @param limits See {@linkcode WholeAnswerLimits}.
 * @throws {RangeError} If the answer is too large.
 * @throws {Error} If the exchange fails before the end of the answer, or its time is over.
 */
export async function readWholeAnswer(
    send: (signal: AbortSignal) => HttpExchange,
    { timeoutMs, maxBytes = Infinity, signal }: WholeAnswerLimits,
): Promise<WholeAnswer> {
    const timeout = new AbortController();
    const endLimit = timeoutMs === undefined ?
        undefined :
        startTimeLimit(timeoutMs, () => timeout.abort(new Error(`no answer within ${timeoutMs} ms`)));
    let exchange: HttpExchange | undefined;
    try {
        exchange = send(signal === undefined ? timeout.signal : AbortSignal.any([signal, timeout.signal]));
        await exchange.awaitHead();
        const body = await exchange.readWhole(maxBytes);
        return { status: exchange.status, headers: exchange.headers, body };
    }
    finally {
        endLimit?.();
        exchange?.cancel(NOT_READ);
        exchange?.release();
    }
}
