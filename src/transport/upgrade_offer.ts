/**
 * Calls that offer to go on with another protocol (RFC 9110, section 7.8).
 *
 * @module
 */

import type { IncomingMessage } from "node:http";

/**
 * Returns whether a call offers another protocol, which the servers ignore. Nothing that comes behind it on its connection can be taken
 * for a call: the HTTP library drops what was read together with the end of the call, be it a part of the next one.
 */
export function offersUpgrade({ headers }: IncomingMessage): boolean {
    return headers.upgrade !== undefined && /\bupgrade\b/i.test(headers.connection ?? "");
}
