/**
 * Refusal of a call that is shed.
 *
 * @module
 */

import { Refusal, RefusalType } from "../../protocol/mod.js";
import type { ShedReason } from "./scheduling_observer.js";

/** Refusal of a call that was shed before any part of it was dispatched by this assignment. */
export class ShedRefusal extends Refusal {
    /**
     * @param reason Reason for which the call was shed.
     * @param detail Message for the caller.
     * @param retryAfterMs Time after which the caller may retry, in milliseconds.
     */
    constructor(readonly reason: ShedReason, detail: string, retryAfterMs: number) {
        super(RefusalType.Overloaded, detail, { retryAfterMs });
    }
}
