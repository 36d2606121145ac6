/**
 * HTTP/1.1 server for calls that other nodes hand to this one.
 *
 * @module
 */

import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { AnswerPlace, describeCause, DetourCall, type LocalAnswer } from "../../protocol/relay/mod.js";
import type { Clock } from "../../state/relay/mod.js";
import { BodyCollector, discardBody } from "../body_collector.js";
import type { ConnectionBound } from "../connection_bound.js";
import { ConnectionLimits } from "../connection_limits.js";
import { dropHead } from "../held_head.js";
import { InputLimits } from "../input_limits.js";
import { InterimHeads } from "../interim_heads.js";
import { listen } from "../listen.js";
import { SlicedInput } from "../sliced_input.js";
import type { WrittenLocalAnswer } from "./caller_server.js";
import { HttpRelayAnswer } from "./http_relay_answer.js";

/** Path of the calls. */
export const DETOUR_PATH = "/calls";

/** Header with the id of the call, which the answer states as well. */
export const DETOUR_CALL_HEADER = "foxtailrail-call";

/** Largest message, in bytes; callers' bodies are limited by the configuration, which is stricter. */
const MAX_MESSAGE_BYTES = 16_777_216;

/** Time after which an idle connection is closed, in milliseconds; longer than the time after which clients close it. */
const IDLE_TIMEOUT_MS = 10_000;

/** Status for senders that are no nodes of the fleet. */
const FORBIDDEN_STATUS = 403;

/** Status that hands a call back: it has not run, and another node may take it. */
const HANDED_BACK_STATUS = 421;

/** Status for messages that cannot be read. */
const INVALID_STATUS = 400;

/** Settings of a {@linkcode DetourServer}. */
export interface DetourServerSettings {
    readonly clock: Clock;
    /** Limits that all bodies and answers of the node share. By default, the messages have their own. */
    readonly inputLimits?: InputLimits;
    /** Bound on the number of connections. By default, there is none. */
    readonly connectionBound?: ConnectionBound;
    /** Whether a host is that of another node of the fleet. */
    readonly isNode: (host: string) => boolean;
    /**
     * Serves a call.
     *
     * @returns A sentence that states what is wrong with an invalid message, which is not served.
     */
    readonly receive: (call: DetourCall, answer: HttpRelayAnswer, callerGone: AbortSignal) => string | undefined;
    /** Called with errors of the listening server, such as a connection that cannot be accepted; it goes on. */
    readonly onListenerError: (error: unknown) => void;
    /** Called with each answer of the node itself. */
    readonly onLocalAnswer?: (answer: WrittenLocalAnswer) => void;
    /** Called with a message when a call is rejected. */
    readonly onRejected: (text: string, detail: Readonly<Record<string, unknown>>) => void;
}

/** Receives calls of other nodes; others get none of them served. */
export class DetourServer {
    /** Number of calls whose response is still open. */
    openCalls = 0;
    private readonly server: Server;
    private readonly inputLimits: InputLimits;
    private readonly interimHeads: InterimHeads;
    private readonly unreadCalls = new Map<IncomingMessage, HttpRelayAnswer>();
    private isStopped = false;

    /** @param settings See {@linkcode DetourServerSettings}. */
    constructor(private readonly settings: DetourServerSettings) {
        this.inputLimits = settings.inputLimits ?? new InputLimits(settings.clock);
        this.server = createServer({ keepAliveTimeout: IDLE_TIMEOUT_MS, noDelay: true });
        const connectionLimits = new ConnectionLimits(this.server, {
            clock: settings.clock,
            bound: settings.connectionBound,
            onIdle: socket => socket.destroySoon(),
            onGivenUp: socket => this.giveUp(socket),
        });
        this.interimHeads = new InterimHeads(this.server);
        new SlicedInput(this.server, this.inputLimits, connectionLimits);
        this.server.on("request", (request, response) => this.handleRequest(request, response));
        // The library's own answer would stand in place of that to a call that runs.
        this.server.on("clientError", (error, socket) => socket.destroy(error));
    }

    /** Starts listening. */
    async listen(host: string, port: number): Promise<void> {
        await listen(this.server, { host, port }, this.settings.onListenerError);
    }

    /** Port that the server listens on; 0 if it does not listen on a port. */
    get port(): number {
        const address = this.server.address();
        return typeof address === "object" && address ? address.port : 0;
    }

    /** Hands all further calls back. Calls in progress continue. */
    stop(): void {
        this.isStopped = true;
    }

    /** Hands the calls back of which only a part has been read. */
    refuseUnread(): void {
        for (const [request, answer] of this.unreadCalls) {
            this.reject(request, answer, {
                place: AnswerPlace.UnreadAtStop,
                status: HANDED_BACK_STATUS,
                text: "The node is stopping.",
            });
        }
    }

    /** Stops listening and closes all connections immediately. */
    closeAll(): void {
        this.server.close();
        this.server.closeAllConnections();
    }

    private handleRequest(request: IncomingMessage, response: ServerResponse): void {
        const callId = request.headers[DETOUR_CALL_HEADER];
        const nodeHeaders = typeof callId === "string" ? [DETOUR_CALL_HEADER, callId] : [];
        dropHead(request);
        const answer: HttpRelayAnswer = new HttpRelayAnswer(response, {
            closesConnection: () => this.interimHeads.giveUp(request, response) || this.isStopped,
            nodeHeaders,
            memory: this.inputLimits.memory,
            onLocal: localAnswer => {
                const id = typeof callId === "string" ? callId : undefined;
                this.settings.onLocalAnswer?.({ id, localAnswer, execution: answer.execution });
            },
        });
        const sender = request.socket.remoteAddress ?? "";
        if (!this.settings.isNode(sender)) {
            this.reject(request, answer, {
                place: AnswerPlace.DetourPort,
                status: FORBIDDEN_STATUS,
                text: "Only nodes of the fleet may send calls to this port.",
            });
            return;
        }
        if (this.isStopped) {
            this.reject(request, answer, {
                place: AnswerPlace.DetourPort,
                status: HANDED_BACK_STATUS,
                text: "The node is leaving.",
            });
            return;
        }
        const callerAbort = new AbortController();
        this.openCalls += 1;
        this.unreadCalls.set(request, answer);
        this.interimHeads.prepare(request, response);
        response.on("close", () => {
            this.openCalls -= 1;
            this.unreadCalls.delete(request);
            if (!response.writableFinished) {
                callerAbort.abort();
            }
        });
        request.on("error", () => callerAbort.abort());
        const message = new BodyCollector(request, {
            inputLimits: this.inputLimits,
            maxBytes: MAX_MESSAGE_BYTES,
            onProgress: size => {
                if (size > MAX_MESSAGE_BYTES) {
                    request.destroy();
                }
            },
            onEvicted: () => {
                if (answer.isStarted) {
                    return;
                }
                this.unreadCalls.delete(request);
                this.reject(request, answer, {
                    place: AnswerPlace.Memory,
                    status: HANDED_BACK_STATUS,
                    text: "The node holds too many bytes of calls.",
                });
            },
        });
        response.on("close", () => message.release());
        request.on("end", () => {
            this.unreadCalls.delete(request);
            if (answer.isStarted || callerAbort.signal.aborted) {
                return;
            }
            const problem = this.serve(message.take(), answer, callerAbort.signal);
            if (problem !== undefined) {
                this.reject(request, answer, { place: AnswerPlace.DetourPort, status: INVALID_STATUS, text: problem });
            }
        });
    }

    /** Closes a connection that has stalled, and hands a call back of which only a part has come. */
    private giveUp(socket: Socket): void {
        for (const [request, answer] of this.unreadCalls) {
            if (request.socket === socket && !answer.isStarted) {
                this.unreadCalls.delete(request);
                this.reject(request, answer, {
                    place: AnswerPlace.Connections,
                    status: HANDED_BACK_STATUS,
                    text: "The node has too many connections.",
                });
                return;
            }
        }
        socket.destroy();
    }

    private serve(message: Buffer, answer: HttpRelayAnswer, callerGone: AbortSignal): string | undefined {
        let call: DetourCall;
        try {
            call = DetourCall.decode(message);
        }
        catch (cause) {
            return `Cannot decode the call: ${describeCause(cause)}`;
        }
        return this.settings.receive(call, answer, callerGone);
    }

    private reject(request: IncomingMessage, answer: HttpRelayAnswer, localAnswer: LocalAnswer): void {
        const { status, text } = localAnswer;
        this.settings.onRejected("detour: call rejected", { sender: request.socket.remoteAddress, status, text });
        answer.closeAfterwards();
        answer.sendLocal(localAnswer);
        // The answer closes the connection.
        discardBody(request, this.inputLimits, () => undefined);
    }
}
