/**
 * Connector of the HTTP library with an exact time limit.
 *
 * @module
 */

import { buildConnector } from "undici";
import { startTimeLimit } from "../state/mod.js";

/** Function with which the HTTP library opens a connection. */
export type Connector = ReturnType<typeof buildConnector>;

/**
 * Returns a connector whose attempts end within a time limit. The time limit of the HTTP library itself is rounded up to its timers,
 * which run every half second.
 *
 * @param timeoutMs Time limit, in milliseconds.
 */
export function makeTimedConnector(timeoutMs: number): Connector {
    const connect = buildConnector({ timeout: 0, allowHalfOpen: true });
    return (options, callback) => {
        // The library returns the socket, although its types do not say so.
        const socket: unknown = connect(options, (...result) => {
            endLimit();
            callback(...result);
        });
        const endLimit = startTimeLimit(timeoutMs, () => {
            const address = `${options.hostname}:${options.port}`;
            (socket as { destroy(error: Error): void }).destroy(new ConnectTimeoutError(address, timeoutMs));
        });
    };
}

/** Failure of an attempt to connect that took too long. */
class ConnectTimeoutError extends Error {
    override readonly name = "ConnectTimeoutError";
    /** Code with which the HTTP library marks such a failure. */
    readonly code = "UND_ERR_CONNECT_TIMEOUT";

    constructor(address: string, timeoutMs: number) {
        super(`Cannot connect to ${address}: no connection within ${timeoutMs} ms`);
    }
}
