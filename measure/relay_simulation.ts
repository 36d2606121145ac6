/**
 * Discrete-time simulation of a fleet of relay nodes and engines that runs the relay's own scheduler, without a network.
 *
 * @module
 */

import { sumDemands, WorkspaceShares } from "../src/coordination/allotment/mod.js";
import {
    AttemptOutcome,
    decideRetryAfter,
    decideWaitLimits,
    FairQueueing,
    NoSlotError,
    PeerTable,
    ServerPool,
    ServiceScheduler,
    type SlotReservation,
    toWorkspaceLoads,
    WorkspaceLoadSums,
} from "../src/coordination/relay/mod.js";
import { EMPTY_REPORT, hashKey } from "../src/protocol/relay/mod.js";
import {
    type Clock,
    type RandomSource,
    type RelayRoute,
    type RelayServer,
    SeededRandom,
    Semantics,
} from "../src/state/relay/mod.js";
import { SlotEngine } from "../standin/slot_engine.js";
import { LocalShares } from "./naive/local_shares.js";
import { type CallKind, makeCalls, type RelayCase, type WorkloadCall } from "./relay_workload.js";

/** Duration of the arrivals, in milliseconds. */
const ARRIVAL_DURATION_MS = 24_000;

/** Warm-up in milliseconds; calls that arrive in it are not counted, as the nodes are still learning the engines' speeds. */
const WARM_UP_MS = 3_000;

/** Interval at which nodes dispatch waiting calls, in milliseconds. */
const DISPATCH_INTERVAL_MS = 40;

/** Network round-trip time between a node and an engine, in milliseconds; a call starts at the engine after it. */
const ROUND_TRIP_MS = 3;

/** Speed factors, assigned to the engines in rotation. */
const ENGINE_SPEEDS = [0.55, 1, 2.8];

/** Maximum number of calls that an engine queues beyond its slots. */
const ENGINE_QUEUE_LIMIT = 66;

/** Multiple of the latency objective for which a caller waits at least for the first token. */
const ABANDON_OBJECTIVE_FACTOR = 4;

/** Multiple of the longest acceptable pause for which a caller waits at least for the first token. */
const ABANDON_PAUSE_FACTOR = 8;

/** Minimum time for which a caller waits for the first token, in milliseconds. */
const MIN_ABANDON_MS = 2_000;

/** Service that all calls are routed to. */
const SERVICE = "llm";

/** How the nodes divide slots among workspaces. */
export enum ShareRule {
    /** Not at all. */
    None = "none",
    /** By what each node sees itself. */
    Local = "local",
    /** By the reports of all nodes. */
    Reports = "reports",
}

/** Span of time in which the calls of each workspace are counted, in milliseconds. */
export interface MeasuredSpan {
    readonly fromMs: number;
    readonly untilMs: number;
}

/** Outcomes and value of the calls of one kind. */
export interface KindFigures {
    calls: number;
    /** Calls that were answered within their objectives. */
    inTime: number;
    /** Calls that were answered completely, but outside their objectives. */
    late: number;
    refused: number;
    /** Time until refusal of the refused attempts, in milliseconds, and their number. */
    refusalMs: number;
    refusals: number;
    /** Calls that their callers abandoned, or that the engine rejected. */
    failed: number;
    offeredValue: number;
    earnedValue: number;
}

/** Figures of one simulation. */
export interface RelayFigures {
    readonly kinds: ReadonlyMap<string, KindFigures>;
    /** Figures by workspace and kind, of calls that arrive in the measured span. */
    readonly workspaces: ReadonlyMap<string, ReadonlyMap<string, KindFigures>>;
    /** Value earned as a share of the value offered. */
    readonly earnedShare: number;
    /** Share of the calls that were answered, in time or late. */
    readonly servedShare: number;
    /** Mean share of the engines' slots in use. */
    readonly utilization: number;
}

/** Clock that the simulation advances. */
class SimulationClock implements Clock {
    nowMs = 0;

    now(): number {
        return this.nowMs;
    }

    sleep(): Promise<boolean> {
        throw new Error("Cannot sleep: the simulation advances this clock in steps");
    }
}

/** Action scheduled for a point in simulated time. */
interface SimulationEvent {
    readonly atMs: number;
    readonly run: () => void;
}

/** Scheduler of one relay node with its view of peers and engines. */
interface SimulatedNode {
    readonly peers: PeerTable;
    readonly pool: ServerPool;
    readonly scheduler: ServiceScheduler;
    readonly shares: WorkspaceShares | undefined;
}

/** Peer table with perfect, current knowledge of the calls at each engine: an upper bound for any exchange of reports. */
class OraclePeerTable extends PeerTable {
    /** Returns the node's own calls at an engine, by the engine's id. */
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

/** Simulates one case. */
export class RelaySimulation {
    private readonly clock = new SimulationClock();
    private readonly random: RandomSource;
    private readonly engines: SlotEngine[] = [];
    private readonly nodes: SimulatedNode[] = [];
    private readonly events = new Map<number, SimulationEvent[]>();
    private readonly kinds = new Map<string, KindFigures>();
    private readonly workspaceFigures = new Map<string, Map<string, KindFigures>>();
    private readonly routes = new Map<CallKind, RelayRoute>();
    /** Functions that break off the calls at each engine. */
    private readonly openCalls = new Map<string, Set<() => void>>();
    private sequence = 0;
    private runningCallsSum = 0;
    private runningCallsSamples = 0;

    /**
     * @param relayCase Fleet and workload.
     * @param seed Seed of the random number generator.
     * @param shareRule How the nodes divide slots among workspaces.
     * @param span Span in which the calls of each workspace are counted.
     */
    constructor(
        private readonly relayCase: RelayCase,
        seed: number,
        private readonly shareRule = ShareRule.None,
        private readonly span: MeasuredSpan = { fromMs: 0, untilMs: 0 },
    ) {
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
            this.kinds.set(kind.name, noFigures());
        }
    }

    /** Runs the simulation until the deadline of every call has passed. */
    async run(): Promise<RelayFigures> {
        for (const call of makeCalls(this.relayCase, ARRIVAL_DURATION_MS, this.random)) {
            this.schedule(call.atMs, () => this.handleArrival(call, call.atMs, false));
            for (const figures of this.figuresOf(call)) {
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
        this.applyOutage(ms);
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
            pool.put(makeServer(engine, id, profile.slots));
        }
        const shares = this.makeShares();
        const scheduler = new ServiceScheduler({
            service: SERVICE,
            failureDomain: `domain-${index % 4}`,
            clock: this.clock,
            random: this.random,
            candidates: () => pool.openServers(SERVICE),
            mainServers: () => pool.openServers(SERVICE),
            peerDemand: () => peers.demandOf(hashKey(SERVICE)),
            reportIntervalMs: () => this.relayCase.reportIntervalMs,
            isOutOfReach: () => false,
            fairQueueing: shares && new FairQueueing({
                clock: this.clock,
                random: this.random,
                shares,
                peerLoads: () => peers.workspaceLoadsOf(hashKey(SERVICE)),
                unreachableShare: () => 0,
                reportIntervalMs: () => this.relayCase.reportIntervalMs,
            }),
            nodeCount: () => this.relayCase.nodes,
        });
        return { peers, pool, scheduler, shares };
    }

    private makeShares(): WorkspaceShares | undefined {
        const settings = { service: SERVICE, clock: this.clock, onChange: () => undefined };
        if (this.shareRule === ShareRule.None) {
            return undefined;
        }
        return this.shareRule === ShareRule.Local ?
            new LocalShares(settings, this.relayCase.nodes) :
            new WorkspaceShares(settings);
    }

    /** Stops and restarts the engines of the outage; their calls break. */
    private applyOutage(ms: number): void {
        const { outage } = this.relayCase;
        if (outage === undefined || ms !== outage.fromMs && ms !== outage.untilMs) {
            return;
        }
        for (const [index, { id, profile }] of this.engines.entries()) {
            if (index % outage.everyEngines !== 0) {
                continue;
            }
            for (const node of this.nodes) {
                if (ms === outage.fromMs) {
                    node.pool.remove(id);
                }
                else {
                    node.pool.put(makeServer(index, id, profile.slots));
                }
            }
            for (const abandon of ms === outage.fromMs ? this.openCalls.get(id) ?? [] : []) {
                abandon();
            }
        }
    }

    /** Delivers to each node, with a delay, the in-flight calls and demand of the other nodes. */
    private exchangeReports(): void {
        this.sequence += 1;
        const { sequence } = this;
        const ownCalls = this.nodes.map(node => this.engines.map(engine => node.pool.find(engine.id)?.ownCalls ?? 0));
        const demands = this.nodes.map(node => node.scheduler.demand);
        const loads = this.nodes.map(({ shares }) => {
            const reported = shares?.reported();
            return reported === undefined ? [] : [toWorkspaceLoads(hashKey(SERVICE), reported)];
        });
        const loadSums = new WorkspaceLoadSums();
        loadSums.add(loads.flat());
        const totalLoads = loadSums.messages();
        const totalCalls = this.engines.map((engine, engineIndex) =>
            ownCalls.reduce((total, calls) => total + (calls[engineIndex] ?? 0), 0)
        );
        for (const [index, node] of this.nodes.entries()) {
            const { reportAgeMs, reportIntervalMs } = this.relayCase;
            const peerLoads = new WorkspaceLoadSums();
            peerLoads.add(totalLoads);
            peerLoads.subtract(loads[index] ?? []);
            const delayMs = reportAgeMs + (this.random.next() - 1) * reportIntervalMs;
            this.schedule(this.clock.nowMs + Math.max(1, delayMs), () => {
                node.peers.record({
                    ...EMPTY_REPORT,
                    node: "fleet",
                    sequence,
                    heardNodes: this.nodes.length - 1,
                    workspaceLoads: peerLoads.messages(),
                    demands: [{
                        serviceKey: hashKey(SERVICE),
                        aboveShareCalls: 0,
                        aboveShareArrivalsPerSecond: 0,
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
            workspace: call.workspace,
            arrivedAtMs: nowMs,
            deadlineAtMs: nowMs + remainingMs,
            waitLimits: decideWaitLimits(route, {
                arrivedAtMs: nowMs,
                deadlineMs: remainingMs,
                firstAttemptDeadlineMs: kind.deadlineMs,
            }),
            promptTokens: call.promptTokens,
            expectedEvents: call.outputEstimate / this.relayCase.tokensPerEvent,
            promptPartId: undefined,
            mayLeave: () => false,
            excludedServers: new Set(),
            signal: abortController.signal,
            isTooLateForStop: () => false,
        });
        reserved?.then(
            reservation => this.sendToEngine(call, reservation, firstArrivalMs),
            error => {
                if (!(error instanceof NoSlotError)) {
                    throw error;
                }
                this.handleRefusal(call, firstArrivalMs, isRetry, nowMs, error.retryAtMs ?? 0);
            },
        );
    }

    private handleRefusal(
        call: WorkloadCall,
        firstArrivalMs: number,
        isRetry: boolean,
        arrivedAtMs: number,
        retryAtMs: number,
    ): void {
        for (const figures of this.figuresOf(call)) {
            figures.refusals += 1;
            figures.refusalMs += this.clock.nowMs - arrivedAtMs;
        }
        const remainingMs = firstArrivalMs + call.kind.deadlineMs - this.clock.nowMs;
        const retryAfterMs = isRetry ?
            undefined :
            decideRetryAfter({ remainingMs, earliestMs: retryAtMs - this.clock.nowMs }, this.random);
        if (retryAfterMs !== undefined) {
            this.schedule(this.clock.nowMs + retryAfterMs, () => this.handleArrival(call, firstArrivalMs, true));
            return;
        }
        for (const figures of this.figuresOf(call)) {
            figures.refused += 1;
        }
    }

    private sendToEngine(call: WorkloadCall, reservation: SlotReservation, firstArrivalMs: number): void {
        const { kind } = call;
        const { tokensPerEvent } = this.relayCase;
        const engine = this.engines.find(({ id }) => id === reservation.server.id);
        const openCalls = this.openCalls.get(reservation.server.id) ?? new Set<() => void>();
        this.openCalls.set(reservation.server.id, openCalls);
        let firstTokenMs = Infinity;
        let isFinished = false;
        const finish = (outcome: AttemptOutcome) => {
            isFinished = true;
            openCalls.delete(abandon);
            reservation.release(outcome);
        };
        let cancel: (() => void) | undefined;
        const abandon = () => {
            if (!isFinished) {
                cancel?.();
                finish(AttemptOutcome.Neutral);
                this.recordFailure(call);
            }
        };
        openCalls.add(abandon);
        this.schedule(this.clock.nowMs + ROUND_TRIP_MS, () => {
            if (isFinished) {
                return;
            }
            cancel = engine?.start(this.clock.nowMs, {
                promptTokens: call.promptTokens,
                outputTokens: call.outputTokens,
                onFirstToken: () => {
                    firstTokenMs = this.clock.nowMs - firstArrivalMs;
                    reservation.recordFirstEvent();
                },
                onEnd: longestPauseMs => {
                    reservation.recordEvents(Math.max(1, call.outputTokens / tokensPerEvent - 1));
                    finish(AttemptOutcome.Good);
                    this.recordCompletion(call, firstTokenMs <= kind.objectiveMs && longestPauseMs <= kind.maxPauseMs);
                },
            });
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
        for (const figures of this.figuresOf(call)) {
            figures.inTime += isInTime ? 1 : 0;
            figures.late += isInTime ? 0 : 1;
            figures.earnedValue += isInTime ? call.value : call.lateValue;
        }
    }

    private recordFailure(call: WorkloadCall): void {
        for (const figures of this.figuresOf(call)) {
            figures.failed += 1;
        }
    }

    /** @returns Figures in which a call counts. */
    private figuresOf({ atMs, kind, workspace }: WorkloadCall): readonly KindFigures[] {
        const figures = this.kinds.get(kind.name);
        if (figures === undefined || atMs < WARM_UP_MS) {
            return [];
        }
        if (atMs < this.span.fromMs || atMs >= this.span.untilMs) {
            return [figures];
        }
        const byKind = this.workspaceFigures.get(workspace) ?? new Map<string, KindFigures>();
        this.workspaceFigures.set(workspace, byKind);
        const workspaceFigures = byKind.get(kind.name) ?? noFigures();
        byKind.set(kind.name, workspaceFigures);
        return [figures, workspaceFigures];
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
            workspaces: this.workspaceFigures,
            earnedShare: earnedValue / offeredValue,
            servedShare: servedCalls / calls,
            utilization: this.runningCallsSum / this.runningCallsSamples / slots,
        };
    }
}

function noFigures(): KindFigures {
    return { calls: 0, inTime: 0, late: 0, refused: 0, refusalMs: 0, refusals: 0, failed: 0, offeredValue: 0, earnedValue: 0 };
}

function makeServer(index: number, id: string, slots: number): RelayServer {
    return {
        id,
        service: SERVICE,
        address: `127.0.0.1:${index}`,
        failureDomain: `domain-${index % 4}`,
        version: "v1",
        slots,
        isDraining: false,
        startedAtMs: 1,
        sequence: 1,
        warmUpMs: 0,
    };
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
