/**
 * Probe of whether a TCP connection to an address can be established.
 *
 * @module
 */

import { connect } from "node:net";
import { isSocketAddress } from "../../protocol/relay/mod.js";
import { startTimeLimit } from "../../state/relay/mod.js";

/**
 * Opens a connection and closes it again.
 *
 * @param address Host and port.
 * @param timeoutMs Time after which the attempt counts as failed, in milliseconds.
 * @returns Whether the connection was established.
 */
export function probeConnection(address: string, timeoutMs: number): Promise<boolean> {
    if (!isSocketAddress(address)) {
        return Promise.resolve(false);
    }
    const [host, port] = address.split(":");
    return new Promise(resolve => {
        const socket = connect({ host, port: Number(port) });
        const endLimit = startTimeLimit(timeoutMs, () => socket.destroy());
        socket.once("connect", () => {
            resolve(true);
            socket.destroy();
        });
        // The outcome is the result; how an attempt fails does not matter.
        socket.once("error", () => undefined);
        socket.once("close", () => {
            endLimit();
            resolve(false);
        });
    });
}
