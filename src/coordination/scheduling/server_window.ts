/**
 * Window of outstanding work at one backend server.
 *
 * @module
 */

import type { BackendServer } from "../../state/mod.js";
import { Ejection } from "./_ejection.js";
import { ServerLatencyModel } from "./_server_latency_model.js";
import { type CallCost, DECODE_TOKEN_WEIGHT } from "./cost_model.js";

/**
 * Delay beyond the expected time to the first token above which the window shrinks, in milliseconds: one eighth of a first-token
 * objective of 720 ms.
 */
const MAX_FIRST_TOKEN_DELAY_MS = 90;

/** Multiplicative decrease of the window. */
const SHRINK_FACTOR = 0.8;

/** Minimum time between two decreases, in milliseconds; calls sent before a decrease may still return late. */
const SHRINK_INTERVAL_MS = 300;

/** Additive increase per full window of calls without delay, in multiples of the minimum window. */
const GROWTH_UNITS = 2;

/** Initial window, in multiples of the minimum window. */
const INITIAL_WINDOW_UNITS = 8;

/** Maximum window, in multiples of the minimum window. */
const MAX_WINDOW_UNITS = 256;

/** Minimum window of a model engine, in tokens. */
const MIN_ENGINE_WINDOW_TOKENS = 1_000;

/** Minimum window of a plain service, in calls. */
const MIN_SERVICE_WINDOW_CALLS = 8;

/** Fixed cost of a running sequence of any length, in tokens; it occupies a slot in the engine's batch. */
const SEQUENCE_OVERHEAD_TOKENS = 200;

/** Margin beyond the expected time to the first token after which a backend server counts as stalled, in milliseconds. */
const STALL_MARGIN_MS = 300;

/** Weight of a new inter-token time in the moving average of its call. */
const CALL_INTER_TOKEN_SMOOTHING_FACTOR = 0.3;

/** Share of the window that each lower rank leaves to the ranks above. */
const RESERVE_PER_RANK = 0.3;

/** Maximum share of the window reserved for higher ranks. */
const MAX_RESERVE = 0.8;

/** Remaining work of one call at a backend server, updated with each token. */
export class OutstandingCall {
    /** Prompt tokens still to prefill; 0 from the first token on. */
    prefillTokens: number;
    /** Tokens of the answer still expected. */
    outputTokens: number;
    lastEventMs: number;
    readonly uncachedTokens: number;
    /** Prefill tokens of this node's calls pending at the backend server when this call was dispatched. */
    prefillAheadTokens = 0;
    started = false;
    /** Time from the dispatch to the first token, in milliseconds; 0 before it. */
    timeToFirstTokenMs = 0;
    /** Time from the dispatch to the first token, as estimated at the dispatch, in milliseconds. */
    expectedTimeToFirstTokenMs = 0;
    /** Moving average of the call's inter-token times, in milliseconds. */
    interTokenMs = 0;

    /**
     * @param cost Estimated cost.
     * @param cachedTokens Tokens of the prompt expected in the backend server's cache.
     * @param sentAtMs Time of the dispatch.
     */
    constructor(readonly cost: CallCost, readonly cachedTokens: number, readonly sentAtMs: number) {
        this.prefillTokens = Math.max(0, cost.prefillTokens - cachedTokens);
        this.uncachedTokens = this.prefillTokens;
        this.outputTokens = cost.outputTokens;
        this.lastEventMs = sentAtMs;
    }

    /** Whether the call is for a plain service. */
    get isService(): boolean {
        return this.cost.prefillTokens === 0;
    }
}

/**
 * Limits the work that this node has outstanding at one backend server.
 *
 * The limit follows additive increase and multiplicative decrease; see Chiu and Jain, "Analysis of the Increase and Decrease
 * Algorithms" (1989). The congestion signal is the delay of the first token beyond the time expected of an idle backend server.
 * All nodes that share a backend server observe this delay, so their windows converge without messages between them.
 */
export class ServerWindow {
    /** Outstanding work, in tokens. */
    outstandingTokens = 0;
    /** Outstanding tokens that have not been prefilled. */
    pendingPrefillTokens = 0;
    /** Outstanding work of peers by their latest reports, in tokens. */
    peerTokens = 0;
    /** Number of outstanding calls. */
    calls = 0;
    /** Index in the list of available backend servers; -1 when not listed. */
    availableIndex = -1;
    readonly latency = new ServerLatencyModel();
    readonly ejection = new Ejection();
    private readonly unitTokens: number;
    private limitTokens: number;
    private lastEventMs = 0;
    private shrunkAtMs = 0;

    /**
     * @param server Backend server.
     * @param isService Whether it is a plain service, whose calls cost one token each.
     */
    constructor(readonly server: BackendServer, private readonly isService: boolean) {
        this.unitTokens = isService ? MIN_SERVICE_WINDOW_CALLS : MIN_ENGINE_WINDOW_TOKENS;
        this.limitTokens = INITIAL_WINDOW_UNITS * this.unitTokens;
    }

    /** Current limit, in tokens. */
    get limit(): number {
        return this.limitTokens;
    }

    /** Whether the window has room for a call of the highest tier. */
    get hasRoom(): boolean {
        return this.calls === 0 || this.outstandingTokens < this.limitTokens;
    }

    /** Whether a call of a rank may be sent; a stalled or ejected backend server gets no new calls. */
    accepts(rank: number, nowMs: number): boolean {
        if (!this.server.acceptsRequests || this.ejection.isEjected(nowMs) || this.isStalled(nowMs)) {
            return false;
        }
        const reserve = Math.min(MAX_RESERVE, RESERVE_PER_RANK * rank);
        return this.calls === 0 || this.outstandingTokens < this.limitTokens * (1 - reserve);
    }

    /** Whether no outstanding call has made progress for too long; plain services show none before their answer. */
    isStalled(nowMs: number): boolean {
        return !this.isService && this.calls > 0 && nowMs - this.lastEventMs > this.stallTimeoutMs();
    }

    /** Whether a call progresses so slowly that it should be sent to another backend server. */
    isStraggler(call: OutstandingCall, deadlineMs: number, nowMs: number): boolean {
        if (call.started) {
            return nowMs + call.outputTokens * call.interTokenMs > deadlineMs;
        }
        return this.isStalled(nowMs) || nowMs - call.sentAtMs > 2 * call.expectedTimeToFirstTokenMs + STALL_MARGIN_MS;
    }

    /** Returns the expected time to the first token of a call sent at the given time, in milliseconds. */
    expectedFirstTokenMs(uncachedTokens: number, nowMs: number): number {
        return this.latency.firstTokenMs(this.pendingPrefillTokens + uncachedTokens) + this.latency.queueingDelayMs(nowMs);
    }

    /** Adds a call that was dispatched. */
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

    /** Records a token of a call. */
    recordToken(call: OutstandingCall, nowMs: number): void {
        this.lastEventMs = nowMs;
        this.outstandingTokens -= remainingTokens(call);
        if (!call.started) {
            this.recordFirstToken(call, nowMs);
        }
        else {
            const interTokenMs = nowMs - call.lastEventMs;
            this.latency.observeInterTokenTime(interTokenMs);
            call.interTokenMs += CALL_INTER_TOKEN_SMOOTHING_FACTOR * (interTokenMs - call.interTokenMs);
        }
        call.lastEventMs = nowMs;
        call.outputTokens = Math.max(1, call.outputTokens - 1);
        this.outstandingTokens += remainingTokens(call);
    }

    /** Updates the latency model from a complete answer, which reports how much of the prompt was cached. */
    recordEnd(call: OutstandingCall, cachedTokens: number): void {
        this.latency.observeFirstToken(Math.max(1, call.cost.prefillTokens - cachedTokens), call.timeToFirstTokenMs);
    }

    /** Removes a call that has ended. */
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

    /** Resets the limit to the minimum window, after an ejection. */
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
        const increased = this.limitTokens + GROWTH_UNITS * this.unitTokens * Math.min(1, tokens / this.limitTokens);
        this.limitTokens = Math.min(MAX_WINDOW_UNITS * this.unitTokens, increased);
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
