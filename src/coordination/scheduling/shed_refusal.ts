/**
 * Refusal of a call that is shed.
 *
 * @module
 */

import { Refusal, RefusalType } from "../../protocol/mod.js";
import type { ShedReason } from "./scheduling_observer.js";

/** Refusal with the reason for which the call was shed; nothing of the call has been dispatched. */
export class ShedRefusal extends Refusal {
    /**
     * @param reason Why the call was shed.
     * @param detail Sentence for the caller.
     * @param retryAfterMs Time after which the caller may ask again, in milliseconds.
     */
    constructor(readonly reason: ShedReason, detail: string, retryAfterMs: number) {
        super(RefusalType.Overloaded, detail, { retryAfterMs });
    }
}
