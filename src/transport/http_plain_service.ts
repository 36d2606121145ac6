/**
 * Plain services over HTTP.
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

/** Largest answer of a plain service, in bytes. */
const MAX_ANSWER_BYTES = 16 * 1024 * 1024;

/** Plain services that speak HTTP and echo the `x-request-id` header. */
export class HttpPlainService extends PlainService {
    /** @param client Connections. */
    constructor(private readonly client: HttpClient) {
        super();
    }

    override async send(vm: Vm, request: ServiceRequest, signal: AbortSignal): Promise<ServiceAnswer> {
        let step = DispatchStep.AwaitHead;
        try {
            const response = await this.client.pool(vm.address).request({
                method: request.method as "GET",
                path: request.target,
                headers: requestHeaders(request),
                body: request.body.length > 0 ? request.body : undefined,
                signal,
            });
            step = DispatchStep.ReadBody;
            const echoed = response.headers["x-request-id"];
            if (echoed !== request.id) {
                response.body.destroy();
                const cause = new Error(`answer of request ${String(echoed)} came instead`);
                throw new DispatchError({ fault: DispatchFault.Crossed, step, peer: vm.id, cause });
            }
            const body = await readBody(response.body);
            const contentType = String(response.headers["content-type"] ?? "application/octet-stream");
            return { status: response.statusCode, contentType, body };
        }
        catch (cause) {
            throw toDispatchError(cause, vm.id, step, signal);
        }
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

async function readBody(body: AsyncIterable<Uint8Array>): Promise<Buffer> {
    const chunks: Uint8Array[] = [];
    let size = 0;
    for await (const chunk of body) {
        size += chunk.length;
        if (size > MAX_ANSWER_BYTES) {
            throw new RangeError(`Cannot read answer: it is larger than ${MAX_ANSWER_BYTES} bytes`);
        }
        chunks.push(chunk);
    }
    return Buffer.concat(chunks);
}
