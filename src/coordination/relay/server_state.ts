/**
 * Measured speed and health of one backend server.
 *
 * @module
 */

import type { Clock, RelayServer, ServerProfile } from "../../state/relay/mod.js";

/** Cost of a call that does not depend on its prompt, in prompt tokens: the engine's scheduling and its first step. */
const FIXED_COST_TOKENS = 3_700;

/** Weight of the newest value in the exponential moving averages. */
const SMOOTHING_FACTOR = 0.15;

/** Shortest time without a byte from a server with calls in flight after which no new call is sent there, in milliseconds. */
const MIN_RESPONSE_TIMEOUT_MS = 700;

/** Multiple of the expected prefill time after which a server counts as unresponsive. */
const RESPONSE_TIMEOUT_FACTOR = 4;

/** Time between trial calls to an unresponsive or failing server, in milliseconds. */
const TRIAL_INTERVAL_MS = 1_000;

/** Most recent outcomes that are kept. */
const MAX_OUTCOMES = 16;

/** Fewest outcomes from which a failure rate is computed. */
const MIN_OUTCOMES = 5;

/** Age up to which an outcome counts towards the failure rate, in milliseconds. */
const OUTCOME_WINDOW_MS = 4_000;

/** Outcome of an attempt at a server. */
export enum AttemptOutcome {
    Good = "good",
    /** The server failed, closed the connection or hung, or its answer was invalid. */
    Bad = "bad",
    /** The attempt says nothing about the server's health: the caller disconnected, or the server refused the call. */
    Neutral = "neutral",
}

/** Call in flight at a server. */
export interface InFlightCall {
    readonly promptTokens: number;
    readonly sentAtMs: number;
    /** Prompt tokens of this node without a first event when the call was sent, including the call's own. */
    readonly pendingTokensAtSend: number;
    hasFirstEvent: boolean;
    lastEventAtMs: number;
    /** Time to the first event relative to a typical server of the service; 0 until the first event. */
    slowdown: number;
}

/** Outcome of an attempt and when it ended. */
interface DatedOutcome {
    readonly atMs: number;
    readonly isBad: boolean;
}

/** Measures the speed of one server and tracks its health. */
export class ServerState {
    /** Prompt tokens of this node's calls that have no first event yet. */
    pendingPromptTokens = 0;
    private readonly calls = new Set<InFlightCall>();
    private outcomes: DatedOutcome[] = [];
    private lastByteAtMs = 0;
    private lastTrialAtMs = 0;
    private suspendedUntilMs = 0;

    /**
     * @param server Registration of the server.
     * @param profile Average speeds of the service's servers, used until this server's own are measured; shared by all of them.
     * @param clock Time source of the measurements.
     * @param countPeerCalls Returns the calls that other nodes have in flight at the server.
     */
    constructor(
        public server: RelayServer,
        private readonly profile: ServerProfile,
        private readonly clock: Clock,
        private readonly countPeerCalls: () => number,
    ) {
        this.msPerPromptToken = profile.msPerPromptToken;
        this.msPerEvent = profile.msPerEvent;
    }

    /** Prefill time per prompt token, in milliseconds. */
    msPerPromptToken: number;
    /** Time between events of a stream, in milliseconds. */
    msPerEvent: number;

    /** Expected duration of a call, in milliseconds: that at a typical server, scaled by the time between events. */
    get callMs(): number {
        return this.profile.callMs * this.msPerEvent / this.profile.msPerEvent;
    }

    /** Calls of this node in flight. */
    get ownCalls(): number {
        return this.calls.size;
    }

    /** Calls of all nodes in flight, as far as this node knows. */
    get allCalls(): number {
        return this.calls.size + this.countPeerCalls();
    }

    /** Returns the expected time from sending a call to its first event, in milliseconds. */
    expectedFirstEventMs(promptTokens: number): number {
        return (FIXED_COST_TOKENS + this.pendingPromptTokens + promptTokens) * this.msPerPromptToken;
    }

    /** Records that a call was sent. */
    startCall(promptTokens: number): InFlightCall {
        const now = this.clock.now();
        this.pendingPromptTokens += promptTokens;
        const call = {
            promptTokens,
            sentAtMs: now,
            pendingTokensAtSend: this.pendingPromptTokens,
            hasFirstEvent: false,
            lastEventAtMs: now,
            slowdown: 0,
        };
        this.calls.add(call);
        return call;
    }

    /** Records the first event of a stream, or a complete answer that is not a stream. */
    recordFirstEvent(call: InFlightCall): void {
        const now = this.clock.now();
        this.lastByteAtMs = now;
        if (call.hasFirstEvent) {
            return;
        }
        call.hasFirstEvent = true;
        call.lastEventAtMs = now;
        this.pendingPromptTokens -= call.promptTokens;
        const measured = (now - call.sentAtMs) / (FIXED_COST_TOKENS + call.pendingTokensAtSend);
        this.msPerPromptToken += (measured - this.msPerPromptToken) * SMOOTHING_FACTOR;
        call.slowdown = measured / this.profile.msPerPromptToken;
        this.profile.observePromptTokenTime(measured);
    }

    /** Records further events of a stream. */
    recordEvents(call: InFlightCall, count: number): void {
        const now = this.clock.now();
        this.lastByteAtMs = now;
        if (count > 0) {
            const measured = (now - call.lastEventAtMs) / count;
            this.msPerEvent += (measured - this.msPerEvent) * SMOOTHING_FACTOR / 4;
            this.profile.observeEventInterval(measured);
            call.lastEventAtMs = now;
        }
    }

    /** Records the end of a call. */
    finishCall(call: InFlightCall, outcome: AttemptOutcome): void {
        if (!this.calls.delete(call)) {
            return;
        }
        if (!call.hasFirstEvent) {
            this.pendingPromptTokens -= call.promptTokens;
        }
        if (outcome === AttemptOutcome.Good) {
            this.profile.observeCallTime(this.clock.now() - call.sentAtMs);
        }
        if (outcome !== AttemptOutcome.Neutral) {
            this.outcomes.push({ atMs: this.clock.now(), isBad: outcome === AttemptOutcome.Bad });
            if (this.outcomes.length > MAX_OUTCOMES) {
                this.outcomes.shift();
            }
        }
    }

    /**
     * Suspends the server for new calls, such as when another server answered at its address.
     *
     * @param durationMs Duration of the suspension, in milliseconds; a longer one in force is kept.
     */
    suspend(durationMs: number): void {
        this.suspendedUntilMs = Math.max(this.suspendedUntilMs, this.clock.now() + durationMs);
    }

    /** Fraction of recent calls that failed, from 0 to 1; 0 while there are too few outcomes. */
    get failureRate(): number {
        const windowStartMs = this.clock.now() - OUTCOME_WINDOW_MS;
        let count = 0;
        let bad = 0;
        for (const outcome of this.outcomes) {
            if (outcome.atMs >= windowStartMs) {
                count += 1;
                bad += outcome.isBad ? 1 : 0;
            }
        }
        return count < MIN_OUTCOMES ? 0 : bad / count;
    }

    /** Whether the server is suspended by {@linkcode suspend}. */
    get isSuspended(): boolean {
        return this.clock.now() < this.suspendedUntilMs;
    }

    /** Whether the server has calls in flight and has sent nothing for longer than its response timeout. */
    get isUnresponsive(): boolean {
        const now = this.clock.now();
        for (const call of this.calls) {
            const timeoutMs = Math.max(
                MIN_RESPONSE_TIMEOUT_MS,
                RESPONSE_TIMEOUT_FACTOR * call.pendingTokensAtSend * this.msPerPromptToken,
            );
            if (now - Math.max(call.sentAtMs, call.lastEventAtMs, this.lastByteAtMs) > timeoutMs) {
                return true;
            }
        }
        return false;
    }

    /** Whether a trial call to an unhealthy server is due. */
    get isTrialDue(): boolean {
        return this.clock.now() - this.lastTrialAtMs >= TRIAL_INTERVAL_MS;
    }

    /** Records that a trial call is sent. */
    recordTrial(): void {
        this.lastTrialAtMs = this.clock.now();
    }
}
