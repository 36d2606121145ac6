/**
 * Client for plain services over HTTP.
 *
 * @module
 */

import {
    DispatchError,
    DispatchFault,
    DispatchStep,
    PlainService,
    type ServiceAnswer,
    type ServiceRequest,
} from "../protocol/mod.js";
import type { Vm } from "../state/mod.js";
import type { HttpClient } from "./http_client.js";
import { toDispatchError } from "./http_engine.js";
import type { HttpExchange } from "./http_exchange.js";

/** Maximum size of an answer of a plain service, in bytes. */
const MAX_ANSWER_BYTES = 16 * 1024 * 1024;

/** Client for plain services, which echo the `x-request-id` header. */
export class HttpPlainService extends PlainService {
    /** @param client Connection pools. */
    constructor(private readonly client: HttpClient) {
        super();
    }

    override async send(vm: Vm, request: ServiceRequest, signal: AbortSignal): Promise<ServiceAnswer> {
        const exchange = this.client.open(vm.address).send(request.id, {
            method: request.method,
            path: request.target,
            headers: requestHeaders(request),
            body: request.body.length > 0 ? request.body : undefined,
            inputLimits: this.client.inputLimits,
        }, signal);
        try {
            await exchange.awaitHead();
            checkEchoedRequestId(exchange, request.id, vm.id);
            const body = await exchange.readWhole(MAX_ANSWER_BYTES);
            const contentType = String(exchange.headers["content-type"] ?? "application/octet-stream");
            return { status: exchange.status, contentType, body };
        }
        catch (cause) {
            exchange.cancel(cause as Error);
            throw toDispatchError(cause, { peer: vm.id, step: exchange.reachedStep, signal });
        }
        finally {
            exchange.release();
        }
    }
}

function checkEchoedRequestId(exchange: HttpExchange, id: string, peer: string): void {
    const echoed = exchange.headers["x-request-id"];
    if (echoed !== id) {
        const cause = new Error(`answer of request ${String(echoed)} came instead`);
        exchange.rejectConnection(cause);
        throw new DispatchError({ fault: DispatchFault.Mismatched, step: DispatchStep.ReadBody, peer, cause });
    }
}

function requestHeaders(request: ServiceRequest): Record<string, string> {
    const headers: Record<string, string> = { "x-request-id": request.id };
    if (request.contentType !== undefined) {
        headers["content-type"] = request.contentType;
    }
    if (request.idempotencyKey !== undefined) {
        headers["idempotency-key"] = request.idempotencyKey;
    }
    return headers;
}
