/**
 * Answer to one attempt over HTTP.
 *
 * @module
 */

import type { IncomingHttpHeaders } from "node:http";
import { errors } from "undici";
import {
    type AnswerHead,
    AttemptAnswer,
    type AttemptConnection,
    AttemptError,
    AttemptFault,
    DispatchStep,
    type RelayHeaders,
} from "../../protocol/relay/mod.js";
import type { AddressConnections } from "../address_connections.js";
import type { HttpClient } from "../http_client.js";
import { type HttpExchange, type HttpExchangeRequest, MEMORY_EXCEEDED } from "../http_exchange.js";

/** Content type of the answers that nodes generate. */
export const NODE_CONTENT_TYPE = "application/json";

/** Reason with which an exchange is cancelled. */
const CANCELLED = new Error("the attempt was given up");

/** Call and attempt that an answer belongs to. */
export interface AnswerContext {
    /** Backend server, or peer, that was addressed. */
    readonly receiver: string;
    /** Id of the call, which the answer must state; `undefined` if none can be checked. */
    readonly callId: string | undefined;
    /** Header of nodes in which an answer may state the id as well; an answer may then state none, as those of older nodes. */
    readonly nodeHeader?: string;
    readonly headers: RelayHeaders;
    readonly signal: AbortSignal;
}

/** Reads the answer of one exchange. */
export class HttpAttemptAnswer extends AttemptAnswer {
    /**
     * @param exchange Exchange to read.
     * @param context See {@linkcode AnswerContext}.
     */
    constructor(private readonly exchange: HttpExchange, private readonly context: AnswerContext) {
        super();
    }

    override get connection(): AttemptConnection | undefined {
        return this.exchange.connection;
    }

    override async awaitHead(): Promise<AnswerHead> {
        try {
            await this.exchange.awaitHead();
        }
        catch (cause) {
            throw this.toError("read the head", cause);
        }
        const { [this.context.nodeHeader ?? ""]: nodeId, ...headers } = this.exchange.headers;
        const head = this.context.headers.readAnswer(this.exchange.status, toHeaderList(headers));
        if (this.context.nodeHeader !== undefined && !head.isSealed && headers["content-type"] !== NODE_CONTENT_TYPE) {
            // The HTTP library of a node answers what it cannot read, also in place of the answer to an earlier call.
            throw this.reject(`the answer with status ${head.status} is of no server and no node`);
        }
        if (!this.isAnswerOfCall(head.callId, nodeId)) {
            throw this.reject(`the answer belongs to call ${nodeId ?? head.callId ?? "unknown"}`);
        }
        return head;
    }

    /**
     * Whether an answer belongs to the call: a late one may arrive on a connection that is in use again.
     *
     * @param statedId Id that the answer states.
     * @param nodeId Id that it states in the header of nodes.
     */
    private isAnswerOfCall(statedId: string | undefined, nodeId: string | string[] | undefined): boolean {
        const { callId, nodeHeader } = this.context;
        if (callId === undefined) {
            return true;
        }
        if (nodeHeader === undefined) {
            return statedId === callId;
        }
        return (statedId ?? callId) === callId && (nodeId ?? callId) === callId;
    }

    override async next(): Promise<Buffer | undefined> {
        try {
            return await this.exchange.next();
        }
        catch (cause) {
            throw this.toError("read the body", cause);
        }
    }

    override recordRead(heldBytes: number, events: number): void {
        this.exchange.recordRead(heldBytes, events);
    }

    override recordUnused(): void {
        this.exchange.recordUnused();
    }

    override cancel(): void {
        this.exchange.cancel(CANCELLED);
        this.exchange.release();
    }

    private reject(reason: string): AttemptError {
        const error = new Error(reason);
        this.exchange.rejectConnection(error);
        this.exchange.release();
        return this.toError("read the head", error);
    }

    private toError(step: string, cause: unknown): AttemptError {
        if (this.exchange.reachedStep === DispatchStep.Connect) {
            if (cause instanceof errors.InvalidArgumentError) {
                return new AttemptError(AttemptFault.Unwritable, this.context.receiver, "write the call", cause);
            }
            return new AttemptError(AttemptFault.NotRun, this.context.receiver, "connect", cause);
        }
        if (cause === MEMORY_EXCEEDED) {
            return new AttemptError(AttemptFault.TooLarge, this.context.receiver, step, cause);
        }
        const fault = this.context.signal.aborted ? AttemptFault.Cancelled : AttemptFault.Unknown;
        return new AttemptError(fault, this.context.receiver, step, cause);
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

/**
 * Sends a call.
 *
 * @param client Client that has the connections.
 * @param address Address of the receiver.
 * @param request Call to send.
 * @param context See {@linkcode AnswerContext}.
 * @throws {AttemptError} If the receiver's address is none to which a connection can be opened.
 */
export function sendAttempt(
    client: HttpClient,
    address: string,
    request: HttpExchangeRequest,
    context: AnswerContext,
): AttemptAnswer {
    let connections: AddressConnections;
    try {
        connections = client.open(address);
    }
    catch (cause) {
        throw new AttemptError(AttemptFault.NotRun, context.receiver, `open a connection pool for ${address}`, cause);
    }
    return new HttpAttemptAnswer(connections.send(context.callId, request, context.signal), context);
}
