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
import { NoPlaceError, NoPlaceReason, Place, type PlaceRequest } from "./place.js";
import { choosePlace, type PlacedCall } from "./placement.js";
import { PromptLocations } from "./prompt_locations.js";
import type { ServerState } from "./server_state.js";
import { compareWaiting } from "./waiting_calls.js";

/** Call in the queue. */
interface Waiting {
    readonly request: PlaceRequest;
    readonly workspaceRank: number;
    readonly routeRank: number;
    readonly inTimeUntilMs: number;
    readonly arrivedAtMs: number;
    readonly hasReturned: boolean;
    readonly resolve: (place: Place) => void;
    readonly reject: (error: NoPlaceError) => void;
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
    readonly nodes: () => number;
}

/** Gives places to calls by rank as they come free. */
export class ServiceScheduler {
    private waiting: Waiting[] = [];
    private readonly prompts: PromptLocations;
    private readonly arrivals: ArrivalRate;
    private readonly gate: AdmissionGate;

    /** @param settings See {@linkcode ServiceSchedulerSettings}. */
    constructor(private readonly settings: ServiceSchedulerSettings) {
        this.prompts = new PromptLocations(settings.clock);
        this.arrivals = new ArrivalRate(settings.clock);
        this.gate = new AdmissionGate(settings.random, settings.reportIntervalMs);
    }

    /** Calls that wait. */
    get waitingCalls(): number {
        return this.waiting.length;
    }

    /** Calls that ask for places. */
    get demand(): Demand {
        const now = this.settings.clock.now();
        let inTimeCalls = 0;
        for (const { inTimeUntilMs } of this.waiting) {
            inTimeCalls += inTimeUntilMs >= now ? 1 : 0;
        }
        const lateCalls = this.waiting.length - inTimeCalls;
        return { inTimeCalls, lateCalls, arrivalsPerSecond: this.arrivals.perSecond };
    }

    /** Describes the load as a call finds it: calls that wait, servers that may take it, their places and calls. */
    describeLoad(callId: string): Readonly<Record<string, unknown>> {
        const servers = this.settings.candidates(callId);
        return {
            service: this.settings.service,
            waitingCalls: this.waiting.length,
            servers: servers.length,
            places: servers.reduce((sum, state) => sum + state.server.slots, 0),
            calls: servers.reduce((sum, state) => sum + state.allCalls, 0),
            ...this.gate.describe(),
            peerDemand: this.settings.peerDemand(),
            doubtfulServers: servers.filter(state => state.isSilent || state.isBarred).length,
        };
    }

    /**
     * Waits for a place.
     *
     * @throws {NoPlaceError} When there was none in time.
     */
    assign(request: PlaceRequest): Promise<Place> {
        if (request.patience.inTimeUntilMs >= this.settings.clock.now()) {
            this.arrivals.record();
        }
        this.allot();
        if (this.waiting.length === 0) {
            const place = this.tryPlace(request);
            if (place !== undefined) {
                return Promise.resolve(place);
            }
        }
        return new Promise((resolve, reject) => {
            const waiting: Waiting = {
                request,
                workspaceRank: request.workspaceRank,
                routeRank: request.route.rank,
                inTimeUntilMs: request.patience.inTimeUntilMs,
                arrivedAtMs: request.arrivedAtMs,
                hasReturned: request.patience.hasReturned,
                resolve,
                reject,
            };
            this.waiting.push(waiting);
            request.signal.addEventListener("abort", () => this.giveUp(waiting, NoPlaceReason.Ended), { once: true });
            this.serve();
        });
    }

    /** Serves waiting calls as far as places are free, and gives up those that are overdue. */
    serve(): void {
        if (this.waiting.length === 0) {
            return;
        }
        this.allot();
        const now = this.settings.clock.now();
        this.waiting.sort((left, right) => compareWaiting(left, right, now));
        const left: Waiting[] = [];
        let isFull = false;
        for (const waiting of this.waiting) {
            if (this.isToBeRefused(waiting, now)) {
                waiting.reject(new NoPlaceError(this.settings.service, NoPlaceReason.Overdue));
                continue;
            }
            const isOpen: boolean = !isFull && this.gate.isOpen(waiting.inTimeUntilMs < now);
            const place = isOpen ? this.tryPlace(waiting.request) : undefined;
            if (place === undefined) {
                isFull ||= isOpen && waiting.request.excluded.size === 0;
                left.push(waiting);
                continue;
            }
            waiting.resolve(place);
        }
        this.waiting = left;
    }

    /** @returns Whether a call has waited too long, or is late while no late calls are served and its caller may come back. */
    private isToBeRefused(waiting: Waiting, nowMs: number): boolean {
        return waiting.request.patience.giveUpAtMs <= nowMs ||
            this.gate.isClosedToLate && !waiting.hasReturned && waiting.inTimeUntilMs < nowMs;
    }

    private giveUp(waiting: Waiting, reason: NoPlaceReason): void {
        const index = this.waiting.indexOf(waiting);
        if (index >= 0) {
            this.waiting.splice(index, 1);
            waiting.reject(new NoPlaceError(this.settings.service, reason));
        }
    }

    private allot(): void {
        const { clock, peerDemand, mainServers } = this.settings;
        const now = clock.now();
        if (this.gate.isDue(now)) {
            this.gate.allot(now, this.demand, peerDemand(), mainServers().filter(isWorking).map(toCapacity));
        }
    }

    private tryPlace(request: PlaceRequest): Place | undefined {
        const { clock, failureDomain, nodes, random } = this.settings;
        const now = clock.now();
        const isLate = request.patience.inTimeUntilMs < now;
        if (!this.gate.isOpen(isLate)) {
            return undefined;
        }
        const call: PlacedCall = {
            promptTokens: request.promptTokens,
            expectedEvents: request.expectedEvents,
            failureDomain,
            excluded: request.excluded,
            cachedAt: this.prompts.find(request.partId),
            leftMs: request.deadlineAtMs - now,
        };
        const spread = { nodes: nodes(), next: () => random.next() };
        const choice = choosePlace(this.settings.candidates(request.id), call, spread);
        if (choice === undefined) {
            return undefined;
        }
        if (choice.isTrial) {
            choice.server.recordTrial();
        }
        this.gate.recordPlaced(isLate);
        this.prompts.record(request.partId, choice.server.server.id);
        const expectedMs = choice.server.expectedFirstEventMs(request.promptTokens);
        return new Place(choice.server, choice.server.start(request.promptTokens), expectedMs, () => this.serve());
    }
}

/** @returns Whether new calls may be sent to a server. */
function isWorking(state: ServerState): boolean {
    return !state.isBarred && !state.isSilent;
}

function toCapacity({ server, allCalls, callMs }: ServerState): ServerCapacity {
    return { slots: server.slots, calls: allCalls, callMs };
}
