/**
 * One admitted call, its wait for a slot and its attempts.
 *
 * @module
 */

import {
    type AnswerHead,
    AnswerPlace,
    type AttemptAnswer,
    AttemptEnd,
    AttemptError,
    AttemptFault,
    type DetourClient,
    type DetourPeer,
    type EndAttempt,
    type RelayClient,
} from "../../protocol/relay/mod.js";
import { type Clock, type Homes, type RandomSource, type RelayServer, Semantics } from "../../state/relay/mod.js";
import type { RetryBudget } from "../retry_budget.js";
import { discardRest } from "./answer_reader.js";
import type { CallFingerprint } from "./call_fingerprint.js";
import type { CallQuarantine } from "./call_quarantine.js";
import type { CallRecorder } from "./call_record.js";
import { type CallTrait, traitsOf } from "./call_traits.js";
import { DetourAttempt, DetourOutcome } from "./detour_attempt.js";
import { toDetourCall } from "./detour_call.js";
import { DetourHedge, type FailedDetour, type StartedDetour } from "./detour_hedge.js";
import type { DetourPeers } from "./detour_peers.js";
import { EventStreamSplitter } from "./event_stream_splitter.js";
import { type AdmittedCall, CallState, DEADLINE_EXCEEDED, FinalAnswer, MISDIRECTED_STATUS } from "./final_answer.js";
import { ServerAnswer } from "./server_answer.js";
import { AttemptOutcome, type ServerCallObserver } from "./server_call_observer.js";
import { homesOf } from "./server_filter.js";
import type { ServerReach } from "./server_reach.js";
import type { ServerStatements } from "./server_statements.js";
import type { ServiceScheduler } from "./service_scheduler.js";
import { NoSlotError, NoSlotReason, type SlotReservation } from "./slot_reservation.js";
import { expectedDurationMs, type StopDeadline } from "./stop_deadline.js";
import { decideWaitLimits } from "./wait_limits.js";

/** Attempts after refusals by servers, in addition to the attempts that may run the call. */
const MAX_REFUSALS = 2;

/** Attempts after unreachable servers; these received nothing, so the retry budget is not charged. */
const MAX_CONNECT_FAILURES = 6;

/** Servers that a call could not connect to from which it takes a detour although other calls still reach some server. */
const MAX_CONNECT_FAILURES_BEFORE_DETOUR = 2;

/** Peers to which a call is handed one after the other. */
const MAX_DETOURS = 3;

/** Time for which a server gets no calls after another one answered at its address, in milliseconds; its entry is removed within it. */
const MISDIRECTED_SUSPENSION_MS = 10_000;

/** Time for which a server gets no calls after a failed connection attempt, in milliseconds. */
const UNREACHABLE_SUSPENSION_MS = 1_000;

/** Time for which a server gets no calls after it refused one because it is full, in milliseconds. */
const FULL_SUSPENSION_MS = 50;

/** Assumed tokens per event, used to estimate an answer's events from its tokens. */
const TOKENS_PER_EVENT = 5;

/**
 * Time after which a caller may retry a call that no server may get, if too little of its own time is left for a retry, in milliseconds;
 * an order that ends is applied within a few seconds.
 */
const EXCLUDED_RETRY_AFTER_MS = 1_000;

/** Shortest remaining time for which another attempt is made, in milliseconds. */
const MIN_ATTEMPT_MS = 100;

/** Reason with which the attempt at a silent server ends once a peer answers the call. */
const TAKEN_OVER = new Error("a peer answers the call of the silent server");

/** Reason with which a call is aborted when this node stops before it could be answered. */
const NODE_STOPS = new Error("the node stops");

/** Settings of a {@linkcode RelayedCall}. */
export interface RelayedCallSettings {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly recorder: CallRecorder;
    readonly client: RelayClient;
    readonly scheduler: (service: string) => ServiceScheduler;
    readonly retryBudget: (service: string) => RetryBudget;
    readonly observer: ServerCallObserver;
    readonly quarantine: CallQuarantine;
    readonly statements: ServerStatements;
    readonly reach: ServerReach;
    readonly detourPeers: DetourPeers;
    readonly detourClient: DetourClient;
    readonly fingerprint: CallFingerprint;
    readonly stopDeadline: StopDeadline;
    /** Returns whether a call with these homes may still be sent to a server. */
    readonly mayReceive?: (server: RelayServer, homes: Homes | undefined) => boolean;
}

/** Serves one admitted call with one or more attempts. */
export class RelayedCall {
    private readonly abortController = new AbortController();
    private readonly excludedServers = new Set<string>();
    private readonly excludedPeers = new Set<string>();
    private readonly state: CallState;
    private readonly finalAnswer: FinalAnswer;
    private readonly splitter = new EventStreamSplitter();
    /** Regions to which the call is confined; `undefined` if to none. */
    private readonly homes: Homes | undefined;
    private fingerprint = 0;
    private traits: readonly CallTrait[] = [];
    private attempts = 0;
    private refusals = 0;
    private connectFailures = 0;
    private lastServerReached = true;
    /** Time from the call's arrival until it may be passed on, in milliseconds. */
    private heldMs = 0;
    /** Attempt by way of peers beside the one at a silent server. */
    private hedge: DetourHedge | undefined;
    /** Whether the next attempt has been taken from the retry budget. */
    private isRetryCharged = false;

    /**
     * @param settings See {@linkcode RelayedCallSettings}.
     * @param admitted Call to serve.
     */
    constructor(private readonly settings: RelayedCallSettings, private readonly admitted: AdmittedCall) {
        this.homes = homesOf(admitted.route, admitted.workspace);
        this.state = new CallState(admitted.answer.execution);
        this.finalAnswer = new FinalAnswer(settings, admitted, this.state);
    }

    /**
     * Serves the call until its answer is written or its caller disconnects. An error inside the node ends the call with an answer that
     * states whether it may have run.
     *
     * @returns Whether a backend server may have run it.
     */
    async run(): Promise<boolean> {
        const { call } = this.admitted;
        const finished = new AbortController();
        void this.abortAt(call.arrivedAtMs + this.limitMs, finished.signal);
        const endStopWatch = this.settings.stopDeadline.watch(() => this.endForStop());
        const onCallerGone = () => this.abortController.abort(call.callerGone.reason);
        call.callerGone.addEventListener("abort", onCallerGone, { once: true });
        if (call.callerGone.aborted) {
            onCallerGone();
        }
        // The write of an event to a caller that does not read ends only with its connection.
        this.abortController.signal.addEventListener("abort", () => this.finalAnswer.abortStarted(), { once: true });
        try {
            this.fingerprint = this.settings.fingerprint.compute(call, this.admitted.workspace?.name);
            this.traits = traitsOf(call.head.parts, this.fingerprint);
            const { turn } = this.admitted.answer;
            if (turn !== undefined) {
                await turn.wait(this.abortController.signal);
                this.heldMs = this.elapsedMs();
            }
            if (!this.admitted.isDetour) {
                this.settings.retryBudget(this.admitted.service).recordFirstAttempt();
            }
            await this.runAttempts();
        }
        catch (error) {
            this.settings.recorder.logError(call.head.id, error);
            this.finalAnswer.failInside();
        }
        finally {
            this.hedge?.end();
            finished.abort();
            endStopWatch();
            call.callerGone.removeEventListener("abort", onCallerGone);
        }
        return this.state.mayHaveRun;
    }

    /** Time from the call's arrival until it gets its final answer, in milliseconds. */
    private get limitMs(): number {
        return Math.min(this.admitted.route.timeoutMs, this.admitted.deadlineMs);
    }

    /** Aborts the call at a time in milliseconds since the Unix epoch unless it finishes before. */
    private async abortAt(endMs: number, finished: AbortSignal): Promise<void> {
        if (await this.settings.clock.sleep(Math.max(0, endMs - this.settings.clock.now()), finished)) {
            this.state.isTimedOut = true;
            this.abortController.abort(DEADLINE_EXCEEDED);
        }
    }

    private async runAttempts(): Promise<void> {
        for (;;) {
            if (this.rejectQuarantined()) {
                return;
            }
            if (!this.maySend()) {
                this.finalAnswer.fail();
                return;
            }
            if (this.isOutOfReach()) {
                if (this.mayDecline()) {
                    this.finalAnswer.decline(`This node reaches no server of service ${this.admitted.service}.`);
                    return;
                }
                const peer = this.choosePeer();
                if (peer !== undefined) {
                    if (await this.runDetour(peer)) {
                        return;
                    }
                    continue;
                }
            }
            let slot: SlotReservation;
            try {
                slot = await this.awaitSlot();
            }
            catch (error) {
                if (!(error instanceof NoSlotError)) {
                    throw error;
                }
                if (error.reason === NoSlotReason.OutOfReach) {
                    continue;
                }
                this.handleNoSlot(error);
                return;
            }
            try {
                if (await this.useSlot(slot) || await this.runHedge()) {
                    return;
                }
            }
            finally {
                slot.release(AttemptOutcome.Neutral);
            }
            if (!this.canRetry()) {
                this.finalAnswer.fail();
                return;
            }
        }
    }

    /** @returns Whether the call's final answer was written. */
    private async useSlot(slot: SlotReservation): Promise<boolean> {
        if (this.rejectQuarantined()) {
            return true;
        }
        if (!this.maySend(slot)) {
            slot.release(AttemptOutcome.Neutral);
            this.finalAnswer.fail();
            return true;
        }
        return await this.runAttempt(slot);
    }

    /** @returns Whether the call was rejected because one of its traits crashes servers. */
    private rejectQuarantined(): boolean {
        const quarantined = this.settings.quarantine.findQuarantined(this.traits);
        if (quarantined !== undefined) {
            this.finalAnswer.rejectQuarantined(quarantined);
        }
        return quarantined !== undefined;
    }

    /** @returns Whether this node reaches no server of the service, as far as it knows. */
    private isOutOfReach(): boolean {
        const hasFailed = this.connectFailures >= MAX_CONNECT_FAILURES_BEFORE_DETOUR && !this.state.mayHaveRun;
        return hasFailed || this.settings.reach.isLost(this.admitted.service);
    }

    /** @returns Whether the call may go back to the peer that handed it to this node, because it has not run. */
    private mayDecline(): boolean {
        return this.admitted.isDetour && !this.state.mayHaveRun;
    }

    private choosePeer(): DetourPeer | undefined {
        if (this.admitted.isDetour || this.excludedPeers.size >= MAX_DETOURS) {
            return undefined;
        }
        return this.settings.detourPeers.choose(this.admitted.service, this.excludedPeers, this.homes);
    }

    /** @returns Whether the call is over: its caller has an answer, or it may not be sent again. */
    private async runDetour(peer: DetourPeer): Promise<boolean> {
        if (await this.relayDetour(this.startDetour(peer, this.abortController.signal, () => this.maySend()))) {
            return true;
        }
        if (!this.canRetry()) {
            this.finalAnswer.fail();
            return true;
        }
        return false;
    }

    private startDetour(peer: DetourPeer, signal: AbortSignal, maySend: () => boolean): StartedDetour {
        const { clock, detourClient, detourPeers } = this.settings;
        const { call, route } = this.admitted;
        this.excludedPeers.add(peer.node);
        this.state.times.sentMs ??= this.elapsedMs();
        // One attempt is kept for another peer, in case this one ends.
        const maxAttempts = Math.max(1, route.maxAttempts - this.attempts - 1);
        const message = toDetourCall(this.admitted, {
            nowMs: clock.now(),
            maxAttempts,
            lastEventId: this.splitter.lastEventId ?? call.head.lastEventId,
        });
        const { execution } = this.admitted.answer;
        const attempt = execution.attempt(peer.node, () => detourClient.send(peer, message, signal, maySend));
        detourPeers.recordStart(peer);
        return { peer, maxAttempts, ...attempt };
    }

    /** @returns Whether the caller has an answer. */
    private async relayDetour(detour: StartedDetour): Promise<boolean> {
        const { peer, answer, endAttempt } = detour;
        let outcome: DetourOutcome;
        try {
            outcome = await new DetourAttempt({
                admitted: this.admitted,
                state: this.state,
                finalAnswer: this.finalAnswer,
                splitter: this.splitter,
                peer,
                answer,
                endAttempt,
                onFirstEvent: () => {
                    this.state.times.firstMs ??= this.elapsedMs();
                },
            }).run();
        }
        finally {
            this.settings.detourPeers.recordEnd(peer);
        }
        if (outcome === DetourOutcome.Answered) {
            this.state.detours.push({ peer: peer.node, outcome });
            return true;
        }
        this.lastServerReached = outcome !== DetourOutcome.NotTaken;
        this.recordFailedDetour({ ...detour, outcome, reason: this.state.lastFailureReason });
        return false;
    }

    private recordFailedDetour({ peer, maxAttempts, outcome, reason }: FailedDetour): void {
        const { detourPeers, recorder } = this.settings;
        this.state.detours.push({ peer: peer.node, outcome });
        if (outcome !== DetourOutcome.Cancelled) {
            detourPeers.recordFailure(peer);
        }
        this.attempts += outcome === DetourOutcome.NotTaken ? 0 : maxAttempts;
        recorder.logEvent(this.admitted.call.head.id, "detour failed", {
            peer: peer.node,
            reason,
            elapsedMs: Math.round(this.elapsedMs()),
        });
    }

    private awaitSlot(): Promise<SlotReservation> {
        const { call, route, workspace, service, deadlineMs } = this.admitted;
        const { head } = call;
        const waitStartMs = this.state.mayHaveRun ? this.elapsedMs() : this.heldMs;
        return this.settings.scheduler(service).reserveSlot({
            id: head.id,
            route,
            workspaceRank: workspace?.rank ?? 0,
            workspace: workspace?.name,
            arrivedAtMs: call.arrivedAtMs,
            deadlineAtMs: call.arrivedAtMs + deadlineMs,
            waitLimits: decideWaitLimits(route, {
                arrivedAtMs: call.arrivedAtMs + waitStartMs,
                deadlineMs: deadlineMs - waitStartMs,
                // The time for which the call was held is no sign of a retry.
                firstAttemptDeadlineMs: this.admitted.firstAttemptDeadlineMs - this.heldMs,
            }),
            promptTokens: head.size?.prompt ?? 0,
            expectedEvents: this.expectedEvents,
            promptPartId: head.parts.at(-1)?.id,
            excludedServers: this.excludedServers,
            homes: this.homes,
            mayLeave: () => this.mayDecline() || this.choosePeer() !== undefined,
            signal: this.abortController.signal,
            isTooLateForStop: () => !this.fitsBeforeStop(),
        });
    }

    /** Expected number of events of the answer; 0 if the caller states none. */
    private get expectedEvents(): number {
        const { outputEstimate, size } = this.admitted.call.head;
        return (outputEstimate ?? size?.maxOutput ?? 0) / TOKENS_PER_EVENT;
    }

    /** @returns Whether a stop of this node leaves the call time at a server; by default, at the fastest one of the service. */
    private fitsBeforeStop(slot?: SlotReservation): boolean {
        const { scheduler, stopDeadline } = this.settings;
        if (!stopDeadline.isStopping) {
            return true;
        }
        const { call, route, service } = this.admitted;
        const { head } = call;
        const extent = { isStream: route.isStream, expectedEvents: this.expectedEvents, objectiveMs: route.objectiveMs };
        const speeds = slot === undefined ? scheduler(service).speeds(head.id, head.size?.prompt ?? 0, this.homes) : [slot.speed];
        const durations = speeds.map(speed => expectedDurationMs(speed, extent));
        return stopDeadline.mayPassOn(durations.length === 0 ? route.objectiveMs : Math.min(...durations));
    }

    /** @returns Whether the call may be sent now; otherwise it is over. */
    private maySend(slot?: SlotReservation): boolean {
        if (!this.isOver() && !this.fitsBeforeStop(slot)) {
            this.endForStop();
        }
        return !this.abortController.signal.aborted;
    }

    /** @returns Whether an order or the call's homes have excluded a server since its slot was reserved. */
    private isExcluded({ server }: SlotReservation): boolean {
        return this.settings.mayReceive?.(server, this.homes) === false;
    }

    /** As {@linkcode maySend}, but a peer that was asked for the answer meanwhile goes on. */
    private maySendBesideHedge(slot: SlotReservation): boolean {
        const hasHedge = this.hedge !== undefined && !this.hedge.isOver;
        return hasHedge ? !this.isOver() && this.fitsBeforeStop(slot) : this.maySend(slot);
    }

    private endForStop(): void {
        this.state.isTooLateForStop = true;
        this.abortController.abort(NODE_STOPS);
    }

    /** @returns Whether the call's final answer was written. */
    private async runAttempt(slot: SlotReservation): Promise<boolean> {
        const { call, workspace } = this.admitted;
        const serverId = slot.server.id;
        this.lastServerReached = true;
        this.state.placements.push({ ...slot.placementRecord, waitedMs: Math.round(this.elapsedMs()) });
        this.state.times.sentMs ??= this.elapsedMs();
        this.attempts += 1;
        const sentAtMs = this.settings.clock.now();
        const abandoned = new AbortController();
        const onCallAborted = () => abandoned.abort(this.abortController.signal.reason);
        this.abortController.signal.addEventListener("abort", onCallAborted, { once: true });
        if (this.abortController.signal.aborted) {
            onCallAborted();
        }
        let endWatch: (() => void) | undefined;
        let answer: AttemptAnswer | undefined;
        let serverAnswer: ServerAnswer | undefined;
        let endAttempt: EndAttempt = () => undefined;
        let outcome = AttemptOutcome.Neutral;
        try {
            this.settings.observer.recordSent(slot.state);
            this.settings.quarantine.recordSent(this.traits);
            endWatch = this.settings.reach.watch(this.admitted.service, {
                state: slot.state,
                onLost: () => this.startHedge(abandoned),
            });
            const attempt = {
                serverId,
                workspace: workspace?.name,
                deadlineMs: Math.max(1, Math.floor(this.admitted.deadlineMs - this.elapsedMs())),
                maySend: () => !this.isExcluded(slot) && this.maySendBesideHedge(slot),
                lastEventId: this.splitter.lastEventId ?? call.head.lastEventId,
            };
            const send = () => this.settings.client.send(slot.server, call, attempt, abandoned.signal);
            ({ answer, endAttempt } = this.admitted.answer.execution.attempt(serverId, send));
            const head = await answer.awaitHead();
            const isRefused = isRefusal(head);
            if (isRefused) {
                endAttempt(AttemptEnd.Refused);
            }
            slot.state.recordHead();
            this.settings.statements.recordAnswer(slot.server, head, sentAtMs);
            if (isRefused) {
                this.handleRefusal(slot, head, answer);
                await discardRest(answer, this.settings.clock);
                return false;
            }
            serverAnswer = new ServerAnswer({
                clock: this.settings.clock,
                quarantine: this.settings.quarantine,
                admitted: this.admitted,
                state: this.state,
                finalAnswer: this.finalAnswer,
                splitter: this.splitter,
                traits: this.traits,
                slot,
                sentAtMs,
                answer,
                isTakenOver: () => this.hedge?.isTakenOver === true,
                onProgress: () => this.hedge?.cancel(),
                onFailed: reason => this.recordFailedAttempt(slot, reason, answer),
            });
            outcome = await serverAnswer.relay(head);
            return outcome === AttemptOutcome.Good;
        }
        catch (error) {
            if (!(error instanceof AttemptError)) {
                throw error;
            }
            if (error.isUnsent) {
                endAttempt(AttemptEnd.Unsent);
            }
            if (error.fault === AttemptFault.Unwritable) {
                throw error;
            }
            outcome = this.handleError(slot, error, { events: serverAnswer?.events ?? 0, answer });
            return false;
        }
        finally {
            endWatch?.();
            this.abortController.signal.removeEventListener("abort", onCallAborted);
            if (outcome !== AttemptOutcome.Good) {
                answer?.recordUnused();
            }
            answer?.cancel();
            slot.release(outcome);
            this.settings.observer.recordEnd(slot.state, outcome);
        }
    }

    /** Asks peers for the answer of a call at a silent server, whose attempt goes on until one of them has it. */
    private startHedge(attempt: AbortController): void {
        if (this.hedge !== undefined && !this.hedge.isOver) {
            return;
        }
        this.hedge = new DetourHedge({
            isStream: this.admitted.route.isStream,
            startDetour: signal => this.startRepetition(signal),
            onTakenOver: () => attempt.abort(TAKEN_OVER),
            onFailed: detour => this.handleFailedRepetition(detour),
            onError: error =>
                this.settings.recorder.logEvent(this.admitted.call.head.id, "detour failed", { reason: String(error) }),
            signal: this.abortController.signal,
        });
    }

    /** Hands a call that is under way at a server to a peer, if it may be repeated. */
    private startRepetition(signal: AbortSignal): StartedDetour | undefined {
        const mayRepeat = this.hasTimeLeft() && this.settings.quarantine.mayRepeat(this.traits);
        const peer = mayRepeat ? this.choosePeer() : undefined;
        if (peer === undefined || !this.isRetryCharged && !this.tryRepeat()) {
            return undefined;
        }
        this.isRetryCharged = true;
        return this.startDetour(peer, signal, () => !this.isOver() && this.fitsBeforeStop());
    }

    private handleFailedRepetition(detour: FailedDetour): void {
        if (detour.outcome !== DetourOutcome.NotTaken) {
            this.isRetryCharged = false;
            this.state.lastFailedAnswer = detour.failedAnswer ?? this.state.lastFailedAnswer;
        }
        this.settings.detourPeers.recordEnd(detour.peer);
        this.recordFailedDetour(detour);
    }

    /** @returns Whether the caller has an answer of a peer that was asked while the server was silent. */
    private async runHedge(): Promise<boolean> {
        const detour = await this.hedge?.result;
        this.hedge = undefined;
        if (detour === undefined) {
            return false;
        }
        this.isRetryCharged = false;
        return await this.relayDetour(detour);
    }

    private handleRefusal(slot: SlotReservation, head: AnswerHead, answer: AttemptAnswer): void {
        this.refusals += 1;
        if (head.status === MISDIRECTED_STATUS) {
            slot.state.suspend(MISDIRECTED_SUSPENSION_MS);
        }
        else {
            slot.state.suspend(FULL_SUSPENSION_MS);
        }
        this.attempts -= 1;
        this.state.retryAtMs = this.settings.scheduler(this.admitted.service).firstRestEndMs;
        this.recordFailedAttempt(slot, `server ${slot.server.id} refused with status ${head.status}`, answer);
    }

    private handleError(
        slot: SlotReservation,
        error: AttemptError,
        { events, answer }: { readonly events: number; readonly answer: AttemptAnswer | undefined },
    ): AttemptOutcome {
        this.recordFailedAttempt(slot, error.message, answer);
        if (error.fault === AttemptFault.NotRun) {
            this.attempts -= 1;
            this.connectFailures += 1;
            this.lastServerReached = false;
            if (this.abortController.signal.aborted || this.isExcluded(slot)) {
                return AttemptOutcome.Neutral;
            }
            slot.state.suspendUnreachable(UNREACHABLE_SUSPENSION_MS);
            return AttemptOutcome.Broken;
        }
        if (error.fault === AttemptFault.Cancelled) {
            return AttemptOutcome.Neutral;
        }
        if (error.fault === AttemptFault.TooLarge) {
            return AttemptOutcome.Bad;
        }
        slot.state.recordBroken();
        if (slot.state.isBrittle) {
            // A brittle server falls over because of the calls that it turned away.
            return AttemptOutcome.Neutral;
        }
        this.settings.quarantine.recordBroken(this.traits, slot.server, events);
        return AttemptOutcome.Broken;
    }

    /** Excludes a server from further attempts, and records and logs why its attempt failed. */
    private recordFailedAttempt(slot: SlotReservation, reason: string, answer: AttemptAnswer | undefined): void {
        this.excludedServers.add(slot.server.id);
        this.state.lastFailureReason = reason;
        this.settings.recorder.logEvent(this.admitted.call.head.id, "attempt failed", {
            server: slot.server.id,
            reason,
            content: this.fingerprint,
            connection: answer?.connection,
            elapsedMs: Math.round(this.elapsedMs()),
        });
    }

    /** Whether the call may run again after it may have run. */
    private get isRepeatable(): boolean {
        const { route } = this.admitted;
        return route.isStream ? route.isResumable : route.semantics === Semantics.Repeatable;
    }

    /** Takes a repetition of a call that may have run from the retry budget, if the call may be repeated. */
    private tryRepeat(): boolean {
        const { route, service } = this.admitted;
        return this.isRepeatable && this.attempts < route.maxAttempts && this.settings.retryBudget(service).tryRetry();
    }

    /**
     * Whether the call's time is over, so that nothing may be sent any more. A busy event loop runs the timer of {@linkcode abortAt}
     * after other callbacks.
     */
    private isOver(): boolean {
        if (!this.abortController.signal.aborted && this.elapsedMs() >= this.limitMs) {
            this.state.isTimedOut = true;
            this.abortController.abort(DEADLINE_EXCEEDED);
        }
        return this.abortController.signal.aborted;
    }

    private hasTimeLeft(): boolean {
        if (!this.fitsBeforeStop()) {
            this.state.isTooLateForStop = true;
            return false;
        }
        return !this.abortController.signal.aborted && this.admitted.deadlineMs - this.elapsedMs() >= MIN_ATTEMPT_MS;
    }

    private canRetry(): boolean {
        if (this.state.mayHaveRun && !this.settings.quarantine.mayRepeat(this.traits) || !this.hasTimeLeft()) {
            return false;
        }
        if (this.isRetryCharged) {
            this.isRetryCharged = false;
            return true;
        }
        if (!this.lastServerReached) {
            return this.connectFailures <= MAX_CONNECT_FAILURES;
        }
        if (!this.state.mayHaveRun) {
            return this.refusals <= MAX_REFUSALS && this.settings.retryBudget(this.admitted.service).tryRetry();
        }
        return this.tryRepeat();
    }

    /** Answers a call that got no slot. */
    private handleNoSlot(error: NoSlotError): void {
        this.state.isTooLateForStop ||= error.reason === NoSlotReason.Stopping;
        if (this.state.isTooLateForStop || error.reason === NoSlotReason.Ended || this.state.mayHaveRun) {
            this.finalAnswer.fail();
            return;
        }
        const { head } = this.admitted.call;
        this.settings.recorder.logEvent(head.id, "got no place", {
            ...this.settings.scheduler(this.admitted.service).describeLoad(head.id, this.homes),
            elapsedMs: Math.round(this.elapsedMs()),
        });
        this.state.retryAtMs = error.retryAtMs;
        switch (error.reason) {
            case NoSlotReason.Emptied:
                this.finalAnswer.refuse(
                    AnswerPlace.EmptiedDomain,
                    "The backend servers for the call are in failure domains that are kept empty; it has not run.",
                    EXCLUDED_RETRY_AFTER_MS,
                );
                return;
            case NoSlotReason.Homes:
                this.finalAnswer.refuse(
                    AnswerPlace.Homes,
                    "No backend server is in a region to which the call is confined; it has not run.",
                    EXCLUDED_RETRY_AFTER_MS,
                );
                return;
            case NoSlotReason.ShareSpent:
                this.finalAnswer.refuse(
                    AnswerPlace.NoSlot,
                    "The workspace is above its share and no backend server is free for it in time; the call has not run.",
                );
                return;
            default:
                this.finalAnswer.refuse(AnswerPlace.NoSlot, "No backend server is free in time; the call has not run.");
        }
    }

    private elapsedMs(): number {
        return this.settings.clock.now() - this.admitted.call.arrivedAtMs;
    }
}

/** @returns Whether the backend server reports that the call has not run and will not. */
function isRefusal(head: AnswerHead): boolean {
    return head.isNotExecuted || head.status === MISDIRECTED_STATUS;
}
