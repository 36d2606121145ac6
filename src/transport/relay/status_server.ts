/**
 * HTTP server for the health checks of the load balancer and for the metrics collector.
 *
 * @module
 */

import { createServer, type Server, type ServerResponse } from "node:http";
import type { Clock } from "../../state/relay/mod.js";
import { discardBody } from "../body_collector.js";
import type { ConnectionBound } from "../connection_bound.js";
import { ConnectionLimits } from "../connection_limits.js";
import { InputLimits } from "../input_limits.js";
import { listen } from "../listen.js";
import { SlicedInput } from "../sliced_input.js";

/** Answer to a request for one path. */
export interface StatusPage {
    readonly status: number;
    readonly contentType: string;
    readonly text: string;
}

/** Serves a fixed set of paths, each with a text that is generated for every request. */
export class StatusServer {
    private readonly server: Server;

    /**
     * @param clock Clock by which idle connections are closed.
     * @param pages Functions that generate the answer for each path.
     * @param onError Called when generating an answer fails, or a connection cannot be accepted.
     * @param inputLimits Limits that all connections of the node share. By default, these have their own.
     * @param bound Bound on the number of connections. By default, there is none.
     */
    constructor(
        clock: Clock,
        private readonly pages: ReadonlyMap<string, () => Promise<StatusPage> | StatusPage>,
        private readonly onError: (error: unknown) => void,
        inputLimits: InputLimits = new InputLimits(clock),
        bound?: ConnectionBound,
    ) {
        this.server = createServer();
        const connectionLimits = new ConnectionLimits(this.server, { clock, bound, onIdle: socket => socket.destroySoon() });
        new SlicedInput(this.server, inputLimits, connectionLimits);
        this.server.on("request", (request, response) => {
            discardBody(request, inputLimits, () => {
                if (!request.socket.writableEnded) {
                    request.socket.destroySoon();
                }
            });
            this.answer(request.url ?? "/", response).catch((error: unknown) => {
                this.onError(error);
                response.destroy();
            });
        });
    }

    /** Starts listening. */
    async listen(host: string, port: number): Promise<void> {
        await listen(this.server, { host, port }, this.onError);
    }

    /** Port that the server listens on; 0 if it does not listen on a port. */
    get port(): number {
        const address = this.server.address();
        return typeof address === "object" && address ? address.port : 0;
    }

    /** Stops listening and closes all connections immediately. */
    close(): void {
        this.server.close();
        this.server.closeAllConnections();
    }

    private async answer(path: string, response: ServerResponse): Promise<void> {
        const page = this.pages.get(path);
        if (page === undefined) {
            response.writeHead(404).end();
            return;
        }
        const { status, contentType, text } = await page();
        response.writeHead(status, { "content-type": contentType }).end(text);
    }
}
