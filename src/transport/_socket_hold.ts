/**
 * Pause of a socket that the HTTP library reads.
 *
 * @module
 */

import { Socket } from "node:net";

/**
 * Keeps received bytes, or the end of the connection, in a socket, so that its reader does not learn of them yet.
 *
 * The HTTP library has a pause of its own, but its parser fails with an assertion that nobody catches if a connection ends, is reset or
 * is closed by this node while the parser is paused.
 */
export class SocketHold {
    private isHeld = false;
    /** Called when the reader has all bytes, and the end is kept; `undefined` if the end is not to be kept. */
    private onEnd: (() => void) | undefined;

    /** @param socket Socket from which the HTTP library reads. */
    constructor(private readonly socket: Socket) {}

    /** Gives no more bytes to the reader until {@linkcode release} is called. */
    hold(): void {
        if (this.isHeld) {
            return;
        }
        this.isHeld = true;
        this.replaceRead();
    }

    /** Ends the pause. The reader is told that there are bytes, unless the socket is closed. */
    release(): void {
        if (!this.isHeld) {
            return;
        }
        this.isHeld = false;
        this.resumeReader();
    }

    /**
     * Keeps the end of the connection until {@linkcode releaseEnd} is called.
     *
     * @param onEnd Called once the peer has ended the connection and the reader has all bytes.
     */
    holdEnd(onEnd: () => void): void {
        this.onEnd = onEnd;
        this.replaceRead();
    }

    /** Tells the reader of the end of the connection. */
    releaseEnd(): void {
        if (this.onEnd === undefined) {
            return;
        }
        this.onEnd = undefined;
        this.resumeReader();
    }

    private replaceRead(): void {
        this.socket.read = (size?: number) => this.read(size);
    }

    private resumeReader(): void {
        if (!this.isHeld && this.onEnd === undefined) {
            // The method of the class is in effect again.
            Reflect.deleteProperty(this.socket, "read");
        }
        process.nextTick(() => {
            if (!this.socket.destroyed) {
                this.socket.emit("readable");
            }
        });
    }

    private read(size: number | undefined): unknown {
        const { socket, onEnd } = this;
        // Node.js returns null if there is nothing to read.
        // eslint-disable-next-line no-restricted-syntax
        const nothing = null;
        if (this.isHeld) {
            return nothing;
        }
        if (onEnd === undefined || !hasReceivedEnd(socket)) {
            return Socket.prototype.read.call(socket, size);
        }
        if (socket.readableLength === 0) {
            onEnd();
            return nothing;
        }
        // A stream that is asked for all that it has, and not for more, does not end.
        return Socket.prototype.read.call(socket, size === 0 ? 0 : socket.readableLength);
    }
}

/** Whether the peer has ended the connection. Node.js has no public property for an end that is not read yet. */
function hasReceivedEnd(socket: Socket): boolean {
    return (Reflect.get(socket, "_readableState") as { readonly ended: boolean }).ended;
}
