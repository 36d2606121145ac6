/**
 * What a node knows of one backend server beyond its registration.
 *
 * @module
 */

import type { Clock, RelayServer, ServerProfile } from "../../state/relay/mod.js";

/** Work of a call that does not grow with its prompt, in prompt tokens; scheduling and the first step of an engine. */
const FIXED_COST_TOKENS = 3_700;

/** Weight of the newest figure in the moving averages. */
const SMOOTHING_FACTOR = 0.15;

/** Time without any byte from a server that owes one, beyond which no new call is sent there, in milliseconds. */
const MIN_RESPONSE_TIMEOUT_MS = 700;

/** Expected times to the first event that a server may take before it counts as silent. */
const RESPONSE_TIMEOUT_FACTOR = 4;

/** Time between calls that try whether a silent or failing server works again, in milliseconds. */
const TRIAL_INTERVAL_MS = 1_000;

/** Outcomes that are remembered. */
const MAX_OUTCOMES = 16;

/** Outcomes needed before a server is judged by its failures. */
const MIN_OUTCOMES = 5;

/** Age beyond which an outcome counts no more, in milliseconds. */
const OUTCOME_WINDOW_MS = 4_000;

/** How a call at a server ended. */
export enum CallOutcome {
    Good = "good",
    /** The server failed, broke off, hung or spoiled the answer. */
    Bad = "bad",
    /** Nothing is learned: the caller left, or the server said that it was full. */
    Neutral = "neutral",
}

/** Call under way at a server. */
export interface InFlightCall {
    readonly promptTokens: number;
    readonly sentAtMs: number;
    /** Prompt tokens sent before and not read yet, with the call's own. */
    readonly pendingTokensAtSend: number;
    hasFirstEvent: boolean;
    lastEventAtMs: number;
    /** Time to the first event against that of a typical server of the service; 0 while there is none. */
    slowdown: number;
}

/** Outcome with its time. */
interface DatedOutcome {
    readonly atMs: number;
    readonly isBad: boolean;
}

/** Learns the speed of one server and watches whether it works. */
export class ServerState {
    /** Prompt tokens of own calls that have no first event yet. */
    pendingPromptTokens = 0;
    private readonly calls = new Set<InFlightCall>();
    private outcomes: DatedOutcome[] = [];
    private lastByteAtMs = 0;
    private lastTrialAtMs = 0;
    private suspendedUntilMs = 0;

    /**
     * @param server Registration.
     * @param profile Speeds that stand for a server until its own are known; learned by all servers of a service together.
     * @param clock Clock that dates calls.
     * @param countPeerCalls Returns the calls that other nodes have under way at the server.
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

    /** Time for which a server reads one prompt token, in milliseconds. */
    msPerPromptToken: number;
    /** Time between events of a stream, in milliseconds. */
    msPerEvent: number;

    /** Time that a call takes, in milliseconds: that at a typical server, by the time between events. */
    get callMs(): number {
        return this.profile.callMs * this.msPerEvent / this.profile.msPerEvent;
    }

    /** Own calls under way. */
    get ownCalls(): number {
        return this.calls.size;
    }

    /** Calls under way as far as is known. */
    get allCalls(): number {
        return this.calls.size + this.countPeerCalls();
    }

    /** Time from sending a call to its first event, in milliseconds. */
    expectedFirstEventMs(promptTokens: number): number {
        return (FIXED_COST_TOKENS + this.pendingPromptTokens + promptTokens) * this.msPerPromptToken;
    }

    /** Records that a call is sent. */
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

    /** Records the first event of a stream, or the whole answer of a plain call. */
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
        this.profile.learnPromptSpeed(measured);
    }

    /** Records further events of a stream. */
    recordEvents(call: InFlightCall, count: number): void {
        const now = this.clock.now();
        this.lastByteAtMs = now;
        if (count > 0) {
            const measured = (now - call.lastEventAtMs) / count;
            this.msPerEvent += (measured - this.msPerEvent) * SMOOTHING_FACTOR / 4;
            this.profile.learnEventTime(measured);
            call.lastEventAtMs = now;
        }
    }

    /** Records the end of a call. */
    finishCall(call: InFlightCall, outcome: CallOutcome): void {
        if (!this.calls.delete(call)) {
            return;
        }
        if (!call.hasFirstEvent) {
            this.pendingPromptTokens -= call.promptTokens;
        }
        if (outcome === CallOutcome.Good) {
            this.profile.learnCallTime(this.clock.now() - call.sentAtMs);
        }
        if (outcome !== CallOutcome.Neutral) {
            this.outcomes.push({ atMs: this.clock.now(), isBad: outcome === CallOutcome.Bad });
            if (this.outcomes.length > MAX_OUTCOMES) {
                this.outcomes.shift();
            }
        }
    }

    /** Keeps new calls away for a time, in milliseconds; such as from an address at which another server answered. */
    suspend(durationMs: number): void {
        this.suspendedUntilMs = Math.max(this.suspendedUntilMs, this.clock.now() + durationMs);
    }

    /** Share of recent calls that ended badly, from 0 to 1; 0 while there are few. */
    get failureRate(): number {
        const fromMs = this.clock.now() - OUTCOME_WINDOW_MS;
        let count = 0;
        let bad = 0;
        for (const outcome of this.outcomes) {
            if (outcome.atMs >= fromMs) {
                count += 1;
                bad += outcome.isBad ? 1 : 0;
            }
        }
        return count < MIN_OUTCOMES ? 0 : bad / count;
    }

    /** Whether new calls are kept away by {@linkcode suspend}. */
    get isSuspended(): boolean {
        return this.clock.now() < this.suspendedUntilMs;
    }

    /** Whether the server owes an answer and has sent nothing for long. */
    get isUnresponsive(): boolean {
        const now = this.clock.now();
        for (const call of this.calls) {
            const allowedMs = Math.max(
                MIN_RESPONSE_TIMEOUT_MS,
                RESPONSE_TIMEOUT_FACTOR * call.pendingTokensAtSend * this.msPerPromptToken,
            );
            if (now - Math.max(call.sentAtMs, call.lastEventAtMs, this.lastByteAtMs) > allowedMs) {
                return true;
            }
        }
        return false;
    }

    /** Whether a single call may now try out a server that does not work. */
    get isTrialDue(): boolean {
        return this.clock.now() - this.lastTrialAtMs >= TRIAL_INTERVAL_MS;
    }

    /** Records that a call tries the server out. */
    recordTrial(): void {
        this.lastTrialAtMs = this.clock.now();
    }
}
