/**
 * Exchanges with a server that records each byte, and the check of what they promise.
 *
 * @module
 */

import { Pool } from "undici";
import { DispatchStep } from "../../src/protocol/relay/mod.js";
import { HttpClient } from "../../src/transport/http_client.js";
import { HttpExchange } from "../../src/transport/http_exchange.js";
import { makeTimedConnector } from "../../src/transport/timed_connector.js";
import { bodyOf, RequestRecorder } from "./request_recorder.js";

/** Bytes of a body that is sent with its head. */
const SMALL_BODY_BYTES = 40;

/** Time limit of attempts to connect, in milliseconds. */
const CONNECT_TIMEOUT_MS = 1_000;

/** Time after which an exchange that has not ended is cancelled, in milliseconds. */
const END_TIMEOUT_MS = 10_000;

/** How a request is sent. */
export interface SendSettings {
    readonly bodyBytes?: number;
    /** Whether its signal is aborted before. */
    readonly isAborted?: boolean;
    /** Called when the request may be written; the request may be written unless it returns `false`. */
    readonly mayWrite?: (sent: SentRequest) => boolean;
    /** Pool to send it with; by default, that of the rig. */
    readonly pool?: Pool;
}

/** Request that was sent. */
export class SentRequest {
    /** Set as soon as the exchange exists; the library may write a request before. */
    exchange: HttpExchange | undefined;
    readonly abortController = new AbortController();
    /** Error with which the exchange ended; `undefined` as long as it has not failed. */
    error: Error | undefined;
    /** Step that it had reached when it failed, as its reader learns of it. */
    failedStep: DispatchStep | undefined;
    /** Resolves when the exchange has ended. */
    ended: Promise<void> = Promise.resolve();

    /** @param id Id of the request. */
    constructor(readonly id: string) {}

    /** Aborts the exchange by its signal. */
    abort(): void {
        this.abortController.abort(new Error("aborted"));
    }

    /** Cancels the exchange. */
    cancel(): void {
        this.exchange?.cancel(new Error("cancelled"));
    }

    /** Whether the exchange has failed and says that no byte can have been sent. */
    get isPromisedUnsent(): boolean {
        return this.failedStep === DispatchStep.Connect;
    }
}

/** One server, its pools and the requests to it. */
export class ExchangeRig {
    readonly recorder = new RequestRecorder();
    readonly sent: SentRequest[] = [];
    readonly client: HttpClient;
    private currentPool: Pool | undefined;
    private readonly pools: Pool[] = [];

    /**
     * @param connections Largest number of connections of {@linkcode pool}.
     * @param connectTimeoutMs Time limit of attempts to connect with {@linkcode client}, in milliseconds.
     */
    constructor(private readonly connections = 1, connectTimeoutMs = CONNECT_TIMEOUT_MS) {
        this.client = new HttpClient(connectTimeoutMs);
    }

    /** Pool with which requests are sent by default. */
    get pool(): Pool {
        this.currentPool ??= this.openPool();
        return this.currentPool;
    }

    /** Opens a pool with the options of {@linkcode HttpClient}, but fewer connections. */
    openPool(): Pool {
        const pool = new Pool(`http://${this.recorder.address}`, {
            connections: this.connections,
            connect: makeTimedConnector(CONNECT_TIMEOUT_MS),
            pipelining: 1,
            bodyTimeout: 0,
            headersTimeout: 0,
        });
        this.pools.push(pool);
        return pool;
    }

    /** Closes the pool once its requests have ended; those that follow use a new one. */
    renew(): void {
        void this.currentPool?.close();
        this.currentPool = undefined;
    }

    /** Closes the pool at once; requests that follow use a new one. */
    destroyPool(): void {
        void this.currentPool?.destroy();
        this.currentPool = undefined;
    }

    /** Sends a request. */
    send(settings: SendSettings = {}): SentRequest {
        const sent = new SentRequest(`r${this.sent.length}-${Math.floor(performance.now() * 1_000)}`);
        this.sent.push(sent);
        if (settings.isAborted) {
            sent.abort();
        }
        const body = bodyOf(sent.id, settings.bodyBytes ?? SMALL_BODY_BYTES);
        sent.exchange = new HttpExchange(settings.pool ?? this.pool, {
            method: "POST",
            path: `/${sent.id}`,
            headers: ["Request-Id", sent.id],
            body,
            mayWrite: () => settings.mayWrite?.(sent) ?? true,
        }, sent.abortController.signal);
        sent.ended = this.readToEnd(sent, sent.exchange);
        return sent;
    }

    private async readToEnd(sent: SentRequest, exchange: HttpExchange): Promise<void> {
        const timeout = setTimeout(() => sent.cancel(), END_TIMEOUT_MS);
        try {
            await exchange.awaitHead();
            await exchange.readWhole(Infinity);
        }
        catch (error) {
            sent.error = error as Error;
            sent.failedStep = exchange.reachedStep;
        }
        finally {
            clearTimeout(timeout);
        }
    }

    /** Waits until all requests have ended. */
    async awaitEnds(): Promise<void> {
        await Promise.all(this.sent.map(({ ended }) => ended));
    }

    /** Returns what contradicts the promises of the exchanges so far. */
    findProblems(): readonly string[] {
        const problems: string[] = [];
        const { requests } = this.recorder;
        for (const sent of this.sent) {
            const arrivals = requests.filter(({ id }) => id === sent.id).length;
            if (arrivals > 1) {
                problems.push(`${sent.id} was written ${arrivals} times`);
            }
            if (sent.isPromisedUnsent && arrivals > 0) {
                problems.push(`${sent.id} was written, and failed as not sent: ${sent.error?.message ?? ""}`);
            }
        }
        if (requests.some(({ id, isIntact }) => id === undefined || !isIntact)) {
            problems.push(`bytes that belong to no request, or to another one: ${JSON.stringify(requests)}`);
        }
        return problems;
    }

    /** Closes the server and all connections. */
    async close(): Promise<void> {
        this.recorder.close();
        await Promise.all([this.client.close(), ...this.pools.map(pool => pool.destroy())]);
    }
}
