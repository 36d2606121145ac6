/**
 * Queue of one service's calls and their way to its backend servers.
 *
 * Engines know no priorities and serve in order of arrival, so calls wait here, and no engine is sent more than it runs at once.
 *
 * @module
 */

import type { Clock, RandomSource } from "../../state/relay/mod.js";
import { AdmissionGate, type Demand, type ServerCapacity } from "./admission_gate.js";
import { ArrivalRate } from "./arrival_rate.js";
import { comparePriority } from "./call_priority.js";
import { chooseServer, type PlacementRequest } from "./placement.js";
import { PromptLocations } from "./prompt_locations.js";
import type { ServerState } from "./server_state.js";
import { NoSlotError, NoSlotReason, type SlotRequest, SlotReservation } from "./slot_reservation.js";

/** Call in the queue. */
interface QueuedCall {
    readonly request: SlotRequest;
    readonly workspaceRank: number;
    readonly routeRank: number;
    readonly inTimeUntilMs: number;
    readonly arrivedAtMs: number;
    readonly hasReturned: boolean;
    readonly resolve: (place: SlotReservation) => void;
    readonly reject: (error: NoSlotError) => void;
}

/** Settings of a {@linkcode ServiceScheduler}. */
export interface ServiceSchedulerSettings {
    readonly service: string;
    readonly failureDomain: string;
    readonly clock: Clock;
    readonly random: RandomSource;
    /** Servers that may be chosen for a call, by its id; they differ while a service moves to another version. */
    readonly candidates: (callId: string) => readonly ServerState[];
    /** Servers that take most of the calls. */
    readonly mainServers: () => readonly ServerState[];
    /** Calls of the service that wait or arrive at other nodes. */
    readonly peerDemand: () => Demand;
    /** Time between the nodes' reports, in milliseconds. */
    readonly reportIntervalMs: () => number;
    /** Nodes that send calls, this one included. */
    readonly nodeCount: () => number;
}

/** Gives places to calls by rank as they come free. */
export class ServiceScheduler {
    private queue: QueuedCall[] = [];
    private readonly promptLocations: PromptLocations;
    private readonly arrivals: ArrivalRate;
    private readonly gate: AdmissionGate;

    /** @param settings See {@linkcode ServiceSchedulerSettings}. */
    constructor(private readonly settings: ServiceSchedulerSettings) {
        this.promptLocations = new PromptLocations(settings.clock);
        this.arrivals = new ArrivalRate(settings.clock);
        this.gate = new AdmissionGate(settings.random, settings.reportIntervalMs);
    }

    /** Calls that wait. */
    get waitingCalls(): number {
        return this.queue.length;
    }

    /** Calls that ask for places. */
    get demand(): Demand {
        const now = this.settings.clock.now();
        let inTimeCalls = 0;
        for (const { inTimeUntilMs } of this.queue) {
            inTimeCalls += inTimeUntilMs >= now ? 1 : 0;
        }
        const lateCalls = this.queue.length - inTimeCalls;
        return { inTimeCalls, lateCalls, arrivalsPerSecond: this.arrivals.perSecond };
    }

    /** Describes the load as a call finds it: calls that wait, servers that may take it, their places and calls. */
    describeLoad(callId: string): Readonly<Record<string, unknown>> {
        const servers = this.settings.candidates(callId);
        return {
            service: this.settings.service,
            waitingCalls: this.queue.length,
            servers: servers.length,
            places: servers.reduce((sum, state) => sum + state.server.slots, 0),
            calls: servers.reduce((sum, state) => sum + state.allCalls, 0),
            ...this.gate.describe(),
            peerDemand: this.settings.peerDemand(),
            doubtfulServers: servers.filter(state => state.isUnresponsive || state.isSuspended).length,
        };
    }

    /**
     * Waits for a place.
     *
     * @throws {NoSlotError} When there was none in time.
     */
    reserveSlot(request: SlotRequest): Promise<SlotReservation> {
        if (request.waitLimits.inTimeUntilMs >= this.settings.clock.now()) {
            this.arrivals.record();
        }
        this.refreshAllotment();
        if (this.queue.length === 0) {
            const place = this.tryReserveSlot(request);
            if (place !== undefined) {
                return Promise.resolve(place);
            }
        }
        return new Promise((resolve, reject) => {
            const waiting: QueuedCall = {
                request,
                workspaceRank: request.workspaceRank,
                routeRank: request.route.rank,
                inTimeUntilMs: request.waitLimits.inTimeUntilMs,
                arrivedAtMs: request.arrivedAtMs,
                hasReturned: request.waitLimits.hasReturned,
                resolve,
                reject,
            };
            this.queue.push(waiting);
            request.signal.addEventListener("abort", () => this.rejectQueued(waiting, NoSlotReason.Ended), { once: true });
            this.dispatchWaiting();
        });
    }

    /** Serves waiting calls as far as places are free, and gives up those that are overdue. */
    dispatchWaiting(): void {
        if (this.queue.length === 0) {
            return;
        }
        this.refreshAllotment();
        const now = this.settings.clock.now();
        this.queue.sort((left, right) => comparePriority(left, right, now));
        const left: QueuedCall[] = [];
        let isFull = false;
        for (const waiting of this.queue) {
            if (this.shouldRefuse(waiting, now)) {
                waiting.reject(new NoSlotError(this.settings.service, NoSlotReason.Overdue));
                continue;
            }
            const isOpen: boolean = !isFull && this.gate.mayAdmit(waiting.inTimeUntilMs < now);
            const place = isOpen ? this.tryReserveSlot(waiting.request) : undefined;
            if (place === undefined) {
                isFull ||= isOpen && waiting.request.excluded.size === 0;
                left.push(waiting);
                continue;
            }
            waiting.resolve(place);
        }
        this.queue = left;
    }

    /** @returns Whether a call has waited too long, or is late while no late calls are served and its caller may come back. */
    private shouldRefuse(waiting: QueuedCall, nowMs: number): boolean {
        return waiting.request.waitLimits.giveUpAtMs <= nowMs ||
            this.gate.rejectsLateCalls && !waiting.hasReturned && waiting.inTimeUntilMs < nowMs;
    }

    private rejectQueued(waiting: QueuedCall, reason: NoSlotReason): void {
        const index = this.queue.indexOf(waiting);
        if (index >= 0) {
            this.queue.splice(index, 1);
            waiting.reject(new NoSlotError(this.settings.service, reason));
        }
    }

    private refreshAllotment(): void {
        const { clock, peerDemand, mainServers } = this.settings;
        const now = clock.now();
        if (this.gate.isDue(now)) {
            this.gate.allot(now, this.demand, peerDemand(), mainServers().filter(isAvailable).map(toCapacity));
        }
    }

    private tryReserveSlot(request: SlotRequest): SlotReservation | undefined {
        const { clock, failureDomain, nodeCount: nodes, random } = this.settings;
        const now = clock.now();
        const isLate = request.waitLimits.inTimeUntilMs < now;
        if (!this.gate.mayAdmit(isLate)) {
            return undefined;
        }
        const call: PlacementRequest = {
            promptTokens: request.promptTokens,
            expectedEvents: request.expectedEvents,
            failureDomain,
            excluded: request.excluded,
            cachedAt: this.promptLocations.find(request.promptPartId),
            leftMs: request.deadlineAtMs - now,
        };
        const jitter = { nodeCount: nodes(), next: () => random.next() };
        const choice = chooseServer(this.settings.candidates(request.id), call, jitter);
        if (choice === undefined) {
            return undefined;
        }
        if (choice.isTrial) {
            choice.state.recordTrial();
        }
        this.gate.recordAdmitted(isLate);
        this.promptLocations.record(request.promptPartId, choice.state.server.id);
        const expectedMs = choice.state.expectedFirstEventMs(request.promptTokens);
        return new SlotReservation(
            choice.state,
            choice.state.startCall(request.promptTokens),
            expectedMs,
            () => this.dispatchWaiting(),
        );
    }
}

/** @returns Whether new calls may be sent to a server. */
function isAvailable(state: ServerState): boolean {
    return !state.isSuspended && !state.isUnresponsive;
}

function toCapacity({ server, allCalls, callMs }: ServerState): ServerCapacity {
    return { slots: server.slots, calls: allCalls, callMs };
}
