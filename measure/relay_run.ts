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
const DURATION_MS = 24_000;

/** Calls that arrive before this time are not counted, in milliseconds: nodes learn the engines' speeds. */
const WARM_UP_MS = 3_000;

/** Interval at which nodes look at their queues, in milliseconds. */
const TICK_MS = 40;

/** Time to an engine and back, in milliseconds. */
const ROUND_TRIP_MS = 3;

/** Speeds of the engines, in turn. */
const SPEEDS = [0.55, 1, 2.8];

/** Calls that an engine queues beyond its slots. */
const ENGINE_QUEUE = 66;

/** Objectives without an event after which a caller leaves. */
const LEAVE_OBJECTIVES = 4;

/** Longest pauses without an event after which a caller leaves. */
const LEAVE_PAUSES = 8;

/** Time without an event within which no caller leaves, in milliseconds. */
const MIN_LEAVE_MS = 2_000;

/** Service of all calls. */
const SERVICE = "llm";

/** What callers of one kind got. */
export interface KindFigures {
    calls: number;
    inTime: number;
    late: number;
    refused: number;
    failed: number;
    worth: number;
    earned: number;
}

/** Figures of one run. */
export interface RelayFigures {
    readonly kinds: ReadonlyMap<string, KindFigures>;
    /** Worth earned against worth owed. */
    readonly earned: number;
    /** Share of calls that were served at all. */
    readonly served: number;
    /** Part of the engines' slots that were taken on average. */
    readonly busy: number;
}

/** Clock that the run moves. */
class RunClock implements Clock {
    nowMs = 0;

    now(): number {
        return this.nowMs;
    }

    sleep(): Promise<boolean> {
        throw new Error("Cannot sleep: the run moves this clock by events");
    }
}

/** Something that happens at a time. */
interface RunEvent {
    readonly atMs: number;
    readonly run: () => void;
}

/** Node with what it knows. */
interface RunNode {
    readonly peers: PeerTable;
    readonly pool: ServerPool;
    readonly scheduler: ServiceScheduler;
}

/** Knows at any moment what is at each engine; the best that reports could do. */
class InstantPeerTable extends PeerTable {
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
export class RelayRun {
    private readonly clock = new RunClock();
    private readonly random: RandomSource;
    private readonly engines: SlotEngine[] = [];
    private readonly nodes: RunNode[] = [];
    private readonly events = new Map<number, RunEvent[]>();
    private readonly kinds = new Map<string, KindFigures>();
    private readonly routes = new Map<CallKind, RelayRoute>();
    private sequence = 0;
    private busySum = 0;
    private ticks = 0;

    /**
     * @param relayCase Fleet and calls.
     * @param seed Seed of all random numbers.
     */
    constructor(private readonly relayCase: RelayCase, seed: number) {
        this.random = new SeededRandom(seed);
        const { engines, nodes, kinds } = relayCase;
        for (let index = 0; index < engines; index += 1) {
            const speed = SPEEDS[index % SPEEDS.length] ?? 1;
            this.engines.push(new SlotEngine(`engine-${index}`, { ...relayCase, queueLimit: ENGINE_QUEUE, speed }));
        }
        for (let index = 0; index < nodes; index += 1) {
            this.nodes.push(this.makeNode(index));
        }
        for (const kind of kinds) {
            this.routes.set(kind, makeRoute(kind));
            this.kinds.set(kind.name, { calls: 0, inTime: 0, late: 0, refused: 0, failed: 0, worth: 0, earned: 0 });
        }
    }

    /** Plays the case to its end. */
    async play(): Promise<RelayFigures> {
        for (const call of makeCalls(this.relayCase, DURATION_MS, this.random)) {
            this.at(call.atMs, () => this.arrive(call, call.atMs, false));
            if (call.atMs >= WARM_UP_MS) {
                const figures = this.figuresOf(call);
                figures.calls += 1;
                figures.worth += call.worth;
            }
        }
        const lastMs = DURATION_MS + Math.max(...this.relayCase.kinds.map(kind => kind.deadlineMs));
        for (let ms = 0; ms <= lastMs; ms += 1) {
            await this.playMillisecond(ms);
        }
        return this.sum();
    }

    private async playMillisecond(ms: number): Promise<void> {
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
        if (ms % TICK_MS === 0) {
            for (const node of this.nodes) {
                node.scheduler.dispatchWaiting();
            }
        }
        if (ms % this.relayCase.reportIntervalMs === 0) {
            this.report();
        }
        await Promise.resolve();
        await Promise.resolve();
    }

    private at(atMs: number, run: () => void): void {
        const ms = Math.max(Math.ceil(atMs), this.clock.nowMs + 1);
        const list = this.events.get(ms) ?? [];
        list.push({ atMs, run });
        this.events.set(ms, list);
    }

    private makeNode(index: number): RunNode {
        const peers = this.relayCase.reportAgeMs > 0 ? new PeerTable(this.clock) : new InstantPeerTable(this.clock, this.engines);
        const pool = new ServerPool(this.clock, peers);
        if (peers instanceof InstantPeerTable) {
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
    private report(): void {
        this.sequence += 1;
        const { sequence } = this;
        const own = this.nodes.map(node => this.engines.map(engine => node.pool.find(engine.id)?.ownCalls ?? 0));
        const demands = this.nodes.map(node => node.scheduler.demand);
        const sums = this.engines.map((engine, at) => own.reduce((sum, calls) => sum + (calls[at] ?? 0), 0));
        for (const [index, node] of this.nodes.entries()) {
            const { reportAgeMs, reportIntervalMs } = this.relayCase;
            const delayMs = reportAgeMs + (this.random.next() - 1) * reportIntervalMs;
            this.at(this.clock.nowMs + Math.max(1, delayMs), () => {
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
                    serverCalls: sums.map((sum, engine) => sum - (own[index]?.[engine] ?? 0)),
                });
                node.scheduler.dispatchWaiting();
            });
        }
        if (this.clock.nowMs >= WARM_UP_MS && this.clock.nowMs < DURATION_MS) {
            this.ticks += 1;
            this.busySum += this.engines.reduce((sum, engine) => sum + engine.runningCalls, 0);
        }
    }

    private arrive(call: WorkloadCall, firstAtMs: number, hasReturned: boolean): void {
        const { kind } = call;
        const now = this.clock.nowMs;
        const route = this.routes.get(kind) ?? makeRoute(kind);
        const leftMs = firstAtMs + kind.deadlineMs - now;
        const node = this.nodes[hasReturned ? this.random.nextInt(this.nodes.length) : call.node];
        const ended = new AbortController();
        const assigned = node?.scheduler.reserveSlot({
            id: String(call.id),
            route,
            workspaceRank: 0,
            arrivedAtMs: now,
            deadlineAtMs: now + leftMs,
            waitLimits: decideWaitLimits(route, { arrivedAtMs: now, deadlineMs: leftMs, usualDeadlineMs: kind.deadlineMs }),
            promptTokens: call.promptTokens,
            expectedEvents: call.outputEstimate / this.relayCase.tokensPerEvent,
            promptPartId: undefined,
            excluded: new Set(),
            signal: ended.signal,
        });
        assigned?.then(
            place => this.send(call, place, firstAtMs),
            error => {
                if (!(error instanceof NoSlotError)) {
                    throw error;
                }
                this.refuse(call, firstAtMs, hasReturned);
            },
        );
    }

    private refuse(call: WorkloadCall, firstAtMs: number, hasReturned: boolean): void {
        const leftMs = firstAtMs + call.kind.deadlineMs - this.clock.nowMs;
        const returnMs = hasReturned ? undefined : decideRetryAfter(leftMs, this.random);
        if (returnMs !== undefined) {
            this.at(this.clock.nowMs + returnMs, () => this.arrive(call, firstAtMs, true));
            return;
        }
        if (call.atMs >= WARM_UP_MS) {
            this.figuresOf(call).refused += 1;
        }
    }

    private send(call: WorkloadCall, place: SlotReservation, firstAtMs: number): void {
        const { kind } = call;
        const { tokensPerEvent } = this.relayCase;
        const engine = this.engines.find(({ id }) => id === place.server.id);
        let firstMs = Infinity;
        let isOver = false;
        const finish = (outcome: CallOutcome) => {
            isOver = true;
            place.release(outcome);
        };
        this.at(this.clock.nowMs + ROUND_TRIP_MS, () => {
            const stop = engine?.start(this.clock.nowMs, {
                promptTokens: call.promptTokens,
                outputTokens: call.outputTokens,
                onFirstToken: () => {
                    firstMs = this.clock.nowMs - firstAtMs;
                    place.recordFirstEvent();
                },
                onEnd: longestPauseMs => {
                    place.recordEvents(Math.max(1, call.outputTokens / tokensPerEvent - 1));
                    finish(CallOutcome.Good);
                    this.count(call, firstMs <= kind.objectiveMs && longestPauseMs <= kind.maxPauseMs);
                },
            });
            const leave = () => {
                if (!isOver) {
                    stop?.();
                    finish(CallOutcome.Neutral);
                    this.fail(call);
                }
            };
            if (stop === undefined) {
                leave();
                return;
            }
            const patienceMs = Math.max(MIN_LEAVE_MS, LEAVE_OBJECTIVES * kind.objectiveMs, LEAVE_PAUSES * kind.maxPauseMs);
            this.at(this.clock.nowMs + patienceMs, () => {
                if (firstMs === Infinity) {
                    leave();
                }
            });
            this.at(firstAtMs + kind.deadlineMs, leave);
        });
    }

    private count(call: WorkloadCall, isInTime: boolean): void {
        if (call.atMs < WARM_UP_MS) {
            return;
        }
        const figures = this.figuresOf(call);
        figures.inTime += isInTime ? 1 : 0;
        figures.late += isInTime ? 0 : 1;
        figures.earned += isInTime ? call.worth : call.lateWorth;
    }

    private fail(call: WorkloadCall): void {
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

    private sum(): RelayFigures {
        let worth = 0;
        let earned = 0;
        let calls = 0;
        let served = 0;
        for (const figures of this.kinds.values()) {
            worth += figures.worth;
            earned += figures.earned;
            calls += figures.calls;
            served += figures.inTime + figures.late;
        }
        const slots = this.engines.length * this.relayCase.slots;
        return {
            kinds: this.kinds,
            earned: earned / worth,
            served: served / calls,
            busy: this.busySum / this.ticks / slots,
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
