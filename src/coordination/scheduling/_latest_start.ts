/**
 * Latest time of a dispatch that can keep a call's promise.
 *
 * @module
 */

import type { AcceptedCall } from "../../protocol/mod.js";
import type { PrefixHolder } from "../../state/mod.js";
import type { AssignSettings } from "../scheduler.js";
import type { CallCost } from "./cost_model.js";
import type { ServerWindow } from "./server_window.js";

/** What the latest start depends on besides the call. */
export interface StartConditions {
    readonly assignSettings: AssignSettings;
    readonly cost: CallCost;
    /** Backend servers that hold the beginning of the prompt, the longest first. */
    readonly prefixHolders: readonly PrefixHolder[];
    readonly windows: Iterable<ServerWindow>;
}

/**
 * Returns the latest time at which the fastest backend server could still keep the promise.
 *
 * @param call Call to be dispatched.
 * @param conditions See {@linkcode StartConditions}.
 */
export function computeLatestStartMs(call: AcceptedCall, conditions: StartConditions): number {
    const { assignSettings: assign, cost, prefixHolders: holders, windows } = conditions;
    const uncachedTokens = Math.max(1, cost.prefillTokens - (holders[0]?.tokens ?? 0));
    let firstMs = Infinity;
    let wholeMs = Infinity;
    for (const { latency: speed } of windows) {
        const speedFirstMs = speed.firstTokenMs(uncachedTokens);
        firstMs = Math.min(firstMs, speedFirstMs);
        wholeMs = Math.min(wholeMs, speedFirstMs + cost.outputTokens * speed.interTokenMs);
    }
    const { firstTokenMs } = call.operation.promise;
    const promisesFirst = firstTokenMs !== undefined && (assign.heldTokens ?? 0) === 0;
    const firstBy = promisesFirst ? call.acceptedAtMs + firstTokenMs - firstMs : Infinity;
    return Math.min(firstBy, call.deadlineMs - wholeMs);
}
