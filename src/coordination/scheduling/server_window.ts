/**
 * Window of outstanding work at one backend server.
 *
 * @module
 */

import type { BackendServer } from "../../state/mod.js";
import { Ejection } from "./_ejection.js";
import { ServerLatencyModel } from "./_server_latency_model.js";
import { type CallCost, DECODE_TOKEN_WEIGHT } from "./cost_model.js";

/** Delay beyond the expected first token at which the window shrinks, in milliseconds: an eighth of 720 ms. */
const MAX_FIRST_TOKEN_DELAY_MS = 90;

/** Factor by which the window shrinks. */
const SHRINK_FACTOR = 0.8;

/** Shortest time between two shrinkings, in milliseconds: calls sent before the first still come in late. */
const SHRINK_INTERVAL_MS = 300;

/** Growth of the window for each window's worth of calls in time, in smallest windows. */
const GROWTH_UNITS = 2;

/** First window, in smallest windows. */
const INITIAL_WINDOW_UNITS = 8;

/** Largest window, in smallest windows. */
const MAX_WINDOW_UNITS = 256;

/** Smallest window of a model engine, in tokens. */
const MIN_ENGINE_WINDOW_TOKENS = 1_000;

/** Smallest window of a plain service, in calls. */
const MIN_SERVICE_WINDOW_CALLS = 8;

/** Cost of a running sequence whatever its length, in tokens: a place in the engine's batch. */
const SEQUENCE_OVERHEAD_TOKENS = 200;

/** Silence beyond the expected next first token after which a backend server with calls gets no new work, in milliseconds. */
const STALL_MARGIN_MS = 300;

/** Weight of a new time between tokens in the mean of its call. */
const CALL_INTER_TOKEN_SMOOTHING_FACTOR = 0.3;

/** Part of the window that each lower tier leaves free for the tiers above. */
const RESERVE_PER_RANK = 0.3;

/** Largest part of the window left free for tiers above. */
const MAX_RESERVE = 0.8;

/** Work of one call at a backend server, shrinking as its tokens come. */
export class OutstandingCall {
    /** Prompt tokens not cached, until the first token. */
    prefillTokens: number;
    /** Tokens of the answer still expected. */
    outputTokens: number;
    lastEventMs: number;
    readonly uncachedTokens: number;
    /** Tokens of this node's other calls that were to be prefilled before. */
    prefillAheadTokens = 0;
    started = false;
    /** Time from the dispatch to the first token, in milliseconds; 0 before it. */
    timeToFirstTokenMs = 0;
    /** Time from the dispatch to the first token as expected at the dispatch, in milliseconds. */
    expectedTimeToFirstTokenMs = 0;
    /** Mean of the call's latest times between tokens, in milliseconds. */
    interTokenMs = 0;

    /**
     * @param cost Expected cost.
     * @param cachedTokens Tokens of the prompt expected in the backend server's cache.
     * @param sentAtMs Time of the dispatch.
     */
    constructor(readonly cost: CallCost, readonly cachedTokens: number, readonly sentAtMs: number) {
        this.prefillTokens = Math.max(0, cost.prefillTokens - cachedTokens);
        this.uncachedTokens = this.prefillTokens;
        this.outputTokens = cost.outputTokens;
        this.lastEventMs = sentAtMs;
    }

    /** Whether the call is one of a plain service. */
    get isService(): boolean {
        return this.cost.prefillTokens === 0;
    }
}

/**
 * Bounds the work that this node has outstanding at one backend server.
 *
 * Additive increase and multiplicative decrease, after Chiu and Jain, "Analysis of the Increase and Decrease Algorithms" (1989),
 * on the delay of the first token beyond the one expected of an idle backend server. Nodes that share a backend server all see
 * the delay, so that their windows converge without a message.
 */
export class ServerWindow {
    /** Work outstanding, in tokens. */
    outstandingTokens = 0;
    /** Tokens outstanding that have not been prefilled. */
    pendingPrefillTokens = 0;
    /** Work that peers had outstanding by their last word, in tokens. */
    peerTokens = 0;
    /** Calls outstanding. */
    calls = 0;
    /** Place in the list of backend servers with room; -1 when there is none. */
    availableIndex = -1;
    readonly latency = new ServerLatencyModel();
    readonly ejection = new Ejection();
    private readonly unitTokens: number;
    private limitTokens: number;
    private lastEventMs = 0;
    private shrunkAtMs = 0;

    /**
     * @param server Backend server.
     * @param isService Whether it is a plain service, whose calls cost 1 each.
     */
    constructor(readonly server: BackendServer, private readonly isService: boolean) {
        this.unitTokens = isService ? MIN_SERVICE_WINDOW_CALLS : MIN_ENGINE_WINDOW_TOKENS;
        this.limitTokens = INITIAL_WINDOW_UNITS * this.unitTokens;
    }

    /** Window, in tokens. */
    get limit(): number {
        return this.limitTokens;
    }

    /** Whether there is room for the highest tier. */
    get hasRoom(): boolean {
        return this.calls === 0 || this.outstandingTokens < this.limitTokens;
    }

    /** Whether a call of a rank may be sent now. */
    accepts(rank: number, nowMs: number): boolean {
        if (!this.server.takesWork || this.ejection.isEjected(nowMs) || this.isStalled(nowMs)) {
            return false;
        }
        const reserve = Math.min(MAX_RESERVE, RESERVE_PER_RANK * rank);
        return this.calls === 0 || this.outstandingTokens < this.limitTokens * (1 - reserve);
    }

    /** Whether calls run and none has shown life for too long; plain services show none before their answer. */
    isStalled(nowMs: number): boolean {
        return !this.isService && this.calls > 0 && nowMs - this.lastEventMs > this.stallTimeoutMs();
    }

    /** Whether a call gets on so slowly that it had better be sent elsewhere. */
    isStraggler(call: OutstandingCall, deadlineMs: number, nowMs: number): boolean {
        if (call.started) {
            return nowMs + call.outputTokens * call.interTokenMs > deadlineMs;
        }
        return this.isStalled(nowMs) || nowMs - call.sentAtMs > 2 * call.expectedTimeToFirstTokenMs + STALL_MARGIN_MS;
    }

    /** Returns the expected time to the first token of a call that is sent now, in milliseconds. */
    expectedFirstTokenMs(uncachedTokens: number, nowMs: number): number {
        return this.latency.firstTokenMs(this.pendingPrefillTokens + uncachedTokens) + this.latency.queueingDelayMs(nowMs);
    }

    /** Counts a call that is sent. */
    add(call: OutstandingCall): void {
        if (this.calls === 0) {
            this.lastEventMs = call.sentAtMs;
        }
        this.calls += 1;
        this.server.outstanding += 1;
        call.prefillAheadTokens = this.pendingPrefillTokens;
        call.expectedTimeToFirstTokenMs = this.expectedFirstTokenMs(call.uncachedTokens, call.sentAtMs);
        this.pendingPrefillTokens += call.prefillTokens;
        this.outstandingTokens += remainingTokens(call);
    }

    /** Counts a token of a call. */
    recordToken(call: OutstandingCall, nowMs: number): void {
        this.lastEventMs = nowMs;
        this.outstandingTokens -= remainingTokens(call);
        if (!call.started) {
            this.recordFirstToken(call, nowMs);
        }
        else {
            const gapMs = nowMs - call.lastEventMs;
            this.latency.observeInterTokenTime(gapMs);
            call.interTokenMs += CALL_INTER_TOKEN_SMOOTHING_FACTOR * (gapMs - call.interTokenMs);
        }
        call.lastEventMs = nowMs;
        call.outputTokens = Math.max(1, call.outputTokens - 1);
        this.outstandingTokens += remainingTokens(call);
    }

    /** Learns from a whole answer how many tokens its first token had to wait for. */
    recordEnd(call: OutstandingCall, cachedTokens: number): void {
        this.latency.observeFirstToken(Math.max(1, call.cost.prefillTokens - cachedTokens), call.timeToFirstTokenMs);
    }

    /** Takes back a call that has ended. */
    remove(call: OutstandingCall, completed: boolean, nowMs: number): void {
        this.outstandingTokens -= remainingTokens(call);
        if (!call.started && completed) {
            this.recordFirstToken(call, nowMs);
        }
        this.pendingPrefillTokens -= call.prefillTokens;
        this.calls -= 1;
        this.server.outstanding -= 1;
        if (completed) {
            this.lastEventMs = nowMs;
        }
    }

    /** Returns to the smallest window, as after an ejection. */
    reset(): void {
        this.limitTokens = this.unitTokens;
    }

    private recordFirstToken(call: OutstandingCall, nowMs: number): void {
        const elapsedMs = nowMs - call.sentAtMs;
        const delayMs = elapsedMs - this.latency.firstTokenMs(call.uncachedTokens);
        this.latency.observeQueueingDelay(
            elapsedMs - this.latency.firstTokenMs(call.prefillAheadTokens + call.uncachedTokens),
            nowMs,
        );
        call.timeToFirstTokenMs = elapsedMs;
        if (this.isService) {
            this.latency.observeFirstToken(0, elapsedMs);
        }
        call.started = true;
        this.pendingPrefillTokens -= call.prefillTokens;
        call.prefillTokens = 0;
        if (delayMs > MAX_FIRST_TOKEN_DELAY_MS) {
            this.shrink(nowMs);
        }
        else if (this.outstandingTokens * 2 >= this.limitTokens) {
            this.grow(call.cost.tokens);
        }
    }

    private grow(tokens: number): void {
        const grown = this.limitTokens + GROWTH_UNITS * this.unitTokens * Math.min(1, tokens / this.limitTokens);
        this.limitTokens = Math.min(MAX_WINDOW_UNITS * this.unitTokens, grown);
    }

    private shrink(nowMs: number): void {
        if (nowMs - this.shrunkAtMs < SHRINK_INTERVAL_MS) {
            return;
        }
        this.shrunkAtMs = nowMs;
        this.limitTokens = Math.max(this.unitTokens, this.limitTokens * SHRINK_FACTOR);
    }

    private stallTimeoutMs(): number {
        return STALL_MARGIN_MS + this.latency.firstTokenMs(this.pendingPrefillTokens);
    }
}

function remainingTokens(call: OutstandingCall): number {
    if (call.isService) {
        return 1;
    }
    return SEQUENCE_OVERHEAD_TOKENS + call.prefillTokens + DECODE_TOKEN_WEIGHT * call.outputTokens;
}
