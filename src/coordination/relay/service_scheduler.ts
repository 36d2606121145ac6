/**
 * Queue of one service's calls and their dispatch to its backend servers.
 *
 * Engines have no priorities and serve calls in FIFO order, so calls are queued here and no engine is sent more calls than it runs at
 * once.
 *
 * @module
 */

import type { Clock, Homes, RandomSource } from "../../state/relay/mod.js";
import type { Demand } from "../allotment/mod.js";
import { AdmissionGate, type ServerCapacity } from "./admission_gate.js";
import { ArrivalRate } from "./arrival_rate.js";
import { comparePriority } from "./call_priority.js";
import type { FairQueueing, PlacedCall } from "./fair_queueing.js";
import { chooseServer, type PlacementRequest } from "./placement.js";
import { PromptLocations } from "./prompt_locations.js";
import type { ServerState } from "./server_state.js";
import type { SlotClass } from "./slot_forecast.js";
import { NoSlotError, NoSlotReason, type SlotRequest, SlotReservation } from "./slot_reservation.js";
import type { ServerSpeed } from "./stop_deadline.js";
import { TurnWatch } from "./turn_watch.js";
import { moveWaitLimits, type WaitLimits } from "./wait_limits.js";

/** Time between two dispatches of waiting calls from which this node was held up, in milliseconds; a multiple of the usual one. */
const MIN_HOLD_UP_MS = 100;

/** Time since the last hold-up below which another one does not count: a node that is held up all the time is slow, in milliseconds. */
const MIN_TIME_BETWEEN_HOLD_UPS_MS = 150;

/** Call in the queue. */
interface QueuedCall {
    readonly request: SlotRequest;
    readonly workspaceRank: number;
    readonly workspaceKey: number;
    readonly routeRank: number;
    readonly inTimeUntilMs: number;
    readonly arrivedAtMs: number;
    readonly isCallerRetry: boolean;
    /** Time for which this node was held up while the call waited, in milliseconds. */
    heldUpMs: number;
    readonly resolve: (slot: SlotReservation) => void;
    readonly reject: (error: unknown) => void;
}

/** What decides whether a call may take a slot. */
interface SlotClaim {
    readonly workspaceKey: number;
    /** Whether the call is beyond the share of its workspace. */
    readonly isAbove: boolean;
    readonly slotClass: SlotClass;
}

/** Settings of a {@linkcode ServiceScheduler}. */
export interface ServiceSchedulerSettings {
    readonly service: string;
    readonly failureDomain: string;
    readonly clock: Clock;
    readonly random: RandomSource;
    /**
     * Returns the servers that may be chosen for a call, by its id and homes; they depend on the id during a rollout of another version.
     */
    readonly candidates: (callId: string, homes?: Homes) => readonly ServerState[];
    /** Returns why a call must not be sent to any server, by its id and homes; `undefined` if it may be. */
    readonly findExclusion?: (callId: string, homes?: Homes) => NoSlotReason | undefined;
    /** Returns the servers that receive most of the calls. */
    readonly mainServers: () => readonly ServerState[];
    /** Returns the demand of all other nodes for the service. */
    readonly peerDemand: () => Demand;
    /** Returns the time between the nodes' reports, in milliseconds. */
    readonly reportIntervalMs: () => number;
    /** Returns the number of nodes that send calls, including this one. */
    readonly nodeCount: () => number;
    /** Returns whether this node reaches no server of the service. */
    readonly isOutOfReach: () => boolean;
    /** Shares of the workspaces in the slots; left out where they are off. */
    readonly fairQueueing?: FairQueueing | undefined;
    /** Called when a call has to wait and none did before; {@linkcode ServiceScheduler.dispatchWaiting} is due from then on. */
    readonly onFirstWaiting?: () => void;
    /** Called when the dispatch beside the start or end of a call fails. Waiting calls stay in the queue until the next one. */
    readonly onDispatchFailed?: (error: unknown) => void;
}

/** Reserves slots for calls, in order of priority as slots become free. */
export class ServiceScheduler {
    private queue: QueuedCall[] = [];
    private readonly promptLocations: PromptLocations;
    private readonly arrivals: ArrivalRate;
    private readonly gate: AdmissionGate;
    private readonly turns: TurnWatch;
    private heldUpUntilMs = -Infinity;
    /** Whether what arrived during the last hold-up has yet to be read, so that nothing is refused or allotted. */
    private isCatchingUp = false;

    /** @param settings See {@linkcode ServiceSchedulerSettings}. */
    constructor(private readonly settings: ServiceSchedulerSettings) {
        this.promptLocations = new PromptLocations(settings.clock);
        this.arrivals = new ArrivalRate(settings.clock);
        this.gate = new AdmissionGate(settings.random, settings.reportIntervalMs);
        this.turns = new TurnWatch(settings.clock, MIN_HOLD_UP_MS);
    }

    /** Number of calls that wait for a slot. */
    get waitingCalls(): number {
        return this.queue.length;
    }

    /** Demand of this node for the service. */
    get demand(): Demand {
        return this.settings.fairQueueing?.classify(this.allDemand, this.queue) ?? this.allDemand;
    }

    /** Demand of this node regardless of the shares of workspaces. */
    private get allDemand(): Demand {
        const now = this.settings.clock.now();
        let inTimeCalls = 0;
        for (const { inTimeUntilMs } of this.queue) {
            inTimeCalls += inTimeUntilMs >= now ? 1 : 0;
        }
        const lateCalls = this.queue.length - inTimeCalls;
        return { inTimeCalls, lateCalls, arrivalsPerSecond: this.arrivals.perSecond };
    }

    /** End of the first rest, in milliseconds since the Unix epoch, if all servers have asked this node for rest. */
    get firstRestEndMs(): number | undefined {
        return firstRestEnd(this.settings.mainServers());
    }

    /** Describes the load for a call's log line: waiting calls, candidate servers, and their slots and calls. */
    describeLoad(callId: string, homes?: Homes): Readonly<Record<string, unknown>> {
        const servers = this.settings.candidates(callId, homes);
        return {
            service: this.settings.service,
            waitingCalls: this.queue.length,
            servers: servers.length,
            places: servers.reduce((sum, state) => sum + state.server.slots, 0),
            calls: servers.reduce((sum, state) => sum + state.allCalls, 0),
            ...this.gate.describe(),
            peerDemand: this.settings.peerDemand(),
            limitedServers: servers.filter(state => state.allowance !== undefined).length,
            doubtfulServers: servers.filter(state => state.isUnresponsive || state.isSuspended).length,
        };
    }

    /** Returns the speeds of the servers that may be chosen for a call of this many prompt tokens, by its id and homes. */
    speeds(callId: string, promptTokens: number, homes?: Homes): readonly ServerSpeed[] {
        return this.settings.candidates(callId, homes).map(state => ({
            firstEventMs: state.expectedFirstEventMs(promptTokens),
            msPerEvent: state.msPerEvent,
            callMs: state.measuredCallMs,
        }));
    }

    /**
     * Waits for a slot.
     *
     * @throws {NoSlotError} If the call is refused or aborted before it gets one.
     */
    reserveSlot(request: SlotRequest): Promise<SlotReservation> {
        const exclusion = this.settings.findExclusion?.(request.id, request.homes);
        if (exclusion !== undefined) {
            return Promise.reject(new NoSlotError(this.settings.service, exclusion));
        }
        const isInTime = request.waitLimits.inTimeUntilMs >= this.settings.clock.now();
        if (isInTime) {
            this.arrivals.record();
        }
        const { fairQueueing } = this.settings;
        const workspaceKey = fairQueueing?.keyOf(request.workspace) ?? 0;
        fairQueueing?.shares.recordArrival(workspaceKey, request.workspace ?? "", isInTime);
        this.recordHoldUp();
        this.refreshAllotment();
        if (this.queue.length === 0) {
            const isAbove = fairQueueing?.isAbove(workspaceKey) === true;
            const slotClass = fairQueueing?.slotClassOf({ ...request.waitLimits, workspaceKey }, isAbove) ??
                (isInTime ? "inTime" : "late");
            const slot = this.tryReserveSlot(request, { workspaceKey, isAbove, slotClass });
            if (slot !== undefined) {
                return Promise.resolve(slot);
            }
        }
        fairQueueing?.shares.recordWaiting(workspaceKey);
        return new Promise((resolve, reject) => {
            const queued: QueuedCall = {
                request,
                workspaceRank: request.workspaceRank,
                workspaceKey,
                routeRank: request.route.rank,
                inTimeUntilMs: request.waitLimits.inTimeUntilMs,
                arrivedAtMs: request.arrivedAtMs,
                isCallerRetry: request.waitLimits.isCallerRetry,
                heldUpMs: 0,
                resolve: slot => {
                    fairQueueing?.shares.recordWaitEnd(workspaceKey);
                    resolve(slot);
                },
                reject: error => {
                    fairQueueing?.shares.recordWaitEnd(workspaceKey);
                    reject(error as Error);
                },
            };
            this.queue.push(queued);
            request.signal.addEventListener("abort", () => this.rejectQueued(queued, NoSlotReason.Ended), { once: true });
            this.tryDispatch();
            if (this.queue.length === 1) {
                this.settings.onFirstWaiting?.();
            }
        });
    }

    /** Refuses the waiting calls that must not be sent to any server any more. */
    refuseExcluded(): void {
        for (const queued of [...this.queue]) {
            const exclusion = this.settings.findExclusion?.(queued.request.id, queued.request.homes);
            if (exclusion !== undefined) {
                this.rejectQueued(queued, exclusion);
            }
        }
    }

    /** Gives free slots to waiting calls and refuses calls that are overdue. */
    dispatchWaiting(): void {
        if (this.queue.length === 0) {
            return;
        }
        this.recordHoldUp();
        this.refreshAllotment();
        const now = this.settings.clock.now();
        const remaining: QueuedCall[] = [];
        const isOutOfReach = this.settings.isOutOfReach();
        const restEndMs = this.firstRestEndMs;
        let isFull = false;
        for (const { call: queued, isAbove, slotClass, waitMs } of this.arrangeQueue(now)) {
            try {
                if (isOutOfReach && queued.request.mayLeave()) {
                    queued.reject(new NoSlotError(this.settings.service, NoSlotReason.OutOfReach));
                    continue;
                }
                if (queued.request.isTooLateForStop()) {
                    queued.reject(new NoSlotError(this.settings.service, NoSlotReason.Stopping));
                    continue;
                }
                const limits = limitsOf(queued);
                if (restEndMs !== undefined && restEndMs >= limits.giveUpAtMs) {
                    queued.reject(new NoSlotError(this.settings.service, NoSlotReason.Overdue, restEndMs));
                    continue;
                }
                if (this.shouldRefuse(limits, now)) {
                    this.refuseQueued(queued, isAbove);
                    continue;
                }
                const mayAdmit: boolean = !isFull && this.gate.mayAdmitClass(slotClass);
                const slot = mayAdmit ?
                    this.tryReserveSlot(queued.request, { workspaceKey: queued.workspaceKey, isAbove, slotClass }) :
                    undefined;
                if (slot === undefined && !this.isCatchingUp && waitMs > limits.giveUpAtMs - now) {
                    this.refuseQueued(queued, isAbove, waitMs);
                    continue;
                }
                if (slot === undefined) {
                    const { excludedServers, homes } = queued.request;
                    isFull ||= mayAdmit && excludedServers.size === 0 && homes === undefined;
                    remaining.push(queued);
                    continue;
                }
                queued.resolve(slot);
            }
            catch (error) {
                // Calls that were given a slot before must not stay in the queue, where they would get another one.
                queued.reject(error);
            }
        }
        this.queue = remaining;
    }

    /** @returns Waiting calls in the order in which they get slots. */
    private arrangeQueue(now: number): readonly PlacedCall<QueuedCall>[] {
        const { fairQueueing } = this.settings;
        if (fairQueueing !== undefined) {
            return fairQueueing.arrange(this.queue, this.demand);
        }
        this.queue.sort((left, right) => comparePriority(left, right, now));
        return this.queue.map(call => ({
            call,
            isAbove: false,
            slotClass: call.inTimeUntilMs < now ? "late" as const : "inTime" as const,
            waitMs: 0,
        }));
    }

    /** Refuses a waiting call. `waitMs` is the time until it would get a slot, if that is why. */
    private refuseQueued(queued: QueuedCall, isAbove: boolean, waitMs?: number): void {
        const { fairQueueing, service } = this.settings;
        if (isAbove) {
            fairQueueing?.shares.recordRefused(queued.workspaceKey);
        }
        const reason = isAbove ? NoSlotReason.ShareSpent : NoSlotReason.Overdue;
        const remainingMs = queued.request.deadlineAtMs - this.settings.clock.now();
        const retryAtMs = waitMs === undefined ? undefined : fairQueueing?.retryAtMs(waitMs, remainingMs);
        queued.reject(new NoSlotError(service, reason, retryAtMs));
    }

    /** Dispatches waiting calls; an error is not charged to the call that gave the occasion. */
    private tryDispatch(): void {
        try {
            this.dispatchWaiting();
        }
        catch (error) {
            this.settings.onDispatchFailed?.(error);
        }
    }

    /** @returns Whether a call has waited too long, or is late while late calls are refused and its caller has not retried yet. */
    private shouldRefuse({ giveUpAtMs, inTimeUntilMs, isCallerRetry }: WaitLimits, nowMs: number): boolean {
        if (this.isCatchingUp) {
            return false;
        }
        return giveUpAtMs <= nowMs || this.gate.refusesLateCalls && !isCallerRetry && inTimeUntilMs < nowMs;
    }

    /** Adds the time for which this node was held up to that of the waiting calls. */
    private recordHoldUp(): void {
        if (this.queue.length === 0) {
            this.turns.skipTurns();
            this.isCatchingUp &&= this.turns.isReading;
            return;
        }
        const heldUpMs = this.turns.recordTurn();
        this.isCatchingUp &&= this.turns.isReading;
        if (heldUpMs === 0) {
            return;
        }
        const now = this.settings.clock.now();
        this.isCatchingUp = now - heldUpMs - this.heldUpUntilMs >= MIN_TIME_BETWEEN_HOLD_UPS_MS;
        this.heldUpUntilMs = now;
        for (const queued of this.queue) {
            queued.heldUpMs += this.isCatchingUp ? heldUpMs : 0;
        }
    }

    private rejectQueued(queued: QueuedCall, reason: NoSlotReason): void {
        const index = this.queue.indexOf(queued);
        if (index >= 0) {
            this.queue.splice(index, 1);
            queued.reject(new NoSlotError(this.settings.service, reason));
        }
    }

    private refreshAllotment(): void {
        const { clock, fairQueueing, peerDemand, mainServers } = this.settings;
        const now = clock.now();
        if (!this.isCatchingUp && this.gate.isDue(now)) {
            const servers = mainServers().filter(isAvailable).map(toCapacity);
            fairQueueing?.divide(servers);
            const supply = this.gate.allot(now, this.demand, peerDemand(), servers);
            fairQueueing?.recordSupply(supply);
        }
    }

    /** Reserves a slot if the admission gate allows one. */
    private tryReserveSlot(
        request: SlotRequest,
        { workspaceKey, isAbove, slotClass }: SlotClaim,
    ): SlotReservation | undefined {
        const { clock, failureDomain, fairQueueing, nodeCount, random } = this.settings;
        const now = clock.now();
        if (!this.gate.mayAdmitClass(slotClass)) {
            return undefined;
        }
        const call: PlacementRequest = {
            promptTokens: request.promptTokens,
            expectedEvents: request.expectedEvents,
            failureDomain,
            excludedServers: request.excludedServers,
            cachedServer: this.promptLocations.find(request.promptPartId),
            remainingMs: request.deadlineAtMs - now,
        };
        const jitter = { nodeCount: nodeCount(), next: () => random.next() };
        const choice = chooseServer(this.settings.candidates(request.id, request.homes), call, jitter);
        if (choice === undefined) {
            return undefined;
        }
        if (choice.isTrial) {
            choice.state.recordTrial();
        }
        this.gate.recordAdmittedClass(slotClass);
        fairQueueing?.shares.recordStart(workspaceKey, isAbove);
        this.promptLocations.record(request.promptPartId, choice.state.server.id);
        const expectedMs = choice.state.expectedFirstEventMs(request.promptTokens);
        return new SlotReservation(
            choice.state,
            choice.state.startCall(request.promptTokens),
            expectedMs,
            () => {
                fairQueueing?.shares.recordEnd(workspaceKey);
                this.tryDispatch();
            },
        );
    }
}

/** @returns Limits of a call in the queue, without the time for which this node was held up. */
function limitsOf({ request, heldUpMs }: QueuedCall): WaitLimits {
    const { waitLimits, arrivedAtMs, deadlineAtMs, route } = request;
    return moveWaitLimits(waitLimits, heldUpMs, Math.min(deadlineAtMs, arrivedAtMs + route.timeoutMs));
}

/** @returns End of the first rest, in milliseconds since the Unix epoch, if all servers have asked this node for rest. */
function firstRestEnd(servers: readonly ServerState[]): number | undefined {
    let earliestMs = Infinity;
    for (const { restEndMs } of servers) {
        if (restEndMs === undefined) {
            return undefined;
        }
        earliestMs = Math.min(earliestMs, restEndMs);
    }
    return earliestMs === Infinity ? undefined : earliestMs;
}

/** @returns Whether new calls may be sent to a server. */
function isAvailable(state: ServerState): boolean {
    return !state.isSuspended && !state.isUnresponsive;
}

function toCapacity({ usableSlots, allCalls, callMs, allowance }: ServerState): ServerCapacity {
    return { slots: usableSlots, calls: allCalls, callMs, allowance };
}
