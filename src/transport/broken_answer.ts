/**
 * End of an answer that cannot be completed.
 *
 * @module
 */

import type { ServerResponse } from "node:http";

/**
 * Closes the connection of an answer so that its caller cannot take it for complete. An answer over HTTP/1.0 that has begun ends with
 * its connection, so only a reset tells that it was broken off.
 */
export function breakOff(response: ServerResponse): void {
    if (response.headersSent && !response.chunkedEncoding) {
        response.socket?.resetAndDestroy();
    }
    response.destroy();
}
