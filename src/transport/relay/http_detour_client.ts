/**
 * HTTP/1.1 client for handing calls to other nodes.
 *
 * @module
 */

import { type AttemptAnswer, DetourCall, DetourClient, type DetourPeer, type RelayHeaders } from "../../protocol/relay/mod.js";
import type { HttpClient } from "../http_client.js";
import { DETOUR_CALL_HEADER, DETOUR_PATH } from "./detour_server.js";
import { sendAttempt } from "./http_attempt_answer.js";

/** Sends calls as messages to the {@linkcode DetourServer} of a peer. */
export class HttpDetourClient extends DetourClient {
    /**
     * @param client Connection pools.
     * @param headers Reader of the relay's headers.
     */
    constructor(private readonly client: HttpClient, private readonly headers: RelayHeaders) {
        super();
    }

    override send(peer: DetourPeer, call: DetourCall, signal: AbortSignal, maySend: () => boolean): AttemptAnswer {
        const head = this.headers.readCall(call.headers);
        const callId = typeof head === "string" ? undefined : head.id;
        const request = {
            method: "POST",
            path: DETOUR_PATH,
            headers: {
                "content-type": "application/x-protobuf",
                ...callId === undefined ? {} : { [DETOUR_CALL_HEADER]: callId },
            },
            body: Buffer.from(DetourCall.encode(call).finish()),
            mayWrite: maySend,
            inputLimits: this.client.inputLimits,
        };
        const context = { receiver: peer.node, callId, nodeHeader: DETOUR_CALL_HEADER, headers: this.headers, signal };
        return sendAttempt(this.client, peer.address, request, context);
    }
}
