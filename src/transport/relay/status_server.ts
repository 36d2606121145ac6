/**
 * HTTP server that tells the balancer and the metrics collector how the node is.
 *
 * @module
 */

import { createServer, type Server, type ServerResponse } from "node:http";

/** Answer to one path. */
export interface StatusPage {
    readonly status: number;
    readonly contentType: string;
    readonly text: string;
}

/** Answers `GET` of a few paths with texts that are made anew each time. */
export class StatusServer {
    private readonly server: Server;

    /**
     * @param pages Maker of the answer for each path.
     * @param onError Told when a page cannot be made.
     */
    constructor(
        private readonly pages: ReadonlyMap<string, () => Promise<StatusPage> | StatusPage>,
        private readonly onError: (error: unknown) => void,
    ) {
        this.server = createServer((request, response) => {
            this.answer(request.url ?? "/", response).catch((error: unknown) => {
                this.onError(error);
                response.destroy();
            });
        });
    }

    /** Opens the port. */
    async listen(host: string, port: number): Promise<void> {
        await new Promise<void>((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen({ host, port }, resolve);
        });
    }

    /** Port that is open. */
    get port(): number {
        const address = this.server.address();
        return typeof address === "object" && address ? address.port : 0;
    }

    /** Closes the port and all connections. */
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
