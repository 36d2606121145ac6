/**
 * Measured speed and health of one backend server.
 *
 * @module
 */

import type { Clock, RelayServer, ServerProfile } from "../../state/relay/mod.js";
import type { CallAllowance } from "../allotment/mod.js";
import { AttemptOutcome, type ServerCallObserver } from "./server_call_observer.js";
import type { ServerStatements } from "./server_statements.js";

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

/** Events after the first from which the time between the events of a stream is observed. */
const INTERVAL_SAMPLE_EVENTS = 4;

/** Time without the first event, or the next one, after which the time waited so far is observed, in milliseconds. */
const OVERDUE_MS = 1_500;

/** Call in flight at a server. */
export interface InFlightCall {
    readonly promptTokens: number;
    readonly sentAtMs: number;
    /** Prompt tokens of this node without a first event when the call was sent, including the call's own. */
    readonly pendingTokensAtSend: number;
    hasFirstEvent: boolean;
    firstEventAtMs: number;
    lastEventAtMs: number;
    /** Events after those that arrived together with the first. */
    laterEvents: number;
    /** Whether the observer knows the time to the first event, and the time between events. */
    isFirstEventObserved: boolean;
    isIntervalObserved: boolean;
}

/** Outcome of an attempt and when it ended. */
interface DatedOutcome {
    readonly atMs: number;
    readonly isBad: boolean;
}

/** Optional dependencies of a {@linkcode ServerState}. */
export interface ServerStateDependencies {
    /** Receives the latencies of calls as they become known, except while the server is warming up. */
    readonly observer?: ServerCallObserver | undefined;
    /** What servers state about themselves. */
    readonly statements?: ServerStatements | undefined;
}

/** Measures the speed of one server and tracks its health. */
export class ServerState {
    /** Prompt tokens of this node's calls that have no first event yet. */
    pendingPromptTokens = 0;
    private readonly calls = new Set<InFlightCall>();
    private outcomes: DatedOutcome[] = [];
    private lastReceivedAtMs = 0;
    private lastTrialAtMs = 0;
    private suspendedUntilMs = 0;
    private unreachableUntilMs = 0;
    private warmAtMs: number;

    /**
     * @param server Registration of the server.
     * @param profile Average speeds of the service's servers, used until this server's own are measured; shared by all of them.
     * @param clock Time source of the measurements.
     * @param countPeerCalls Returns the calls that other nodes have in flight at the server.
     * @param dependencies See {@linkcode ServerStateDependencies}.
     */
    constructor(
        public server: RelayServer,
        private readonly profile: ServerProfile,
        private readonly clock: Clock,
        private readonly countPeerCalls: () => number,
        private readonly dependencies: ServerStateDependencies = {},
    ) {
        this.warmAtMs = clock.now() + (server.warmUpMs ?? 0);
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

    /** As {@linkcode callMs}; `undefined` before a call of the service was measured. */
    get measuredCallMs(): number | undefined {
        return this.profile.isCallMeasured ? this.callMs : undefined;
    }

    /** Replaces the registration by a newer one of the same incarnation. */
    update(server: RelayServer): void {
        this.server = server;
        this.warmAtMs = this.clock.now() + (server.warmUpMs ?? 0);
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
        this.dependencies.statements?.recordSent(this.server);
        this.pendingPromptTokens += promptTokens;
        const isWarm = now >= this.warmAtMs;
        const call = {
            promptTokens,
            sentAtMs: now,
            pendingTokensAtSend: this.pendingPromptTokens,
            hasFirstEvent: false,
            firstEventAtMs: now,
            lastEventAtMs: now,
            laterEvents: 0,
            isFirstEventObserved: !isWarm,
            isIntervalObserved: !isWarm,
        };
        this.calls.add(call);
        return call;
    }

    /** Time of the last byte from the server, in milliseconds since the Unix epoch; 0 before the first one. */
    get lastByteAtMs(): number {
        return this.lastReceivedAtMs;
    }

    /** Records that the head of an answer was received. */
    recordHead(): void {
        this.lastReceivedAtMs = this.clock.now();
    }

    /** Records the first event of a stream, or a complete answer that is not a stream. */
    recordFirstEvent(call: InFlightCall): void {
        const now = this.clock.now();
        this.lastReceivedAtMs = now;
        if (call.hasFirstEvent) {
            return;
        }
        call.hasFirstEvent = true;
        call.firstEventAtMs = now;
        call.lastEventAtMs = now;
        this.pendingPromptTokens -= call.promptTokens;
        this.observeFirstEvent(call);
        const measured = (now - call.sentAtMs) / (FIXED_COST_TOKENS + call.pendingTokensAtSend);
        this.msPerPromptToken += (measured - this.msPerPromptToken) * SMOOTHING_FACTOR;
        this.profile.observePromptTokenTime(measured);
    }

    /** Records further events of a stream. */
    recordEvents(call: InFlightCall, count: number): void {
        const now = this.clock.now();
        this.lastReceivedAtMs = now;
        if (count > 0) {
            const measured = (now - call.lastEventAtMs) / count;
            this.msPerEvent += (measured - this.msPerEvent) * SMOOTHING_FACTOR / 4;
            this.profile.observeEventInterval(measured);
            call.lastEventAtMs = now;
        }
        if (now > call.firstEventAtMs) {
            call.laterEvents += count;
        }
        if (call.laterEvents >= INTERVAL_SAMPLE_EVENTS) {
            this.observeInterval(call);
        }
    }

    /** Observes the calls in flight that wait for an event so long that the time so far says enough. */
    observeOverdueCalls(): void {
        const overdueFromMs = this.clock.now() - OVERDUE_MS;
        for (const call of this.calls) {
            if (call.lastEventAtMs > overdueFromMs) {
                continue;
            }
            if (call.hasFirstEvent) {
                this.observeInterval(call);
            }
            else {
                this.observeFirstEvent(call);
            }
        }
    }

    /** Observes the time to the first event, scaled to a call without a prompt at a server without others. */
    private observeFirstEvent(call: InFlightCall): void {
        if (!call.isFirstEventObserved) {
            call.isFirstEventObserved = true;
            const scale = FIXED_COST_TOKENS / (FIXED_COST_TOKENS + call.pendingTokensAtSend);
            this.dependencies.observer?.recordFirstEvent(this, (this.clock.now() - call.sentAtMs) * scale);
        }
    }

    private observeInterval(call: InFlightCall): void {
        if (!call.isIntervalObserved) {
            call.isIntervalObserved = true;
            const untilMs = call.laterEvents > 0 ? call.lastEventAtMs : this.clock.now();
            this.dependencies.observer?.recordInterval(this, (untilMs - call.firstEventAtMs) / Math.max(1, call.laterEvents));
        }
    }

    /** Records the end of a call. */
    finishCall(call: InFlightCall, outcome: AttemptOutcome): void {
        if (!this.calls.delete(call)) {
            return;
        }
        this.dependencies.statements?.recordEnd(this.server);
        if (!call.hasFirstEvent) {
            this.pendingPromptTokens -= call.promptTokens;
        }
        if (call.laterEvents > 0) {
            this.observeInterval(call);
        }
        if (outcome === AttemptOutcome.Good) {
            this.profile.observeCallTime(this.clock.now() - call.sentAtMs);
        }
        if (outcome !== AttemptOutcome.Neutral) {
            this.outcomes.push({ atMs: this.clock.now(), isBad: outcome !== AttemptOutcome.Good });
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

    /** Suspends the server because no connection to it could be established, for a time in milliseconds. */
    suspendUnreachable(durationMs: number): void {
        this.unreachableUntilMs = this.clock.now() + durationMs;
        this.dependencies.statements?.cold?.statements.recordBroken(this.server, true);
    }

    /** Records that the server closed the connection of a call, so that it may have restarted. */
    recordBroken(): void {
        this.dependencies.statements?.cold?.statements.recordBroken(this.server, false);
    }

    /** Records that this node reaches the servers of the service again. */
    resetReach(): void {
        this.unreachableUntilMs = 0;
        this.lastReceivedAtMs = this.clock.now();
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

    /** What the server's limits on the calls of all nodes leave; `undefined` if it has none. */
    get allowance(): CallAllowance | undefined {
        return this.dependencies.statements?.allowance(this.server);
    }

    /** Whether the server has no free slot, or what it states about itself allows this node no call now. */
    get isFull(): boolean {
        const { statements } = this.dependencies;
        const freeSlots = this.usableSlots - this.allCalls;
        return freeSlots <= 0 || statements !== undefined &&
                (!statements.mayReceive(this.server) || !statements.brittle.mayReceive(this.server, freeSlots));
    }

    /** Number of calls of all nodes that the server may have in flight. */
    get usableSlots(): number {
        return this.dependencies.statements?.brittle.usableSlots(this.server) ?? this.server.slots;
    }

    /** Whether the server falls over when it has to turn away too many calls. */
    get isBrittle(): boolean {
        return this.dependencies.statements?.brittle.isBrittle(this.server) === true;
    }

    /** Whether the server is suspended by {@linkcode suspend} or {@linkcode suspendUnreachable}, or has asked for rest. */
    get isSuspended(): boolean {
        return this.isUnreachable || this.clock.now() < this.suspendedUntilMs ||
            this.dependencies.statements?.isResting(this.server) === true;
    }

    /** End of the rest that the server asked this node for, in milliseconds since the Unix epoch; `undefined` without one. */
    get restEndMs(): number | undefined {
        return this.dependencies.statements?.restEndMs(this.server);
    }

    /** Whether the server has stated that it is leaving. */
    get isLeaving(): boolean {
        return this.dependencies.statements?.isLeaving(this.server) === true;
    }

    /** Whether no connection to the server could be established a short time ago. */
    get isUnreachable(): boolean {
        return this.clock.now() < this.unreachableUntilMs;
    }

    /** Whether the server has calls in flight and has sent nothing for longer than its response timeout. */
    get isUnresponsive(): boolean {
        const now = this.clock.now();
        for (const call of this.calls) {
            const timeoutMs = Math.max(
                MIN_RESPONSE_TIMEOUT_MS,
                RESPONSE_TIMEOUT_FACTOR * call.pendingTokensAtSend * this.msPerPromptToken,
            );
            if (now - Math.max(call.sentAtMs, call.lastEventAtMs, this.lastReceivedAtMs) > timeoutMs) {
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
