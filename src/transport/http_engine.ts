/**
 * Model engines over HTTP and server-sent events.
 *
 * @module
 */

import { z } from "zod";
import {
    type CacheEventBatch,
    DispatchError,
    DispatchFault,
    DispatchStep,
    Engine,
    type EngineEnd,
    type EngineEvent,
    type EngineRequest,
    type EngineToken,
    Executed,
    PlatformError,
} from "../protocol/mod.js";
import type { LoadReport, Vm } from "../state/mod.js";
import { readEventStream } from "./_event_stream.js";
import { type HttpClient, isConnectError } from "./http_client.js";

/** Longest time to wait for a load report, in milliseconds. */
const REPORT_TIMEOUT_MS = 1_000;

const reportSchema = z.object({
    version: z.string(),
    engineClass: z.string(),
    waiting: z.number(),
    running: z.number(),
    waitingTokens: z.number(),
    atMs: z.number(),
});

const cacheEventsSchema = z.object({
    events: z.array(z.object({ kind: z.enum(["stored", "evicted"]), block: z.string() })),
    next: z.number(),
});

/** Event of an engine's stream as it stands on the wire. */
interface WireEvent {
    readonly id: string;
    readonly token?: EngineToken;
    readonly end?: EngineEnd;
}

/** Engines that speak HTTP: `POST /v1/generate` answers with server-sent events, `GET /load` and `GET /cache-events` with JSON. */
export class HttpEngine extends Engine {
    /** @param client Connections. */
    constructor(private readonly client: HttpClient) {
        super();
    }

    override async *generate(vm: Vm, request: EngineRequest, signal: AbortSignal): AsyncGenerator<EngineEvent> {
        const body = await this.open(vm, request, signal);
        let step = DispatchStep.AwaitFirstToken;
        try {
            for await (const data of readEventStream(body)) {
                const event = decodeEvent(data, request.id, vm.id, step);
                yield event;
                if (event.kind === "end") {
                    return;
                }
                step = DispatchStep.ReadBody;
            }
        }
        catch (cause) {
            throw toDispatchError(cause, vm.id, step, signal);
        }
        const cause = new Error("the stream ended without its last event");
        throw new DispatchError({ fault: DispatchFault.Broken, step, peer: vm.id, cause });
    }

    override async readLoad(vm: Vm): Promise<LoadReport> {
        try {
            const response = await this.client.pool(vm.address).request({
                method: "GET",
                path: "/load",
                headersTimeout: REPORT_TIMEOUT_MS,
                bodyTimeout: REPORT_TIMEOUT_MS,
            });
            return reportSchema.parse(await response.body.json());
        }
        catch (cause) {
            throw new PlatformError("read load report", vm.id, Executed.No, cause);
        }
    }

    override async readCacheEvents(vm: Vm, after: number): Promise<CacheEventBatch> {
        try {
            const response = await this.client.pool(vm.address).request({
                method: "GET",
                path: `/cache-events?after=${after}`,
                headersTimeout: REPORT_TIMEOUT_MS,
                bodyTimeout: REPORT_TIMEOUT_MS,
            });
            return cacheEventsSchema.parse(await response.body.json());
        }
        catch (cause) {
            throw new PlatformError("read cache events", vm.id, Executed.No, cause);
        }
    }

    private async open(vm: Vm, request: EngineRequest, signal: AbortSignal): Promise<AsyncIterable<Uint8Array>> {
        try {
            const response = await this.client.pool(vm.address).request({
                method: "POST",
                path: "/v1/generate",
                headers: {
                    "content-type": "application/json",
                    "x-request-id": request.id,
                    "x-from-token": `${request.fromToken}`,
                },
                body: request.body,
                signal,
            });
            if (response.statusCode !== 200) {
                await response.body.dump();
                const cause = new Error(`status ${response.statusCode}`);
                throw new DispatchError({ fault: DispatchFault.ServerError, step: DispatchStep.AwaitHead, peer: vm.id, cause });
            }
            return response.body;
        }
        catch (cause) {
            throw toDispatchError(cause, vm.id, DispatchStep.AwaitHead, signal);
        }
    }
}

function decodeEvent(data: string, id: string, peer: string, step: DispatchStep): EngineEvent {
    const event = JSON.parse(data) as WireEvent;
    if (event.id !== id) {
        const cause = new Error(`answer of request ${event.id} came instead`);
        throw new DispatchError({ fault: DispatchFault.Crossed, step, peer, cause });
    }
    if (event.end !== undefined) {
        return { kind: "end", end: event.end };
    }
    if (event.token === undefined) {
        throw new DispatchError({ fault: DispatchFault.Broken, step, peer, cause: new Error("event has neither token nor end") });
    }
    return { kind: "token", token: event.token };
}

/**
 * Turns an error of the HTTP library into one with step and peer.
 *
 * @param cause Error of the library.
 * @param peer Backend server that was addressed.
 * @param step Step that was reached when a connection had come about.
 * @param signal Signal that may have cancelled the dispatch.
 */
export function toDispatchError(cause: unknown, peer: string, step: DispatchStep, signal: AbortSignal): DispatchError {
    if (cause instanceof DispatchError) {
        return cause;
    }
    if (isConnectError(cause)) {
        return new DispatchError({ fault: DispatchFault.Refused, step: DispatchStep.Connect, peer, cause });
    }
    const fault = signal.aborted ? DispatchFault.Cancelled : DispatchFault.Broken;
    return new DispatchError({ fault, step, peer, cause });
}
