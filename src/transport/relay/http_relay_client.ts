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
import { sendAttempt } from "./http_attempt_answer.js";

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
        const request = {
            method: call.method,
            path: call.target,
            headers: this.headers.writeAttempt(call.head, attempt),
            ...call.body.length > 0 ? { body: call.body } : {},
            mayWrite: attempt.maySend,
            inputLimits: this.client.inputLimits,
        };
        const context = { receiver: server.id, callId: call.head.id, headers: this.headers, signal };
        return sendAttempt(this.client, server.address, request, context);
    }

    override retain(addresses: ReadonlySet<string>): void {
        this.client.retain(addresses);
    }
}
