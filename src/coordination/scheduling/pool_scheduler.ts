/**
 * Scheduling of one pool on one node: queueing, admission control, dispatch and load shedding.
 *
 * @module
 */

import { type AcceptedCall, type EngineEnd, Refusal, RefusalType } from "../../protocol/mod.js";
import type { Clock, LoadView, PrefixIndex, RandomSource } from "../../state/mod.js";
import { type Assignment, type AssignSettings, DispatchResult } from "../scheduler.js";
import { AnyVersion, type VersionPolicy } from "../version_policy.js";
import { DrainRate } from "./_drain_rate.js";
import { expectedWaitMs, retryAfterMs } from "./_expected_wait.js";
import { computeLatestStartMs } from "./_latest_start.js";
import { OverloadDetector } from "./_overload_detector.js";
import { RunningCalls } from "./_running_calls.js";
import { type AssignmentListener, TrackedAssignment } from "./_tracked_assignment.js";
import { AdmissionClaims } from "./admission_claims.js";
import { CallQueue } from "./call_queue.js";
import type { CostModel } from "./cost_model.js";
import { type SchedulingObserver, SHED_REASON_TEXTS, ShedReason } from "./scheduling_observer.js";
import { type ServerChoice, ServerSubset } from "./server_subset.js";
import { OutstandingCall, type ServerWindow } from "./server_window.js";
import { ShedRefusal } from "./shed_refusal.js";
import { WaitingCall } from "./waiting_call.js";

/** Maximum number of calls that wait on one node for one pool. */
export const MAX_WAITING_CALLS = 10_000;

/** Maximum total size of the bodies that wait on one node for one pool, in bytes. */
export const MAX_WAITING_BYTES = 64 * 1_048_576;

/** Share of a call's slack above which its expected wait signals overload, which stops lower tiers when sustained. */
const CLAIM_WAIT_SHARE = 0.6;

/** Share of a call's slack above which its expected wait gets it shed at arrival. */
const SHED_WAIT_SHARE = 0.8;

/** Share of the limits on waiting calls and bytes above which lower tiers are stopped. */
const CLAIM_FILL_SHARE = 0.8;

/** Age from which a claim has expired for every rank and no longer counts as recurring, in milliseconds. */
const MAX_CLAIM_AGE_MS = 15_000;

/** Time after which a caller may retry when the pool has no available backend server, in milliseconds. */
const NO_SERVER_RETRY_AFTER_MS = 1_000;

/** Settings of a {@linkcode PoolScheduler}. */
export interface PoolSchedulerSettings {
    readonly pool: string;
    readonly isService: boolean;
    /** Id of this node. */
    readonly node: string;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly costs: CostModel;
    readonly prefixes: PrefixIndex;
    readonly load: LoadView;
    /** Selects the version of each call. Defaults to any version. */
    readonly versionPolicy?: VersionPolicy;
    readonly observer: SchedulingObserver;
    /** Returns the ranks that have operations on the pool, the highest first. */
    readonly ranks: () => readonly number[];
    /** Called when a claim of this node takes effect. */
    readonly onClaim: () => void;
}

/** Queues, dispatches and sheds the calls of one pool. */
export class PoolScheduler implements AssignmentListener {
    readonly queue = new CallQueue();
    readonly servers: ServerSubset;
    readonly claims: AdmissionClaims;
    private readonly drainRate: DrainRate;
    private readonly overloadDetector = new OverloadDetector();
    private readonly running = new RunningCalls();
    /** Time of the last dispatch of each rank, in milliseconds since the Unix epoch. */
    private readonly lastDispatchMsByRank: number[] = [];

    /** @param settings See {@linkcode PoolSchedulerSettings}. */
    constructor(private readonly settings: PoolSchedulerSettings) {
        const { clock, node, random, prefixes, load, isService, versionPolicy = new AnyVersion() } = settings;
        this.servers = new ServerSubset({ node, random, prefixes, load, isService, versionPolicy });
        this.claims = new AdmissionClaims(clock);
        this.drainRate = new DrainRate(clock.now());
    }

    /** Whether the pool consists of plain services. */
    get isService(): boolean {
        return this.settings.isService;
    }

    /** Waits until the call may be dispatched; rejects with a refusal when it is shed or withdrawn. */
    async assign(call: AcceptedCall, assignSettings: AssignSettings): Promise<Assignment> {
        if (
            !this.servers.hasServer(assignSettings.excludedServers) ||
            !this.servers.hasEligibleServer(call, assignSettings.excludedServers)
        ) {
            const detail = `Pool "${this.settings.pool}" has no backend server that takes work. Try again.`;
            throw new Refusal(RefusalType.NoBackendServer, detail, { retryAfterMs: NO_SERVER_RETRY_AFTER_MS });
        }
        const waiting = this.createWaitingCall(call, assignSettings);
        const onAbort = () => this.withdraw(waiting);
        assignSettings.signal.addEventListener("abort", onAbort, { once: true });
        this.enqueue(waiting);
        try {
            return await waiting.assigned;
        }
        finally {
            assignSettings.signal.removeEventListener("abort", onAbort);
        }
    }

    /** Performs the periodic work: updates estimates, applies claims, reports stragglers and dispatches waiting calls. */
    tick(): void {
        const nowMs = this.settings.clock.now();
        this.drainRate.measure(nowMs);
        this.claims.dropExpired(MAX_CLAIM_AGE_MS);
        this.servers.updateFastestPrefillRate();
        for (const window of this.servers.windows) {
            window.peerTokens = this.settings.load.peerTokens(window.server.vm.id);
        }
        this.applyClaims();
        this.running.notifyStragglers(nowMs);
        this.dispatchWaiting();
    }

    /** Sheds the waiting calls of ranks stopped by claims, the lowest rank first. */
    applyClaims(): void {
        for (;;) {
            const rank = this.queue.lowestRank();
            if (rank === undefined || !this.claims.isRankStopped(rank) || !this.areLowerRanksStopped(rank)) {
                return;
            }
            const waiting = this.queue.tier(rank).nextToShed() as WaitingCall;
            this.shed(waiting, ShedReason.HigherTier);
        }
    }

    onToken(assignment: TrackedAssignment, first: boolean): void {
        const { window, outstanding, call } = assignment;
        const wasAvailable = window.availableIndex >= 0;
        window.recordToken(outstanding, this.settings.clock.now());
        this.servers.updateAvailability(window);
        if (first) {
            this.settings.prefixes.store(window.server.vm.id, call.prefixBlocks ?? []);
        }
        if (this.queue.size > 0 && window.availableIndex >= 0 && (first || !wasAvailable)) {
            this.dispatchWaiting();
        }
    }

    onEnd({ call, window, outstanding }: TrackedAssignment, end: EngineEnd): void {
        this.settings.costs.observe(call, end.outputTokens);
        window.recordEnd(outstanding, end.cachedTokens);
        if (end.cachedTokens < outstanding.cachedTokens) {
            this.settings.observer.recordStalePrefix();
        }
        this.settings.prefixes.store(window.server.vm.id, call.prefixBlocks ?? []);
    }

    onRelease(assignment: TrackedAssignment, result: DispatchResult): void {
        const { window, outstanding } = assignment;
        this.running.delete(assignment);
        const nowMs = this.settings.clock.now();
        window.remove(outstanding, result === DispatchResult.Completed, nowMs);
        this.servers.updateAvailability(window);
        if (result === DispatchResult.Completed) {
            window.ejection.recordSuccess(nowMs);
        }
        else if (result === DispatchResult.Failed) {
            this.recordFailure(window, nowMs);
        }
        this.dispatchWaiting();
    }

    private enqueue(waiting: WaitingCall): void {
        this.queue.add(waiting);
        if (this.claims.isRankStopped(waiting.rank) && this.areLowerRanksStopped(waiting.rank)) {
            this.shed(waiting, ShedReason.HigherTier);
            return;
        }
        this.dispatchWaiting();
        if (waiting.isSettled) {
            return;
        }
        this.enforceQueueLimits();
        if (!waiting.isSettled && !waiting.isRetry) {
            this.checkExpectedWait(waiting);
        }
    }

    /** Signals overload, and sheds a call at its arrival, when its expected wait takes too much of its slack. */
    private checkExpectedWait(waiting: WaitingCall): void {
        const { rank } = waiting;
        const slackMs = waiting.latestStartMs - this.settings.clock.now();
        const waitMs = expectedWaitMs(waiting, this.queue, this.drainRate);
        if (waitMs > slackMs * CLAIM_WAIT_SHARE && this.overloadDetector.recordSignal(rank, this.settings.clock.now())) {
            this.stopLowerRanks(rank);
        }
        if (waitMs > slackMs * SHED_WAIT_SHARE && this.areLowerRanksStopped(rank)) {
            this.shed(waiting, ShedReason.Arrival);
        }
    }

    private enforceQueueLimits(): void {
        const { queue } = this;
        const fill = Math.max(queue.size / MAX_WAITING_CALLS, queue.bytes / MAX_WAITING_BYTES);
        const lowest = queue.lowestRank();
        if (lowest !== undefined && fill > CLAIM_FILL_SHARE) {
            this.stopLowerRanks(lowest);
        }
        while (queue.size > MAX_WAITING_CALLS || queue.bytes > MAX_WAITING_BYTES) {
            const waiting = queue.tier(queue.lowestRank() as number).nextToShed() as WaitingCall;
            this.shed(waiting, ShedReason.QueueFull);
        }
    }

    private dispatchWaiting(): void {
        this.shedLate();
        while (this.queue.size > 0 && this.servers.availableCount > 0 && this.dispatchNext()) {
            // Each iteration dispatches one call.
        }
        this.drainRate.setBacklogged(this.queue.size > 0);
    }

    private dispatchNext(): boolean {
        const nowMs = this.settings.clock.now();
        for (const rank of this.queue.ranks) {
            const tier = this.queue.tier(rank);
            if (tier.size === 0) {
                continue;
            }
            if (this.claims.isRankStopped(rank)) {
                return false;
            }
            if (!this.servers.mayAccept(rank, nowMs)) {
                return false;
            }
            for (const waiting of tier.dispatchCandidates()) {
                const choice = this.servers.choose(waiting, nowMs);
                if (choice !== undefined) {
                    this.dispatch(waiting, choice, nowMs);
                    return true;
                }
            }
        }
        return false;
    }

    private dispatch(waiting: WaitingCall, choice: ServerChoice, nowMs: number): void {
        const { window, cachedTokens } = choice;
        this.queue.dequeue(waiting);
        this.lastDispatchMsByRank[waiting.rank] = nowMs;
        this.drainRate.recordDispatch(waiting.rank, waiting.cost.tokens);
        const outstanding = new OutstandingCall(waiting.cost, cachedTokens, nowMs);
        window.add(outstanding);
        this.servers.updateAvailability(window);
        this.settings.observer.recordDispatch(waiting, nowMs - waiting.arrivedAtMs);
        const assignment = new TrackedAssignment(waiting.call, outstanding, window, this);
        if (!this.settings.isService) {
            this.running.add(assignment);
        }
        waiting.resolve(assignment);
    }

    /**
     * Marks calls whose latest start has passed as late. Sheds those that arrived after all lower ranks had stopped and after the
     * last dispatch of a lower rank.
     */
    private shedLate(): void {
        const nowMs = this.settings.clock.now();
        for (let waiting = this.queue.markNextLate(nowMs); waiting !== undefined; waiting = this.queue.markNextLate(nowMs)) {
            if (!waiting.isRetry) {
                this.stopLowerRanks(waiting.rank);
            }
            if (
                waiting.arrivedAtMs >= this.lowerRanksStoppedSince(waiting.rank) &&
                waiting.arrivedAtMs > this.lastLowerDispatchMs(waiting.rank)
            ) {
                this.shed(waiting, ShedReason.Late);
            }
        }
    }

    private shed(waiting: WaitingCall, reason: ShedReason): void {
        this.queue.remove(waiting);
        this.settings.observer.recordShed(waiting, reason);
        const detail = `Pool "${this.settings.pool}" is overloaded for tier "${waiting.call.tier.name}": ${
            SHED_REASON_TEXTS[reason]
        }. Try again.`;
        waiting.reject(new ShedRefusal(reason, detail, retryAfterMs(waiting, this.queue, this.drainRate, this.settings.random)));
    }

    private withdraw(waiting: WaitingCall): void {
        if (waiting.isSettled) {
            return;
        }
        this.queue.remove(waiting);
        this.settings.observer.recordWithdrawn(waiting);
        waiting.reject(
            new Refusal(RefusalType.CallerGone, "The call ended while it waited."),
        );
    }

    private recordFailure(window: ServerWindow, nowMs: number): void {
        let ejected = 0;
        for (const other of this.servers.windows) {
            ejected += other.ejection.isEjected(nowMs) ? 1 : 0;
        }
        if (2 * (ejected + 1) <= this.servers.size && window.ejection.recordFailure(nowMs)) {
            window.reset();
            this.settings.observer.recordEjected(window.server.vm.id);
        }
    }

    private stopLowerRanks(rank: number): void {
        const ranks = this.settings.ranks();
        if (rank === ranks.at(-1)) {
            return;
        }
        if (this.claims.claim(rank)) {
            this.settings.onClaim();
            this.applyClaims();
        }
    }

    private areLowerRanksStopped(rank: number): boolean {
        return this.lowerRanksStoppedSince(rank) <= this.settings.clock.now();
    }

    private lowerRanksStoppedSince(rank: number): number {
        return this.claims.lowerRanksStoppedSince(rank, this.settings.ranks());
    }

    private lastLowerDispatchMs(rank: number): number {
        let latest = -Infinity;
        for (let lower = rank + 1; lower < this.lastDispatchMsByRank.length; lower++) {
            latest = Math.max(latest, this.lastDispatchMsByRank[lower] ?? -Infinity);
        }
        return latest;
    }

    private createWaitingCall(call: AcceptedCall, assignSettings: AssignSettings): WaitingCall {
        const cost = this.settings.costs.estimate(call, assignSettings.receivedTokens ?? 0);
        const arrivedAtMs = this.settings.clock.now();
        const prefixHolders = this.settings.prefixes.find(call.prefixBlocks ?? []);
        const latestStartMs = computeLatestStartMs(call, {
            assignSettings,
            cost,
            prefixHolders,
            windows: this.servers.windows,
        });
        return new WaitingCall({
            call,
            assignSettings,
            cost,
            arrivedAtMs,
            latestStartMs,
            prefixHolders,
        });
    }
}
