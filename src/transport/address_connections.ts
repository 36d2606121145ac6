/**
 * Connections to one address.
 *
 * @module
 */

import type { Pool } from "undici";
import { AnsweredIds } from "./_answered_ids.js";
import { HttpExchange, type HttpExchangeRequest } from "./http_exchange.js";

/** Pool of the connections to one address, with the ids of the calls that were answered on them without a success. */
export class AddressConnections {
    private currentPool: Pool;
    private answeredIds = new AnsweredIds();

    /**
     * @param openPool Opens a pool.
     * @param onRepeatedId Called when a call is sent whose id was answered before.
     * @throws {Error} If the address is none to which a connection can be opened.
     */
    constructor(private readonly openPool: () => Pool, private readonly onRepeatedId: () => void) {
        this.currentPool = openPool();
    }

    /** Pool of the connections that are kept. */
    get pool(): Pool {
        return this.currentPool;
    }

    /**
     * Sends a call.
     *
     * @param id Id of the call, which its answer states; `undefined` if it states none.
     * @param request Call to send.
     * @param signal Cancels the exchange when aborted.
     */
    send(id: string | undefined, request: HttpExchangeRequest, signal: AbortSignal): HttpExchange {
        if (this.answeredIds.isFull) {
            this.answeredIds = new AnsweredIds();
        }
        const { answeredIds } = this;
        const hasAnsweredId = id !== undefined && answeredIds.has(id);
        if (hasAnsweredId) {
            this.onRepeatedId();
        }
        return new HttpExchange(this.pool, {
            ...request,
            hasAnsweredId,
            onUnused: () => {
                if (id !== undefined) {
                    answeredIds.add(id);
                }
            },
        }, signal);
    }

    /** Replaces the connections by new ones. Requests in progress are completed first. */
    renew(): void {
        this.close();
        this.currentPool = this.openPool();
        this.answeredIds = new AnsweredIds();
    }

    /** Closes the connections once their requests have ended. */
    close(): void {
        void this.currentPool.close();
    }

    /** Closes all connections immediately; requests in progress fail. */
    async destroy(): Promise<void> {
        await this.currentPool.destroy();
    }
}
