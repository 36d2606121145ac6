/**
 * Queue of one service's calls and their way to its backend servers.
 *
 * Engines know no priorities and serve in order of arrival, so calls wait here, and no engine is sent more than it runs at once.
 *
 * @module
 */

import type { Clock, RandomSource, RelayRoute, RelayServer } from "../../state/relay/mod.js";
import { AdmissionGate, type Demand, type ServerCapacity } from "./admission_gate.js";
import { ArrivalRate } from "./arrival_rate.js";
import type { PlaceRecord } from "./call_record.js";
import type { Patience } from "./patience.js";
import { choosePlace, type PlacedCall } from "./placement.js";
import type { CallOutcome } from "./server_state.js";
import { type CallUnderWay, type ServerState } from "./server_state.js";
import { compareWaiting } from "./waiting_calls.js";

/** Expected times to the first event from which on a call counts as slow; healthy engines differ less than this. */
const SLOW_FACTOR = 3.5;

/** Call that asks for a place. */
export interface PlaceRequest {
    readonly id: string;
    readonly route: RelayRoute;
    readonly workspaceRank: number;
    readonly arrivedAtMs: number;
    /** Time until which the caller waits, in milliseconds since the Unix epoch. */
    readonly deadlineAtMs: number;
    readonly patience: Patience;
    readonly promptTokens: number;
    readonly expectedEvents: number;
    /** Last part of the prompt, which later calls may share. */
    readonly partId: string | undefined;
    readonly excluded: ReadonlySet<string>;
    /** Ends the wait when aborted. */
    readonly signal: AbortSignal;
}

/** Why a call got no place. */
export enum NoPlaceReason {
    /** Its time to wait ran out. */
    Overdue = "overdue",
    /** Its caller left, or its deadline came. */
    Ended = "ended",
}

/** Call that was given up while it waited; it has not run. */
export class NoPlaceError extends Error {
    override readonly name = "NoPlaceError";

    /**
     * @param service Service whose place was asked for.
     * @param reason Why there was none.
     */
    constructor(readonly service: string, readonly reason: NoPlaceReason) {
        super(`Cannot place a call of service ${service}: ${reason}`);
    }
}

/** Place at a server; given back when the call ends. */
export class Place {
    /**
     * @param state Server that the place is at.
     * @param underWay Call as the server's figures know it.
     * @param expectedMs Time to the first event that is expected, in milliseconds.
     * @param onRelease Told when the place is free.
     */
    constructor(
        readonly state: ServerState,
        private readonly underWay: CallUnderWay,
        private readonly expectedMs: number,
        private readonly onRelease: () => void,
    ) {}

    /** What decided the place. */
    get record(): Omit<PlaceRecord, "waitedMs"> {
        const { state, expectedMs } = this;
        const { ownCalls, allCalls } = state;
        return { server: state.server.id, expectedMs: Math.round(expectedMs), ownCalls, peerCalls: allCalls - ownCalls };
    }

    /** Server that the place is at. */
    get server(): RelayServer {
        return this.state.server;
    }

    /** Whether the first event took several times as long as a typical server of the service takes. */
    get wasSlow(): boolean {
        return this.underWay.slowness > SLOW_FACTOR;
    }

    /** Records the first event of a stream or the whole of a plain answer. */
    recordFirstEvent(): void {
        this.state.recordFirstEvent(this.underWay);
    }

    /** Records further events of a stream. */
    recordEvents(count: number): void {
        this.state.recordEvents(this.underWay, count);
    }

    /** Gives the place back; only the first call counts. */
    release(outcome: CallOutcome): void {
        this.state.finish(this.underWay, outcome);
        this.onRelease();
    }
}

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

/** Time for which an engine is expected to keep a prompt in its cache, in milliseconds. */
const CACHED_FOR_MS = 10_000;

/** Prompts whose server is remembered. */
const MAX_REMEMBERED_PARTS = 2_000;

/** Server that read a prompt. */
interface CachedPart {
    readonly server: string;
    readonly atMs: number;
}

/** Gives places to calls by rank as they come free. */
export class ServiceScheduler {
    private waiting: Waiting[] = [];
    private readonly cachedParts = new Map<string, CachedPart>();
    private readonly arrivals: ArrivalRate;
    private readonly gate: AdmissionGate;

    /** @param settings See {@linkcode ServiceSchedulerSettings}. */
    constructor(private readonly settings: ServiceSchedulerSettings) {
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
            if (waiting.request.patience.giveUpAtMs <= now) {
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
            cachedAt: this.findCached(request.partId),
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
        this.rememberPart(request.partId, choice.server);
        const expectedMs = choice.server.expectedFirstEventMs(request.promptTokens);
        return new Place(choice.server, choice.server.start(request.promptTokens), expectedMs, () => this.serve());
    }

    private findCached(partId: string | undefined): string | undefined {
        const cached = partId === undefined ? undefined : this.cachedParts.get(partId);
        return cached !== undefined && this.settings.clock.now() - cached.atMs < CACHED_FOR_MS ? cached.server : undefined;
    }

    private rememberPart(partId: string | undefined, state: ServerState): void {
        if (partId === undefined) {
            return;
        }
        this.cachedParts.delete(partId);
        this.cachedParts.set(partId, { server: state.server.id, atMs: this.settings.clock.now() });
        if (this.cachedParts.size > MAX_REMEMBERED_PARTS) {
            const [oldest] = this.cachedParts.keys();
            this.cachedParts.delete(oldest ?? "");
        }
    }
}

/** @returns Whether new calls may be sent to a server. */
function isWorking(state: ServerState): boolean {
    return !state.isBarred && !state.isSilent;
}

function toCapacity({ server, allCalls, callMs }: ServerState): ServerCapacity {
    return { slots: server.slots, calls: allCalls, callMs };
}
