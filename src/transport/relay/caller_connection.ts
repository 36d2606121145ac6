/**
 * Connection of a caller and the calls on it whose answers are not complete.
 *
 * A caller may send calls without waiting for the answers to earlier ones (RFC 9112, section 9.3.2), so a connection may close only after
 * the answers to all calls that were read from it.
 *
 * @module
 */

import { type IncomingMessage, type ServerResponse, STATUS_CODES } from "node:http";
import type { Socket } from "node:net";
import { AnswerPlace } from "../../protocol/relay/mod.js";
import { afterArrivedInput } from "../../state/relay/mod.js";
import { CallTurn } from "./call_turn.js";
import type { HttpRelayAnswer } from "./http_relay_answer.js";

/** Call whose answer is not complete. */
export interface OpenCall {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly answer: HttpRelayAnswer;
    /** Aborted when the caller disconnects. */
    readonly callerAbort: AbortController;
    /** Id, and when the call was read completely; `undefined` before. */
    read: { readonly id: string; readonly arrivedAtMs: number } | undefined;
}

/** Decides when a connection closes. */
export class CallerConnection {
    /** Calls whose answers are not complete, in the order of the connection. */
    readonly calls = new Set<OpenCall>();
    /** Whether the connection closes after the answers to the calls that were read from it. */
    mustClose = false;
    private unreadableStatus: number | undefined;
    private hasClosingHead = false;
    private isLastCallRead = false;
    private lastTurn: CallTurn | undefined;

    /**
     * @param socket Socket of the connection.
     * @param onUnreadable Called with the status of an answer to bytes that have not become a call.
     */
    constructor(private readonly socket: Socket, private readonly onUnreadable: (status: number) => void) {}

    /** Whether further calls get no answer, since the connection closes before them (RFC 9112, section 9.6). */
    get isClosing(): boolean {
        return this.hasClosingHead || this.isLastCallRead || this.unreadableStatus !== undefined;
    }

    /** Returns the turn of the next call. */
    nextTurn(): CallTurn {
        this.lastTurn = new CallTurn(this.lastTurn);
        return this.lastTurn;
    }

    /**
     * Adds a call behind the others.
     *
     * @param isKeptAlive Whether the caller may send further calls on the connection.
     */
    add(call: OpenCall, isKeptAlive: boolean): void {
        this.calls.add(call);
        this.isLastCallRead = !isKeptAlive;
    }

    /** Returns whether the head of an answer, which is about to be written, says that the connection closes. */
    writeClosingHead(call: OpenCall, isDraining: boolean): boolean {
        const isClosing = (this.mustClose || isDraining) && [...this.calls].at(-1) === call;
        this.hasClosingHead ||= isClosing;
        return isClosing;
    }

    /** Removes a call whose answer is complete, and closes the connection if it was the last one and the connection has to close. */
    finish(call: OpenCall, isDraining: boolean): void {
        this.calls.delete(call);
        this.closeIfDue(isDraining);
    }

    /**
     * Handles bytes that are no call, or that do not become one in time. The answers to earlier calls are sent first: this one would be
     * taken for the answer to the first of them.
     *
     * @param status Status that the caller gets.
     */
    refuseUnreadable(status: number, isDraining: boolean): void {
        for (const { request, answer } of this.calls) {
            if (!request.complete && !answer.isStarted) {
                this.mustClose = true;
                answer.sendLocal({ place: AnswerPlace.Reading, status, text: "The body of the call cannot be read." });
                return;
            }
        }
        this.unreadableStatus = status;
        this.closeIfDue(isDraining);
    }

    /** Closes the connection if no answer is open on it. */
    closeIfIdle(): void {
        if (this.calls.size === 0) {
            this.socket.destroySoon();
        }
    }

    private closeIfDue(isDraining: boolean): void {
        if (this.calls.size > 0 || !this.isClosing && !this.mustClose && !isDraining) {
            return;
        }
        if (!this.isClosing) {
            // The caller does not know yet that the connection closes.
            afterArrivedInput(() => this.closeIfIdle());
            return;
        }
        if (this.unreadableStatus !== undefined && this.socket.writable) {
            const reason = STATUS_CODES[this.unreadableStatus] ?? "";
            this.socket.write(`HTTP/1.1 ${this.unreadableStatus} ${reason}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
            this.onUnreadable(this.unreadableStatus);
        }
        this.socket.destroySoon();
    }
}
