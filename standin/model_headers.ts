/**
 * Headers of the calls in the model, which carry only the id.
 *
 * @module
 */

import { type AnswerHead, type CallHead, type HeaderList, RelayHeaders } from "../src/protocol/relay/mod.js";

/** Name of the header with a call's id. */
export const ID_HEADER = "call-id";

/** Finds the parsed head of a call by its id. */
export class ModelHeaders extends RelayHeaders {
    private readonly heads = new Map<string, CallHead>();

    /** Remembers the head of a call. */
    register(head: CallHead): void {
        this.heads.set(head.id, head);
    }

    override readCall(headers: HeaderList): CallHead | string {
        const id = headers[headers.indexOf(ID_HEADER) + 1] ?? "";
        return this.heads.get(id) ?? `Call ${id} is unknown.`;
    }

    override readDeadline(): number | undefined {
        return undefined;
    }

    override writeAttempt(): string[] {
        throw new Error("Cannot write headers: the model sends none");
    }

    override readAnswer(): AnswerHead {
        throw new Error("Cannot read headers: the model sends none");
    }
}
