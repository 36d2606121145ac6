/**
 * Latest dispatch time at which a call can still meet its latency objectives.
 *
 * @module
 */

import type { AcceptedCall } from "../../protocol/mod.js";
import type { PrefixHolder } from "../../state/mod.js";
import type { AssignSettings } from "../scheduler.js";
import type { CallCost } from "./cost_model.js";
import type { ServerWindow } from "./server_window.js";

/** Conditions that the latest start depends on besides the call. */
export interface StartConditions {
    readonly assignSettings: AssignSettings;
    readonly cost: CallCost;
    /** Backend servers that have a prefix of the prompt cached, the longest first. */
    readonly prefixHolders: readonly PrefixHolder[];
    readonly windows: Iterable<ServerWindow>;
}

/**
 * Returns the latest dispatch time at which the fastest backend server could still meet the latency objectives, in milliseconds
 * since the Unix epoch.
 *
 * @param call Call to be dispatched.
 * @param conditions See {@linkcode StartConditions}.
 */
export function computeLatestStartMs(call: AcceptedCall, conditions: StartConditions): number {
    const { assignSettings, cost, prefixHolders, windows } = conditions;
    const uncachedTokens = Math.max(1, cost.prefillTokens - (prefixHolders[0]?.tokens ?? 0));
    let minFirstTokenMs = Infinity;
    let minAnswerMs = Infinity;
    for (const { latency } of windows) {
        const serverFirstTokenMs = latency.firstTokenMs(uncachedTokens);
        minFirstTokenMs = Math.min(minFirstTokenMs, serverFirstTokenMs);
        minAnswerMs = Math.min(minAnswerMs, serverFirstTokenMs + cost.outputTokens * latency.interTokenMs);
    }
    const { firstTokenMs } = call.operation.promise;
    const hasFirstTokenObjective = firstTokenMs !== undefined && (assignSettings.receivedTokens ?? 0) === 0;
    const firstTokenStartMs = hasFirstTokenObjective ? call.acceptedAtMs + firstTokenMs - minFirstTokenMs : Infinity;
    return Math.min(firstTokenStartMs, call.deadlineMs - minAnswerMs);
}
