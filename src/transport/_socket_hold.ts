/**
 * Pause of a socket that the HTTP library reads.
 *
 * @module
 */

import type { Socket } from "node:net";

/**
 * Keeps received bytes in a socket, so that its peer has to wait.
 *
 * The HTTP library has a pause of its own, but its parser fails with an assertion that nobody catches if a connection ends, is reset or
 * is closed by this node while the parser is paused.
 */
export class SocketHold {
    private isHeld = false;

    /** @param socket Socket from which the HTTP library reads. */
    constructor(private readonly socket: Socket) {}

    /** Gives no more bytes to the reader until {@linkcode release} is called. */
    hold(): void {
        if (this.isHeld) {
            return;
        }
        this.isHeld = true;
        // Node.js returns null if there is nothing to read.
        // eslint-disable-next-line no-restricted-syntax
        this.socket.read = () => null;
    }

    /** Ends the pause. The reader is told that there are bytes, unless the socket is closed. */
    release(): void {
        if (!this.isHeld) {
            return;
        }
        this.isHeld = false;
        // The method of the class is in effect again.
        Reflect.deleteProperty(this.socket, "read");
        process.nextTick(() => {
            if (!this.socket.destroyed) {
                this.socket.emit("readable");
            }
        });
    }
}
