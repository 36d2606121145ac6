/**
 * Nodes that divide slots among workspaces, with servers of fixed speed and reports in memory, under a virtual clock.
 *
 * @module
 */

import { WorkspaceShares } from "../../src/coordination/allotment/mod.js";
import {
    AttemptOutcome,
    decideRetryAfter,
    decideWaitLimits,
    FairQueueing,
    NoSlotError,
    PeerTable,
    ServerPool,
    ServiceScheduler,
    toWorkspaceLoads,
} from "../../src/coordination/relay/mod.js";
import { EMPTY_REPORT, hashKey, PeerReport } from "../../src/protocol/relay/mod.js";
import { type RelayRoute, type RelayServer, SeededRandom, Semantics } from "../../src/state/relay/mod.js";
import { VirtualClock } from "../../standin/virtual_clock.js";

/** Service of all calls. */
export const SERVICE = "s";

const NODES = 8;
const SERVERS = 16;
const SLOTS_PER_SERVER = 8;

/** Time for which a call holds its slot, in milliseconds. */
const CALL_MS = 500;

/** Interval of the reports, delay of a report, and step of the arrivals and dispatches, in milliseconds. */
const REPORT_INTERVAL_MS = 100;
const REPORT_DELAY_MS = 5;
const STEP_MS = 10;

const OBJECTIVE_MS = 600;
const DEADLINE_MS = 8_000;

/** Outcomes of the calls of one workspace or class. */
export interface CallerFigures {
    calls: number;
    served: number;
    inTime: number;
    refusals: number;
    refusalMs: number;
    retryAfterMs: number[];
}

interface FleetNode {
    readonly name: string;
    readonly peers: PeerTable;
    readonly pool: ServerPool;
    readonly scheduler: ServiceScheduler;
    readonly shares: WorkspaceShares;
    readonly startedAtMs: number;
    sequence: number;
}

/** Call of a caller; a retry has the same first arrival. */
interface CallerCall {
    readonly workspace: string;
    readonly rank: number;
    readonly node: number;
    readonly firstArrivalMs: number;
}

/** Fleet with callers of several workspaces. */
export class ShareFleet {
    readonly clock = new VirtualClock();
    /** Arrivals per second, by workspace. */
    readonly rates = new Map<string, number>();
    /** Outcomes since {@linkcode resetFigures}, by workspace, and by workspace and rank: `w0`, `w0 rank 1`. */
    readonly figures = new Map<string, CallerFigures>();
    /** Share of the reports that are lost. */
    lossProbability = 0;
    /** Node that is cut off from the others' reports. */
    cutOffNode: number | undefined;
    /** Largest number of bytes that a report spent on the loads of workspaces. */
    largestLoadBytes = 0;
    private readonly random: SeededRandom;
    private readonly nodes: FleetNode[] = [];
    private readonly slotsFreeAtMs = new Map<string, number[]>();
    private readonly downServers = new Set<string>();
    private stepCount = 0;

    /** @param seed Seed of the arrivals and of the nodes' decisions. */
    constructor(seed = 7) {
        this.random = new SeededRandom(seed);
        for (let index = 0; index < NODES; index += 1) {
            this.nodes.push(this.makeNode(index));
        }
    }

    /** Starts a node again without any state. */
    restartNode(index: number): void {
        this.nodes[index] = this.makeNode(index);
    }

    /** Stops every fourth server. */
    stopQuarterOfServers(): void {
        for (let index = 0; index < SERVERS; index += 4) {
            this.downServers.add(`server-${index}`);
            for (const { pool } of this.nodes) {
                pool.remove(`server-${index}`);
            }
        }
    }

    /** Forgets the outcomes so far; calls that are open count from then on only if they were counted as arrived. */
    resetFigures(): void {
        this.figures.clear();
    }

    /** Lets time pass, in milliseconds. */
    async run(durationMs: number): Promise<void> {
        for (let passedMs = 0; passedMs < durationMs; passedMs += STEP_MS) {
            this.stepCount += 1;
            this.sendArrivals();
            if (this.stepCount % (REPORT_INTERVAL_MS / STEP_MS) === 0) {
                this.exchangeReports();
            }
            for (const { scheduler } of this.nodes) {
                scheduler.dispatchWaiting();
            }
            await this.clock.advance(STEP_MS);
        }
    }

    /** Outcomes under a name, see {@linkcode figures}. */
    of(name: string): CallerFigures {
        const known = this.figures.get(name) ?? { calls: 0, served: 0, inTime: 0, refusals: 0, refusalMs: 0, retryAfterMs: [] };
        this.figures.set(name, known);
        return known;
    }

    private makeNode(index: number): FleetNode {
        const { clock, random } = this;
        const peers = new PeerTable(clock);
        const pool = new ServerPool(clock, peers);
        for (let server = 0; server < SERVERS; server += 1) {
            if (!this.downServers.has(`server-${server}`)) {
                pool.put(makeServer(server));
            }
        }
        const shares = new WorkspaceShares({ service: SERVICE, clock, onChange: () => undefined });
        const scheduler = new ServiceScheduler({
            service: SERVICE,
            failureDomain: "domain-0",
            clock,
            random,
            candidates: () => pool.openServers(SERVICE),
            mainServers: () => pool.openServers(SERVICE),
            peerDemand: () => peers.demandOf(hashKey(SERVICE)),
            reportIntervalMs: () => REPORT_INTERVAL_MS,
            nodeCount: () => NODES,
            isOutOfReach: () => false,
            fairQueueing: new FairQueueing({
                clock,
                random,
                shares,
                peerLoads: () => peers.workspaceLoadsOf(hashKey(SERVICE)),
                unreachableShare: () => peers.unreachableShare(),
                reportIntervalMs: () => REPORT_INTERVAL_MS,
            }),
        });
        return { name: `node-${index}`, peers, pool, scheduler, shares, startedAtMs: clock.now(), sequence: 0 };
    }

    private sendArrivals(): void {
        for (const [workspace, perSecond] of this.rates) {
            const expected = perSecond * STEP_MS / 1_000;
            const count = Math.floor(expected) + (this.random.next() < expected % 1 ? 1 : 0);
            for (let index = 0; index < count; index += 1) {
                const rank = this.random.nextInt(2);
                this.sendCall({ workspace, rank, node: this.random.nextInt(NODES), firstArrivalMs: this.clock.now() });
            }
        }
    }

    private sendCall(call: CallerCall): void {
        const names = [call.workspace, `${call.workspace} rank ${call.rank}`];
        for (const name of names) {
            this.of(name).calls += 1;
        }
        void this.attempt(call, names.map(name => this.of(name)), false);
    }

    private async attempt(call: CallerCall, figures: readonly CallerFigures[], isRetry: boolean): Promise<void> {
        const arrivedAtMs = this.clock.now();
        const deadlineMs = call.firstArrivalMs + DEADLINE_MS - arrivedAtMs;
        const route = makeRoute(call.rank);
        try {
            const slot = await this.nodes[call.node]?.scheduler.reserveSlot({
                id: "call",
                route,
                workspaceRank: 0,
                workspace: call.workspace,
                arrivedAtMs,
                deadlineAtMs: arrivedAtMs + deadlineMs,
                waitLimits: decideWaitLimits(route, { arrivedAtMs, deadlineMs, firstAttemptDeadlineMs: DEADLINE_MS }),
                promptTokens: 10,
                expectedEvents: 1,
                promptPartId: undefined,
                excludedServers: new Set(),
                mayLeave: () => false,
                signal: new AbortController().signal,
                isTooLateForStop: () => false,
            });
            await this.clock.sleep(this.occupySlot(slot?.server.id ?? ""));
            slot?.recordFirstEvent();
            slot?.release(AttemptOutcome.Good);
            const isInTime = this.clock.now() - CALL_MS - call.firstArrivalMs <= OBJECTIVE_MS;
            for (const counted of figures) {
                counted.served += 1;
                counted.inTime += isInTime ? 1 : 0;
            }
        }
        catch (error) {
            if (!(error instanceof NoSlotError)) {
                throw error;
            }
            const now = this.clock.now();
            const remainingMs = call.firstArrivalMs + DEADLINE_MS - now;
            const retryAfterMs = decideRetryAfter({ remainingMs, earliestMs: (error.retryAtMs ?? 0) - now }, this.random);
            for (const counted of figures) {
                counted.refusals += 1;
                counted.refusalMs += now - arrivedAtMs;
                counted.retryAfterMs.push(retryAfterMs ?? 0);
            }
            if (!isRetry && retryAfterMs !== undefined) {
                await this.clock.sleep(retryAfterMs);
                await this.attempt(call, figures, true);
            }
        }
    }

    /** Queues a call at a server. @returns Time until its end, in milliseconds. */
    private occupySlot(server: string): number {
        const now = this.clock.now();
        const freeAtMs = this.slotsFreeAtMs.get(server) ?? new Array<number>(SLOTS_PER_SERVER).fill(0);
        this.slotsFreeAtMs.set(server, freeAtMs);
        const slot = freeAtMs.indexOf(Math.min(...freeAtMs));
        const endMs = Math.max(now, freeAtMs[slot] ?? 0) + CALL_MS;
        freeAtMs[slot] = endMs;
        return endMs - now;
    }

    private exchangeReports(): void {
        for (const [index, node] of this.nodes.entries()) {
            node.sequence += 1;
            const { name, pool, scheduler, shares, startedAtMs, sequence } = node;
            const loads = shares.reported();
            const workspaceLoads = loads === undefined ? [] : [toWorkspaceLoads(hashKey(SERVICE), loads)];
            const servers = [...pool.all()];
            const bytes = PeerReport.encode({
                ...EMPTY_REPORT,
                node: name,
                startedAtMs,
                sequence,
                heardNodes: 1,
                serverKeys: servers.map(state => hashKey(state.server.id)),
                serverCalls: servers.map(state => state.ownCalls),
                demands: [{
                    serviceKey: hashKey(SERVICE),
                    aboveShareCalls: 0,
                    aboveShareArrivalsPerSecond: 0,
                    ...scheduler.demand,
                }],
                workspaceLoads,
            }).finish();
            this.largestLoadBytes = Math.max(
                this.largestLoadBytes,
                PeerReport.encode({ ...EMPTY_REPORT, workspaceLoads }).finish().length,
            );
            for (const [receiver, { peers }] of this.nodes.entries()) {
                const isCut = (receiver === this.cutOffNode) !== (index === this.cutOffNode);
                if (receiver !== index && !isCut && this.random.next() >= this.lossProbability) {
                    void this.clock.sleep(REPORT_DELAY_MS).then(() => peers.record(PeerReport.decode(bytes)));
                }
            }
            node.peers.expire();
        }
    }
}

function makeServer(index: number): RelayServer {
    return {
        id: `server-${index}`,
        service: SERVICE,
        address: `127.0.0.1:${index}`,
        failureDomain: "domain-0",
        version: "v1",
        slots: SLOTS_PER_SERVER,
        isDraining: false,
        startedAtMs: 1,
        sequence: 1,
        warmUpMs: 0,
    };
}

function makeRoute(rank: number): RelayRoute {
    return {
        name: `rank-${rank}`,
        host: "app.example",
        pathPrefix: "/",
        semantics: Semantics.DispatchOnce,
        isStream: true,
        isResumable: false,
        timeoutMs: DEADLINE_MS,
        objectiveMs: OBJECTIVE_MS,
        maxPauseMs: undefined,
        rank,
        shares: [{ service: SERVICE, weight: 1 }],
        maxAttempts: 1,
        isPublic: false,
    };
}
