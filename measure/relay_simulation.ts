/**
 * Plays calls over a fleet of relay nodes and engines with the relay's own decisions, without a network.
 *
 * @module
 */

import {
    CallOutcome,
    decideRetryAfter,
    decideWaitLimits,
    NoSlotError,
    PeerTable,
    ServerPool,
    ServiceScheduler,
    type SlotReservation,
    sumDemands,
} from "../src/coordination/relay/mod.js";
import { EMPTY_REPORT, hashKey } from "../src/protocol/relay/mod.js";
import { type Clock, type RandomSource, type RelayRoute, SeededRandom, Semantics } from "../src/state/relay/mod.js";
import { SlotEngine } from "../standin/slot_engine.js";
import { type CallKind, makeCalls, type RelayCase, type WorkloadCall } from "./relay_workload.js";

/** Time for which calls arrive, in milliseconds. */
const ARRIVAL_DURATION_MS = 24_000;

/** Calls that arrive before this time are not counted, in milliseconds: nodes learn the engines' speeds. */
const WARM_UP_MS = 3_000;

/** Interval at which nodes look at their queues, in milliseconds. */
const DISPATCH_INTERVAL_MS = 40;

/** Time to an engine and back, in milliseconds. */
const ROUND_TRIP_MS = 3;

/** Speeds of the engines, in turn. */
const ENGINE_SPEEDS = [0.55, 1, 2.8];

/** Calls that an engine queues beyond its slots. */
const ENGINE_QUEUE_LIMIT = 66;

/** Objectives without an event after which a caller leaves. */
const ABANDON_OBJECTIVE_FACTOR = 4;

/** Longest pauses without an event after which a caller leaves. */
const ABANDON_PAUSE_FACTOR = 8;

/** Time without an event within which no caller leaves, in milliseconds. */
const MIN_ABANDON_MS = 2_000;

/** Service of all calls. */
const SERVICE = "llm";

/** What callers of one kind got. */
export interface KindFigures {
    calls: number;
    inTime: number;
    late: number;
    refused: number;
    failed: number;
    offeredValue: number;
    earnedValue: number;
}

/** Figures of one run. */
export interface RelayFigures {
    readonly kinds: ReadonlyMap<string, KindFigures>;
    /** Worth earned against worth owed. */
    readonly earnedShare: number;
    /** Share of calls that were served at all. */
    readonly servedShare: number;
    /** Part of the engines' slots that were taken on average. */
    readonly utilization: number;
}

/** Clock that the run moves. */
class SimulationClock implements Clock {
    nowMs = 0;

    now(): number {
        return this.nowMs;
    }

    sleep(): Promise<boolean> {
        throw new Error("Cannot sleep: the run moves this clock by events");
    }
}

/** Something that happens at a time. */
interface SimulationEvent {
    readonly atMs: number;
    readonly run: () => void;
}

/** Node with what it knows. */
interface SimulatedNode {
    readonly peers: PeerTable;
    readonly pool: ServerPool;
    readonly scheduler: ServiceScheduler;
}

/** Knows at any moment what is at each engine; the best that reports could do. */
class OraclePeerTable extends PeerTable {
    /** Calls of the node itself at an engine, by its id. */
    ownCalls: (id: string) => number = () => 0;
    private readonly engines: ReadonlyMap<number, SlotEngine>;

    constructor(clock: Clock, engines: readonly SlotEngine[]) {
        super(clock);
        this.engines = new Map(engines.map(engine => [hashKey(engine.id), engine]));
    }

    override callsAt(serverKey: number): number {
        const engine = this.engines.get(serverKey);
        return engine === undefined ? 0 : engine.allCalls - this.ownCalls(engine.id);
    }
}

/** Plays one case. */
export class RelaySimulation {
    private readonly clock = new SimulationClock();
    private readonly random: RandomSource;
    private readonly engines: SlotEngine[] = [];
    private readonly nodes: SimulatedNode[] = [];
    private readonly events = new Map<number, SimulationEvent[]>();
    private readonly kinds = new Map<string, KindFigures>();
    private readonly routes = new Map<CallKind, RelayRoute>();
    private sequence = 0;
    private runningCallsSum = 0;
    private runningCallsSamples = 0;

    /**
     * @param relayCase Fleet and calls.
     * @param seed Seed of all random numbers.
     */
    constructor(private readonly relayCase: RelayCase, seed: number) {
        this.random = new SeededRandom(seed);
        const { engines, nodes, kinds } = relayCase;
        for (let index = 0; index < engines; index += 1) {
            const speed = ENGINE_SPEEDS[index % ENGINE_SPEEDS.length] ?? 1;
            this.engines.push(new SlotEngine(`engine-${index}`, { ...relayCase, queueLimit: ENGINE_QUEUE_LIMIT, speed }));
        }
        for (let index = 0; index < nodes; index += 1) {
            this.nodes.push(this.makeNode(index));
        }
        for (const kind of kinds) {
            this.routes.set(kind, makeRoute(kind));
            this.kinds.set(kind.name, { calls: 0, inTime: 0, late: 0, refused: 0, failed: 0, offeredValue: 0, earnedValue: 0 });
        }
    }

    /** Plays the case to its end. */
    async run(): Promise<RelayFigures> {
        for (const call of makeCalls(this.relayCase, ARRIVAL_DURATION_MS, this.random)) {
            this.schedule(call.atMs, () => this.handleArrival(call, call.atMs, false));
            if (call.atMs >= WARM_UP_MS) {
                const figures = this.figuresOf(call);
                figures.calls += 1;
                figures.offeredValue += call.value;
            }
        }
        const lastMs = ARRIVAL_DURATION_MS + Math.max(...this.relayCase.kinds.map(kind => kind.deadlineMs));
        for (let ms = 0; ms <= lastMs; ms += 1) {
            await this.step(ms);
        }
        return this.summarise();
    }

    private async step(ms: number): Promise<void> {
        this.clock.nowMs = ms;
        for (const engine of this.engines) {
            engine.advance(ms);
        }
        const due = this.events.get(ms);
        if (due !== undefined) {
            this.events.delete(ms);
            for (const event of due) {
                event.run();
            }
        }
        if (ms % DISPATCH_INTERVAL_MS === 0) {
            for (const node of this.nodes) {
                node.scheduler.dispatchWaiting();
            }
        }
        if (ms % this.relayCase.reportIntervalMs === 0) {
            this.exchangeReports();
        }
        await Promise.resolve();
        await Promise.resolve();
    }

    private schedule(atMs: number, run: () => void): void {
        const ms = Math.max(Math.ceil(atMs), this.clock.nowMs + 1);
        const events = this.events.get(ms) ?? [];
        events.push({ atMs, run });
        this.events.set(ms, events);
    }

    private makeNode(index: number): SimulatedNode {
        const peers = this.relayCase.reportAgeMs > 0 ? new PeerTable(this.clock) : new OraclePeerTable(this.clock, this.engines);
        const pool = new ServerPool(this.clock, peers);
        if (peers instanceof OraclePeerTable) {
            peers.ownCalls = id => pool.find(id)?.ownCalls ?? 0;
        }
        for (const [engine, { id, profile }] of this.engines.entries()) {
            pool.put({
                id,
                service: SERVICE,
                address: `127.0.0.1:${engine}`,
                failureDomain: `domain-${engine % 4}`,
                version: "v1",
                slots: profile.slots,
                isDraining: false,
                startedAtMs: 1,
                sequence: 1,
            });
        }
        const scheduler = new ServiceScheduler({
            service: SERVICE,
            failureDomain: `domain-${index % 4}`,
            clock: this.clock,
            random: this.random,
            candidates: () => pool.openServers(SERVICE),
            mainServers: () => pool.openServers(SERVICE),
            peerDemand: () => peers.demandOf(hashKey(SERVICE)),
            reportIntervalMs: () => this.relayCase.reportIntervalMs,
            nodeCount: () => this.relayCase.nodes,
        });
        return { peers, pool, scheduler };
    }

    /** Tells each node what the others had under way some time ago. */
    private exchangeReports(): void {
        this.sequence += 1;
        const { sequence } = this;
        const ownCalls = this.nodes.map(node => this.engines.map(engine => node.pool.find(engine.id)?.ownCalls ?? 0));
        const demands = this.nodes.map(node => node.scheduler.demand);
        const totalCalls = this.engines.map((engine, engineIndex) =>
            ownCalls.reduce((total, calls) => total + (calls[engineIndex] ?? 0), 0)
        );
        for (const [index, node] of this.nodes.entries()) {
            const { reportAgeMs, reportIntervalMs } = this.relayCase;
            const delayMs = reportAgeMs + (this.random.next() - 1) * reportIntervalMs;
            this.schedule(this.clock.nowMs + Math.max(1, delayMs), () => {
                node.peers.record({
                    ...EMPTY_REPORT,
                    node: "fleet",
                    sequence,
                    heardNodes: this.nodes.length - 1,
                    demands: [{
                        serviceKey: hashKey(SERVICE),
                        ...sumDemands([...demands.slice(0, index), ...demands.slice(index + 1)]),
                    }],
                    serverKeys: this.engines.map(engine => hashKey(engine.id)),
                    serverCalls: totalCalls.map((total, engine) => total - (ownCalls[index]?.[engine] ?? 0)),
                });
                node.scheduler.dispatchWaiting();
            });
        }
        if (this.clock.nowMs >= WARM_UP_MS && this.clock.nowMs < ARRIVAL_DURATION_MS) {
            this.runningCallsSamples += 1;
            this.runningCallsSum += this.engines.reduce((total, engine) => total + engine.runningCalls, 0);
        }
    }

    private handleArrival(call: WorkloadCall, firstArrivalMs: number, isRetry: boolean): void {
        const { kind } = call;
        const nowMs = this.clock.nowMs;
        const route = this.routes.get(kind) ?? makeRoute(kind);
        const remainingMs = firstArrivalMs + kind.deadlineMs - nowMs;
        const node = this.nodes[isRetry ? this.random.nextInt(this.nodes.length) : call.node];
        const abortController = new AbortController();
        const reserved = node?.scheduler.reserveSlot({
            id: String(call.id),
            route,
            workspaceRank: 0,
            arrivedAtMs: nowMs,
            deadlineAtMs: nowMs + remainingMs,
            waitLimits: decideWaitLimits(route, {
                arrivedAtMs: nowMs,
                deadlineMs: remainingMs,
                usualDeadlineMs: kind.deadlineMs,
            }),
            promptTokens: call.promptTokens,
            expectedEvents: call.outputEstimate / this.relayCase.tokensPerEvent,
            promptPartId: undefined,
            excluded: new Set(),
            signal: abortController.signal,
        });
        reserved?.then(
            reservation => this.sendToEngine(call, reservation, firstArrivalMs),
            error => {
                if (!(error instanceof NoSlotError)) {
                    throw error;
                }
                this.handleRefusal(call, firstArrivalMs, isRetry);
            },
        );
    }

    private handleRefusal(call: WorkloadCall, firstArrivalMs: number, isRetry: boolean): void {
        const remainingMs = firstArrivalMs + call.kind.deadlineMs - this.clock.nowMs;
        const retryAfterMs = isRetry ? undefined : decideRetryAfter(remainingMs, this.random);
        if (retryAfterMs !== undefined) {
            this.schedule(this.clock.nowMs + retryAfterMs, () => this.handleArrival(call, firstArrivalMs, true));
            return;
        }
        if (call.atMs >= WARM_UP_MS) {
            this.figuresOf(call).refused += 1;
        }
    }

    private sendToEngine(call: WorkloadCall, reservation: SlotReservation, firstArrivalMs: number): void {
        const { kind } = call;
        const { tokensPerEvent } = this.relayCase;
        const engine = this.engines.find(({ id }) => id === reservation.server.id);
        let firstTokenMs = Infinity;
        let isFinished = false;
        const finish = (outcome: CallOutcome) => {
            isFinished = true;
            reservation.release(outcome);
        };
        this.schedule(this.clock.nowMs + ROUND_TRIP_MS, () => {
            const cancel = engine?.start(this.clock.nowMs, {
                promptTokens: call.promptTokens,
                outputTokens: call.outputTokens,
                onFirstToken: () => {
                    firstTokenMs = this.clock.nowMs - firstArrivalMs;
                    reservation.recordFirstEvent();
                },
                onEnd: longestPauseMs => {
                    reservation.recordEvents(Math.max(1, call.outputTokens / tokensPerEvent - 1));
                    finish(CallOutcome.Good);
                    this.recordCompletion(call, firstTokenMs <= kind.objectiveMs && longestPauseMs <= kind.maxPauseMs);
                },
            });
            const abandon = () => {
                if (!isFinished) {
                    cancel?.();
                    finish(CallOutcome.Neutral);
                    this.recordFailure(call);
                }
            };
            if (cancel === undefined) {
                abandon();
                return;
            }
            const abandonAfterMs = Math.max(
                MIN_ABANDON_MS,
                ABANDON_OBJECTIVE_FACTOR * kind.objectiveMs,
                ABANDON_PAUSE_FACTOR * kind.maxPauseMs,
            );
            this.schedule(this.clock.nowMs + abandonAfterMs, () => {
                if (firstTokenMs === Infinity) {
                    abandon();
                }
            });
            this.schedule(firstArrivalMs + kind.deadlineMs, abandon);
        });
    }

    private recordCompletion(call: WorkloadCall, isInTime: boolean): void {
        if (call.atMs < WARM_UP_MS) {
            return;
        }
        const figures = this.figuresOf(call);
        figures.inTime += isInTime ? 1 : 0;
        figures.late += isInTime ? 0 : 1;
        figures.earnedValue += isInTime ? call.value : call.lateValue;
    }

    private recordFailure(call: WorkloadCall): void {
        if (call.atMs >= WARM_UP_MS) {
            this.figuresOf(call).failed += 1;
        }
    }

    private figuresOf(call: WorkloadCall): KindFigures {
        const figures = this.kinds.get(call.kind.name);
        if (figures === undefined) {
            throw new RangeError(`Cannot count call ${call.id}: kind ${call.kind.name} is unknown`);
        }
        return figures;
    }

    private summarise(): RelayFigures {
        let offeredValue = 0;
        let earnedValue = 0;
        let calls = 0;
        let servedCalls = 0;
        for (const figures of this.kinds.values()) {
            offeredValue += figures.offeredValue;
            earnedValue += figures.earnedValue;
            calls += figures.calls;
            servedCalls += figures.inTime + figures.late;
        }
        const slots = this.engines.length * this.relayCase.slots;
        return {
            kinds: this.kinds,
            earnedShare: earnedValue / offeredValue,
            servedShare: servedCalls / calls,
            utilization: this.runningCallsSum / this.runningCallsSamples / slots,
        };
    }
}

function makeRoute(kind: CallKind): RelayRoute {
    return {
        name: kind.name,
        host: "app.example",
        pathPrefix: `/${kind.name}/`,
        semantics: Semantics.DispatchOnce,
        isStream: true,
        isResumable: false,
        timeoutMs: kind.deadlineMs,
        objectiveMs: kind.objectiveMs,
        maxPauseMs: kind.maxPauseMs,
        rank: kind.rank,
        shares: [{ service: "llm", weight: 1 }],
        maxAttempts: 1,
        isPublic: false,
    };
}
