/**
 * Cost of calls in tokens, estimated for each operation and workspace.
 *
 * @module
 */

import type { AcceptedCall } from "../../protocol/mod.js";

/** Tokens that an engine can prefill in the time it takes to generate one token, with many sequences running. */
export const DECODE_TOKEN_WEIGHT = 10;

/** Weight of a new observation in the moving averages. */
const SMOOTHING_FACTOR = 0.1;

/** Output tokens assumed before the first observation. */
const DEFAULT_OUTPUT_TOKENS = 128;

/** Maximum number of averages by operation and workspace; the least recently updated one is evicted first. */
const MAX_AVERAGES = 8_000;

/** Estimated cost of one call. */
export interface CallCost {
    /** Tokens of the prompt and of the answer received so far. */
    readonly prefillTokens: number;
    /** Tokens of the answer still expected. */
    readonly outputTokens: number;
    /** Total cost in prefill tokens; 1 for plain services. */
    readonly tokens: number;
}

/** Estimates the length of answers as a moving average of earlier ones. */
export class CostModel {
    private readonly byWorkspace = new Map<string, number>();
    private readonly byOperation = new Map<string, number>();

    /**
     * Returns the estimated cost of a call.
     *
     * @param call Call to dispatch.
     * @param receivedTokens Tokens of the answer received so far.
     */
    estimate(call: AcceptedCall, receivedTokens: number): CallCost {
        if (call.promptTokens === 0) {
            return { prefillTokens: 0, outputTokens: 0, tokens: 1 };
        }
        const operation = call.operation.name;
        const average = this.byWorkspace.get(keyOf(call)) ?? this.byOperation.get(operation) ?? DEFAULT_OUTPUT_TOKENS;
        const outputTokens = Math.max(1, Math.min(average, call.maxOutputTokens) - receivedTokens);
        const prefillTokens = call.promptTokens + receivedTokens;
        return { prefillTokens, outputTokens, tokens: prefillTokens + DECODE_TOKEN_WEIGHT * outputTokens };
    }

    /** Updates the averages from a complete answer. */
    observe(call: AcceptedCall, outputTokens: number): void {
        const key = keyOf(call);
        const operation = call.operation.name;
        const current = this.byWorkspace.get(key) ?? this.byOperation.get(operation) ?? outputTokens;
        this.byWorkspace.delete(key);
        this.byWorkspace.set(key, current + SMOOTHING_FACTOR * (outputTokens - current));
        if (this.byWorkspace.size > MAX_AVERAGES) {
            const [oldest] = this.byWorkspace.keys();
            this.byWorkspace.delete(oldest);
        }
        const operationAverage = this.byOperation.get(operation) ?? outputTokens;
        this.byOperation.set(operation, operationAverage + SMOOTHING_FACTOR * (outputTokens - operationAverage));
    }
}

function keyOf(call: AcceptedCall): string {
    return `${call.operation.name} ${call.workspace.name}`;
}
