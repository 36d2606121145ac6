/**
 * Start of a server and its errors afterwards.
 *
 * @module
 */

import type { ListenOptions, Server } from "node:net";

/**
 * Starts listening.
 *
 * @param onError Called with each later error, such as a connection that cannot be accepted for lack of file descriptors; the server
 *     goes on.
 * @throws {Error} If the address cannot be bound.
 */
export async function listen(server: Server, options: ListenOptions, onError: (error: unknown) => void): Promise<void> {
    await new Promise<void>((resolve, reject) => {
        const onListening = () => {
            server.off("error", fail);
            server.on("error", onError);
            resolve();
        };
        const fail = (error: Error) => {
            server.off("listening", onListening);
            reject(error);
        };
        server.once("error", fail);
        server.once("listening", onListening);
        server.listen(options);
    });
}
