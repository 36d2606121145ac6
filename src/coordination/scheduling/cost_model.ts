/**
 * Cost of calls in tokens, learned for each operation and workspace.
 *
 * @module
 */

import type { AcceptedCall } from "../../protocol/mod.js";

/** Tokens that are prefilled in the time of generating one token, with many sequences running. */
export const DECODE_TOKEN_WEIGHT = 10;

/** Weight of a new observation in the average. */
const SMOOTHING_FACTOR = 0.1;

/** Answer tokens expected before the first observation. */
const DEFAULT_OUTPUT_TOKENS = 128;

/** Averages kept for operations with their workspaces; the one used longest ago is forgotten first. */
const MAX_AVERAGES = 8_000;

/** Cost of one call. */
export interface CallCost {
    /** Tokens of the prompt, and of the answer already held. */
    readonly prefillTokens: number;
    /** Tokens of the answer still expected. */
    readonly outputTokens: number;
    /** Whole cost in prefilled tokens; 1 for plain services. */
    readonly tokens: number;
}

/** Expects the length of answers by the lengths of earlier ones. */
export class CostModel {
    private readonly byWorkspace = new Map<string, number>();
    private readonly byOperation = new Map<string, number>();

    /**
     * Returns the expected cost of a call.
     *
     * @param call Call to be dispatched.
     * @param heldTokens Tokens of the answer already held.
     */
    estimate(call: AcceptedCall, heldTokens: number): CallCost {
        if (call.promptTokens === 0) {
            return { prefillTokens: 0, outputTokens: 0, tokens: 1 };
        }
        const operation = call.operation.name;
        const average = this.byWorkspace.get(keyOf(call)) ?? this.byOperation.get(operation) ?? DEFAULT_OUTPUT_TOKENS;
        const outputTokens = Math.max(1, Math.min(average, call.maxOutputTokens) - heldTokens);
        const prefillTokens = call.promptTokens + heldTokens;
        return { prefillTokens, outputTokens, tokens: prefillTokens + DECODE_TOKEN_WEIGHT * outputTokens };
    }

    /** Learns from a whole answer. */
    observe(call: AcceptedCall, outputTokens: number): void {
        const key = keyOf(call);
        const operation = call.operation.name;
        const known = this.byWorkspace.get(key) ?? this.byOperation.get(operation) ?? outputTokens;
        this.byWorkspace.delete(key);
        this.byWorkspace.set(key, known + SMOOTHING_FACTOR * (outputTokens - known));
        if (this.byWorkspace.size > MAX_AVERAGES) {
            const [oldest] = this.byWorkspace.keys();
            this.byWorkspace.delete(oldest);
        }
        const common = this.byOperation.get(operation) ?? outputTokens;
        this.byOperation.set(operation, common + SMOOTHING_FACTOR * (outputTokens - common));
    }
}

function keyOf(call: AcceptedCall): string {
    return `${call.operation.name} ${call.workspace.name}`;
}
