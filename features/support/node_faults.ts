/**
 * Errors inside a node of the same process.
 *
 * @module
 */

import { HttpAttemptAnswer } from "../../src/transport/relay/http_attempt_answer.js";
import { HttpRelayClient } from "../../src/transport/relay/mod.js";

/** Error that no part of the node expects. */
class NodeFault extends Error {
    override readonly name = "NodeFault";
}

/** Makes steps of calls throw. */
export class NodeFaults {
    private isSendingFailing = false;
    private isReadingFailing = false;
    private readonly send = HttpRelayClient.prototype.send;
    private readonly awaitHead = HttpAttemptAnswer.prototype.awaitHead;
    private readonly next = HttpAttemptAnswer.prototype.next;

    constructor() {
        const { send, awaitHead, next } = this;
        const checkSending = () => throwIf(this.isSendingFailing);
        const checkReading = () => throwIf(this.isReadingFailing);
        HttpRelayClient.prototype.send = function(...parameters) {
            checkSending();
            return send.apply(this, parameters);
        };
        HttpAttemptAnswer.prototype.awaitHead = async function() {
            const head = await awaitHead.apply(this);
            checkReading();
            return head;
        };
        HttpAttemptAnswer.prototype.next = async function() {
            const chunk = await next.apply(this);
            checkReading();
            return chunk;
        };
    }

    /** Lets every further call fail before it is sent. */
    failSending(): void {
        this.isSendingFailing = true;
    }

    /** Lets every further part of an answer fail when it is read. */
    failReading(): void {
        this.isReadingFailing = true;
    }

    /** Ends the faults. */
    restore(): void {
        HttpRelayClient.prototype.send = this.send;
        HttpAttemptAnswer.prototype.awaitHead = this.awaitHead;
        HttpAttemptAnswer.prototype.next = this.next;
    }
}

function throwIf(isFailing: boolean): void {
    if (isFailing) {
        throw new NodeFault("fault of the test");
    }
}
