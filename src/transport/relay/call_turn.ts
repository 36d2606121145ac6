/**
 * Order in which the calls of one connection may be passed on.
 *
 * An answer that has begun and cannot be completed is broken off by closing its connection (RFC 9112, section 8), and with it the answers
 * to the calls behind it. A call that has run by then is lost; one that was not passed on may be repeated.
 *
 * @module
 */

import type { AnswerTurn } from "../../protocol/relay/mod.js";

/** Turn of one call, which comes once no answer to an earlier call of the connection can close it any more. */
export class CallTurn implements AnswerTurn {
    private next: CallTurn | undefined;
    private isSettled = false;
    private isDue: boolean;
    private wake: () => void = () => undefined;

    /** @param previous Turn of the call in front on the connection. */
    constructor(previous?: CallTurn) {
        this.isDue = previous === undefined || previous.isOver;
        if (previous !== undefined) {
            previous.next = this;
        }
    }

    /** Whether the call may be passed on. */
    get hasCome(): boolean {
        return this.isDue;
    }

    private get isOver(): boolean {
        return this.isDue && this.isSettled;
    }

    /** States that the answer to this call does not close the connection before the next one. */
    settle(): void {
        this.isSettled = true;
        let turn = this.isOver ? this.next : undefined;
        while (turn !== undefined && !turn.isDue) {
            turn.isDue = true;
            turn.wake();
            turn = turn.isSettled ? turn.next : undefined;
        }
    }

    async wait(signal: AbortSignal): Promise<void> {
        if (this.isDue || signal.aborted) {
            return;
        }
        await new Promise<void>(resolve => {
            this.wake = resolve;
            signal.addEventListener("abort", () => resolve(), { once: true });
        });
    }
}
