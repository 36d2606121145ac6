/**
 * Client for model engines over HTTP and server-sent events.
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
import { EventStreamParser } from "./_event_stream_parser.js";
import type { HttpClient } from "./http_client.js";
import type { HttpExchangeRequest } from "./http_exchange.js";

/** Timeout for reading a load report or cache events, in milliseconds. */
const REPORT_TIMEOUT_MS = 1_000;

/** Reason with which an exchange is cancelled once its answer is no longer read. */
const ANSWER_CONSUMED = new Error("the answer is no longer read");

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

/** Event of an engine's stream in its JSON representation. */
interface WireEvent {
    readonly id: string;
    readonly token?: EngineToken;
    readonly end?: EngineEnd;
}

/** Client for engines: `POST /v1/generate` answers with server-sent events, `GET /load` and `GET /cache-events` with JSON. */
export class HttpEngine extends Engine {
    /** @param client Connection pools. */
    constructor(private readonly client: HttpClient) {
        super();
    }

    override async *generate(vm: Vm, request: EngineRequest, signal: AbortSignal): AsyncGenerator<EngineEvent> {
        const exchange = this.client.open(vm.address).send(request.id, {
            ...toExchangeRequest(request),
            inputLimits: this.client.inputLimits,
        }, signal);
        const parser = new EventStreamParser();
        try {
            await exchange.awaitHead();
            if (exchange.status !== 200) {
                throw new DispatchError({
                    fault: DispatchFault.ServerError,
                    step: DispatchStep.AwaitHead,
                    peer: vm.id,
                    cause: new Error(`status ${exchange.status}`),
                });
            }
            for (let chunk = await exchange.next(); chunk !== undefined; chunk = await exchange.next()) {
                for (const data of parser.push(chunk)) {
                    const event = decodeEvent(data, request.id, vm.id, exchange.reachedStep);
                    yield event;
                    if (event.kind === "end") {
                        return;
                    }
                }
            }
            throw new Error("the stream ended without its last event");
        }
        catch (cause) {
            if (cause instanceof DispatchError && cause.fault === DispatchFault.Mismatched) {
                exchange.rejectConnection(cause);
            }
            throw toDispatchError(cause, { peer: vm.id, step: exchange.reachedStep, signal });
        }
        finally {
            exchange.cancel(ANSWER_CONSUMED);
            exchange.release();
        }
    }

    override async readLoad(vm: Vm): Promise<LoadReport> {
        try {
            return reportSchema.parse(await this.readReport(vm, "/load"));
        }
        catch (cause) {
            throw new PlatformError("read load report", vm.id, Executed.No, cause);
        }
    }

    override async readCacheEvents(vm: Vm, after: number): Promise<CacheEventBatch> {
        try {
            return cacheEventsSchema.parse(await this.readReport(vm, `/cache-events?after=${after}`));
        }
        catch (cause) {
            throw new PlatformError("read cache events", vm.id, Executed.No, cause);
        }
    }

    private async readReport(vm: Vm, path: string): Promise<unknown> {
        const request = { method: "GET", path, headers: {} };
        const { body } = await this.client.request(vm.address, request, { timeoutMs: REPORT_TIMEOUT_MS });
        return JSON.parse(body.toString("utf8"));
    }
}

function toExchangeRequest(request: EngineRequest): HttpExchangeRequest {
    return {
        method: "POST",
        path: "/v1/generate",
        headers: { "content-type": "application/json", "x-request-id": request.id, "x-from-token": `${request.fromToken}` },
        body: request.body,
    };
}

function decodeEvent(data: string, id: string, peer: string, step: DispatchStep): EngineEvent {
    const event = JSON.parse(data) as WireEvent;
    if (event.id !== id) {
        const cause = new Error(`answer of request ${event.id} came instead`);
        throw new DispatchError({ fault: DispatchFault.Mismatched, step, peer, cause });
    }
    if (event.end !== undefined) {
        return { kind: "end", end: event.end };
    }
    if (event.token === undefined) {
        throw new DispatchError({ fault: DispatchFault.Broken, step, peer, cause: new Error("event has neither token nor end") });
    }
    return { kind: "token", token: event.token };
}

/** Context of a failed exchange. */
export interface HttpExchangeFailure {
    /** Id of the backend server that the request was sent to. */
    readonly peer: string;
    /** Step that the exchange had reached. */
    readonly step: DispatchStep;
    /** Signal that may have cancelled the exchange. */
    readonly signal: AbortSignal;
}

/**
 * Converts an error of an exchange into a {@linkcode DispatchError} with fault, step and peer.
 *
 * @param cause Error of the exchange; a `DispatchError` is returned unchanged.
 * @param failure See {@linkcode HttpExchangeFailure}.
 */
export function toDispatchError(cause: unknown, failure: HttpExchangeFailure): DispatchError {
    if (cause instanceof DispatchError) {
        return cause;
    }
    const { peer, step, signal } = failure;
    if (signal.aborted) {
        return new DispatchError({ fault: DispatchFault.Cancelled, step, peer, cause });
    }
    const fault = step === DispatchStep.Connect ? DispatchFault.Refused : DispatchFault.Broken;
    return new DispatchError({ fault, step, peer, cause });
}
