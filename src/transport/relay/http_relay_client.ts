/**
 * HTTP/1.1 client for relaying opaque calls to backend servers.
 *
 * @module
 */

import type { IncomingHttpHeaders } from "node:http";
import {
    type AnswerHead,
    AttemptAnswer,
    AttemptError,
    AttemptFault,
    type AttemptHead,
    DispatchStep,
    type RelayCall,
    RelayClient,
    type RelayHeaders,
} from "../../protocol/relay/mod.js";
import type { RelayServer } from "../../state/relay/mod.js";
import type { HttpClient } from "../http_client.js";
import { HttpExchange } from "../http_exchange.js";

/** Reason with which an exchange is cancelled. */
const CANCELLED = new Error("the attempt was given up");

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
        const exchange = new HttpExchange(this.client.pool(server.address), {
            method: call.method,
            path: call.target,
            headers: this.headers.writeAttempt(call.head, attempt),
            body: call.body.length > 0 ? call.body : undefined,
        }, signal);
        return new HttpAttemptAnswer(exchange, { server: server.id, callId: call.head.id, headers: this.headers, signal });
    }

    override retain(addresses: ReadonlySet<string>): void {
        this.client.retain(addresses);
    }
}

/** Call and attempt that an answer belongs to. */
interface AnswerContext {
    readonly server: string;
    readonly callId: string;
    readonly headers: RelayHeaders;
    readonly signal: AbortSignal;
}

/** Answer to one attempt over HTTP. */
class HttpAttemptAnswer extends AttemptAnswer {
    constructor(private readonly exchange: HttpExchange, private readonly context: AnswerContext) {
        super();
    }

    override async awaitHead(): Promise<AnswerHead> {
        try {
            await this.exchange.awaitHead();
        }
        catch (cause) {
            throw this.toError("read the head", cause);
        }
        const head = this.context.headers.readAnswer(this.exchange.status, toHeaderList(this.exchange.headers));
        if (head.callId !== this.context.callId) {
            this.cancel();
            throw this.toError("read the head", new Error(`the answer belongs to call ${head.callId ?? "unknown"}`));
        }
        return head;
    }

    override async next(): Promise<Buffer | undefined> {
        try {
            return await this.exchange.next();
        }
        catch (cause) {
            throw this.toError("read the body", cause);
        }
    }

    override cancel(): void {
        this.exchange.cancel(CANCELLED);
    }

    private toError(step: string, cause: unknown): AttemptError {
        if (this.exchange.reachedStep === DispatchStep.Connect) {
            return new AttemptError(AttemptFault.NotRun, this.context.server, "connect", cause);
        }
        const fault = this.context.signal.aborted ? AttemptFault.Cancelled : AttemptFault.Unknown;
        return new AttemptError(fault, this.context.server, step, cause);
    }
}

function toHeaderList(headers: IncomingHttpHeaders): string[] {
    const list: string[] = [];
    for (const [name, value] of Object.entries(headers)) {
        for (const item of Array.isArray(value) ? value : [value ?? ""]) {
            list.push(name, item);
        }
    }
    return list;
}
