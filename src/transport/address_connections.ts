/**
 * Connections to one address.
 *
 * @module
 */

import type { Pool } from "undici";
import { AnsweredIds } from "./_answered_ids.js";
import { HttpExchange, type HttpExchangeRequest } from "./http_exchange.js";

/**
 * Connections to one address. A receiver may send an answer a second time, in front of the next one on its connection. An id that was
 * answered on a kept connection is therefore sent on one of its own only, so that each answer with the id is that to its last call.
 */
export class AddressConnections {
    private keptPool: Pool;
    private answeredIds = new AnsweredIds();
    private readonly singleUsePools = new Set<Pool>();

    /**
     * @param openPool Opens a pool.
     * @param onRepeatedId Called when a call is sent whose id was answered before.
     * @throws {Error} If the address is none to which a connection can be opened.
     */
    constructor(private readonly openPool: () => Pool, private readonly onRepeatedId: () => void) {
        this.keptPool = openPool();
    }

    /** Pool of the connections that are kept. */
    get pool(): Pool {
        return this.keptPool;
    }

    /**
     * Sends a call.
     *
     * @param id Id of the call, which its answer states; `undefined` if it states none.
     * @param request Call to send.
     * @param signal Cancels the exchange when aborted.
     */
    send(id: string | undefined, request: HttpExchangeRequest, signal: AbortSignal): HttpExchange {
        if (id === undefined) {
            return new HttpExchange(this.keptPool, request, signal);
        }
        if (this.answeredIds.has(id)) {
            this.onRepeatedId();
            return this.sendApart({ ...request, hasAnsweredId: true }, signal);
        }
        if (this.answeredIds.isFull) {
            this.renew();
        }
        const { answeredIds } = this;
        return new HttpExchange(this.keptPool, {
            ...request,
            // The id may have been answered while the call waited for a connection.
            mayWrite: () => !answeredIds.has(id) && (request.mayWrite?.() ?? true),
            onUnused: () => answeredIds.add(id),
        }, signal);
    }

    /** Sends a call on a connection that carries no other one. */
    private sendApart(request: HttpExchangeRequest, signal: AbortSignal): HttpExchange {
        const pool = this.openPool();
        const exchange = new HttpExchange(pool, request, signal);
        this.singleUsePools.add(pool);
        void pool.close().then(() => this.singleUsePools.delete(pool));
        return exchange;
    }

    /** Replaces the kept connections by new ones. Requests in progress are completed first. */
    renew(): void {
        this.close();
        this.keptPool = this.openPool();
        this.answeredIds = new AnsweredIds();
    }

    /** Closes the connections once their requests have ended. */
    close(): void {
        void this.keptPool.close();
    }

    /** Closes all connections immediately; requests in progress fail. */
    async destroy(): Promise<void> {
        await Promise.all([this.keptPool, ...this.singleUsePools].map(pool => pool.destroy()));
    }
}
