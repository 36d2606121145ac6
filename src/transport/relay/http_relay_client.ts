/**
 * HTTP/1.1 client for relaying opaque calls to backend servers.
 *
 * @module
 */

import {
    type AttemptAnswer,
    type AttemptHead,
    type RelayCall,
    RelayClient,
    type RelayHeaders,
} from "../../protocol/relay/mod.js";
import type { RelayServer } from "../../state/relay/mod.js";
import type { HttpClient } from "../http_client.js";
import { HttpExchange } from "../http_exchange.js";
import { HttpAttemptAnswer, openPool } from "./http_attempt_answer.js";

/** Sends opaque calls to backend servers without changing method, target or body. */
export class HttpRelayClient extends RelayClient {
    /**
     * @param client Connection pools.
     * @param headers Reader and writer of the relay's headers.
     */
    constructor(private readonly client: HttpClient, private readonly headers: RelayHeaders) {
        super();
    }

    override send(server: RelayServer, call: RelayCall, attempt: AttemptHead, signal: AbortSignal): AttemptAnswer {
        const exchange = new HttpExchange(openPool(this.client, server.address, server.id), {
            method: call.method,
            path: call.target,
            headers: this.headers.writeAttempt(call.head, attempt),
            body: call.body.length > 0 ? call.body : undefined,
            mayWrite: attempt.maySend,
            inputLimits: this.client.inputLimits,
        }, signal);
        return new HttpAttemptAnswer(exchange, { receiver: server.id, callId: call.head.id, headers: this.headers, signal });
    }

    override retain(addresses: ReadonlySet<string>): void {
        this.client.retain(addresses);
    }
}
