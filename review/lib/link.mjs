/**
 * Link from one node to one engine: a TCP proxy that can be cut.
 *
 * @module
 */

import { connect, createServer } from "node:net";

export class Link {
    #server;
    #sockets = new Set();
    #port = 0;

    /** @param {() => number} targetPort Returns the port of the engine. */
    constructor(targetPort) {
        this.targetPort = targetPort;
    }

    async open() {
        const server = createServer(socket => {
            const upstream = connect({ host: "127.0.0.1", port: this.targetPort(), noDelay: true });
            socket.setNoDelay(true);
            for (const [side, other] of [[socket, upstream], [upstream, socket]]) {
                this.#sockets.add(side);
                side.on("error", () => other.resetAndDestroy());
                side.on("close", () => {
                    this.#sockets.delete(side);
                    other.destroySoon();
                });
            }
            socket.pipe(upstream);
            upstream.pipe(socket);
        });
        await new Promise((resolve, reject) => {
            server.once("error", reject);
            server.listen(this.#port, "127.0.0.1", resolve);
        });
        this.#server = server;
        this.#port = server.address().port;
    }

    get address() {
        return `127.0.0.1:${this.#port}`;
    }

    /** Resets all connections and refuses new ones until the link is opened again. */
    cut() {
        this.#server?.close();
        this.#server = undefined;
        for (const socket of this.#sockets) {
            socket.resetAndDestroy();
        }
    }
}
