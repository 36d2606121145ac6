/**
 * Calls in progress on one connection from a caller.
 *
 * @module
 */

import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { afterArrivedInput } from "../state/mod.js";

/** Keeps a connection open until the calls that were read from it are answered. */
export class CallerConnection {
    /** Responses that are not finished, in the order of their calls. */
    private readonly openResponses = new Set<ServerResponse>();
    private hasClosingHead = false;
    private onAnswered: (() => void) | undefined;

    /**
     * @param socket Connection.
     * @param isClosing Returns whether connections are to be closed once their calls are answered.
     */
    constructor(private readonly socket: Socket, private readonly isClosing: () => boolean) {}

    /** Whether a head said, or will say, that the connection closes; calls that come after it are not read. */
    get isEnding(): boolean {
        return this.hasClosingHead;
    }

    /**
     * Adds the response to a call whose head was read.
     *
     * @param isLast Whether the connection closes after it, and carries no further calls.
     */
    add(response: ServerResponse, isLast: boolean): void {
        this.hasClosingHead ||= isLast;
        this.openResponses.add(response);
        response.on("close", () => this.remove(response));
        response.on("finish", () => this.remove(response));
    }

    /**
     * Decides whether the head of a response says that the connection closes. Only the head of the newest one may, as all calls that
     * were read before it are answered first.
     *
     * @param mustClose Whether the rest of the call may not come, so that the connection carries no further ones.
     */
    decideClosingHead(response: ServerResponse, mustClose: boolean): boolean {
        const isNewest = [...this.openResponses].at(-1) === response;
        this.hasClosingHead ||= isNewest && (mustClose || this.isClosing());
        return isNewest && this.hasClosingHead;
    }

    /** Calls a function once the calls that were read are answered. */
    afterAnswers(action: () => void): void {
        this.onAnswered = action;
        this.runAction();
    }

    private remove(response: ServerResponse): void {
        this.openResponses.delete(response);
        this.runAction();
        if (this.openResponses.size === 0 && this.isClosing()) {
            this.close();
        }
    }

    private close(): void {
        if (this.hasClosingHead) {
            this.socket.destroySoon();
            return;
        }
        // The caller does not know yet that the connection closes.
        afterArrivedInput(() => {
            if (this.openResponses.size === 0) {
                this.socket.destroySoon();
            }
        });
    }

    private runAction(): void {
        if (![...this.openResponses].some(response => response.req.complete)) {
            const action = this.onAnswered;
            this.onAnswered = undefined;
            action?.();
        }
    }
}
