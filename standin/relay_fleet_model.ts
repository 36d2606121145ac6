/**
 * Fleet of relay nodes before modelled backend servers, with the product's decisions and reports, under a virtual clock.
 *
 * @module
 */

import {
    BrittleServers,
    CallFingerprint,
    CallQuarantine,
    ColdRules,
    ColdServers,
    DetourPeers,
    FleetShare,
    fromDetourCall,
    NodeDirectory,
    PeerReporter,
    PeerTable,
    RelayHandler,
    RetryBudget,
    type RolloutRecordFormat,
    type RolloutStateRecord,
    ServerLimits,
    ServerPool,
    ServerReach,
    ServerStatements,
    ServiceScheduler,
    StopDeadline,
    TopicViews,
    VersionRollouts,
    WorkspaceQuota,
} from "../src/coordination/relay/mod.js";
import {
    DetourCall,
    Executed,
    hashKey,
    KeyedLog,
    type KeyedPage,
    type KeyedReadSettings,
    type LocalAnswer,
    type NewestReadSettings,
    PeerLink,
    PeerReport,
    PlatformError,
    type PromptPart,
    RelayAnswer,
    type RelayCall,
    type ReportReceiver,
} from "../src/protocol/relay/mod.js";
import { type RelayRoute, RouteTable, SeededRandom, Semantics, type VersionOrder } from "../src/state/relay/mod.js";
import { type DetourHandler, ModelDetourClient } from "./detour_model.js";
import { type ModelAttempt, ModelClient, ModelServer, type VersionBehavior } from "./engine_behavior_model.js";
import { KeyedLogModel } from "./keyed_log_model.js";
import { ID_HEADER, ModelHeaders } from "./model_headers.js";
import { ServerLinkModel, type ServerLinkState } from "./server_link_model.js";
import { VirtualClock } from "./virtual_clock.js";

/** Computes the fingerprints of calls for all nodes. */
const FINGERPRINT = await CallFingerprint.load();

/** Service of all calls. */
export const FLEET_SERVICE = "service";

/** Host of all calls. */
const HOST = "app.example";

/** Time that a datagram takes between nodes, in milliseconds. */
const DATAGRAM_MS = 2;

/** Interval at which nodes dispatch waiting calls, in milliseconds. */
const MAINTENANCE_MS = 40;

/** Longest time for which a caller waits for an event, in milliseconds. */
const CALLER_PATIENCE_MS = 3_200;

/** Time until the entry of a crashed server is removed, in milliseconds. */
const DETECTION_MS = 1_000;

/** Window of the retry budget, in milliseconds. */
const RETRY_WINDOW_MS = 10_000;

/** Topic of the rollout states. */
const STATE_TOPIC = "keyed.status";

/** Kind of calls in the model. */
export interface ModelTraffic {
    readonly callsPerSecond: number;
    /** Most events of an answer; 0 for answers that are not streams. */
    readonly mostEvents: number;
    readonly promptTokens: number;
    readonly deadlineMs: number;
    /** Time between events of each server of a version without load, in milliseconds. */
    readonly intervalsMs: readonly number[];
    readonly slots: number;
}

/** Outcome of a call as its caller saw it. */
export interface ModelOutcome {
    readonly call: RelayCall;
    /** Index of the node that the caller sent the call to. */
    readonly node: number;
    /** Status; 0 when the connection ended without a complete answer. */
    readonly status: number;
    readonly isComplete: boolean;
    /** Text of an answer that the node generated. */
    readonly text: string;
    /** Time after which the node asks the caller to retry, in milliseconds. */
    readonly retryAfterMs: number | undefined;
    readonly endedAtMs: number;
}

/** Node of the fleet. */
interface FleetNode {
    readonly name: string;
    readonly peers: PeerTable;
    readonly pool: ServerPool;
    readonly scheduler: ServiceScheduler;
    readonly reach: ServerReach;
    readonly rollouts: VersionRollouts;
    readonly reporter: PeerReporter;
    readonly handler: RelayHandler;
    readonly log: SeveredLog;
    /** Links to the backend servers; they outlive the node's process. */
    readonly link: ServerLinkModel;
    readonly stopped: AbortController;
}

/** Log as one node reaches it. */
class SeveredLog extends KeyedLog {
    /** Whether the node reaches the log. */
    isReachable = true;

    constructor(private readonly log: KeyedLogModel, private readonly clock: VirtualClock) {
        super();
    }

    override async readNewest(topic: string, settings?: NewestReadSettings): Promise<KeyedPage> {
        await this.check(`read ${topic}`);
        return this.log.readNewest(topic, settings);
    }

    override async read(topic: string, fromOffset: number, settings?: KeyedReadSettings): Promise<KeyedPage> {
        await this.check(`read ${topic}`);
        return this.log.read(topic, fromOffset, settings);
    }

    override async append(topic: string, key: string, value: Uint8Array, endOffset?: number): Promise<number> {
        await this.check(`append to ${topic}`);
        return this.log.append(topic, key, value, endOffset);
    }

    private async check(step: string): Promise<void> {
        if (!this.isReachable) {
            await this.clock.sleep(1_000);
            throw new PlatformError(step, "model", Executed.No, new Error("timeout"));
        }
    }
}

/** Delivers the reports of one node. */
class ModelLink extends PeerLink {
    constructor(private readonly fleet: RelayFleetModel, private readonly sender: string) {
        super();
    }

    override send(report: PeerReport, receivers: Iterable<ReportReceiver>): void {
        const bytes = PeerReport.encode(report).finish();
        for (const { address } of receivers) {
            void this.fleet.clock.sleep(DATAGRAM_MS).then(() => this.fleet.deliver(this.sender, address, bytes));
        }
    }
}

/** Answer that records what the caller gets. */
class ModelCaller extends RelayAnswer {
    readonly gone = new AbortController();
    isStarted = false;
    private lastEventAtMs: number;
    private isEnded = false;

    constructor(
        private readonly clock: VirtualClock,
        private readonly onEnd: (status: number, isComplete: boolean, answer: Partial<LocalAnswer>) => void,
    ) {
        super();
        this.lastEventAtMs = clock.now();
        void this.watch();
    }

    override sendComplete(status: number): void {
        this.finish(status, true);
    }

    override start(): void {
        this.isStarted = true;
        this.lastEventAtMs = this.clock.now();
    }

    override write(): Promise<void> {
        this.lastEventAtMs = this.clock.now();
        return Promise.resolve();
    }

    override end(): void {
        this.finish(200, true);
    }

    override abort(): void {
        this.finish(0, false);
    }

    protected override writeLocal(answer: LocalAnswer): void {
        this.finish(answer.status, true, answer);
    }

    private finish(status: number, isComplete: boolean, answer: Partial<LocalAnswer> = {}): void {
        if (!this.isEnded) {
            this.isEnded = true;
            this.onEnd(status, isComplete, answer);
        }
    }

    private async watch(): Promise<void> {
        while (!this.isEnded) {
            const leftMs = this.lastEventAtMs + CALLER_PATIENCE_MS - this.clock.now();
            if (leftMs <= 0) {
                this.gone.abort();
                return;
            }
            await this.clock.sleep(leftMs);
        }
    }
}

/** Format of the rollout states in the model's log. */
const STATE_FORMAT: RolloutRecordFormat = {
    stateTopic: STATE_TOPIC,
    decodeState: record => JSON.parse(Buffer.from(record.value ?? []).toString("utf8")) as RolloutStateRecord,
    encodeState: record => ({ key: record.service, value: Buffer.from(JSON.stringify(record)) }),
};

/** Nodes, servers and callers. */
export class RelayFleetModel {
    readonly clock = new VirtualClock();
    readonly random: SeededRandom;
    readonly log = new KeyedLogModel(this.clock);
    readonly servers = new Map<string, ModelServer>();
    readonly outcomes: ModelOutcome[] = [];
    /** Names of nodes without connections to the others. */
    readonly isolatedNodes = new Set<string>();
    /** Behaviour of each version's servers. */
    readonly behaviors = new Map<string, VersionBehavior>();
    /** Returns the prompt parts of the next call. */
    partsOf: () => readonly PromptPart[] = () => [];
    /** Returns the index of the node that gets the next call. */
    chooseNode: () => number = () => this.random.nextInt(this.nodes.length);
    /** Returns how long a server that begins to answer a call is down, in milliseconds; 0 for a sound call. */
    crashMs: (call: RelayCall) => number = () => 0;
    /** Events that a server writes before it crashes; all but the end of an answer that has fewer. */
    crashEvents = 0;
    /** Returns the body of the next call. */
    bodyOf: () => string = () => "";
    /** Called when a call ends, with its outcome. */
    onOutcome: (outcome: ModelOutcome) => void = () => undefined;
    /** Called when a server crashes. */
    onCrash: () => void = () => undefined;
    /** Called with each line that a node logs about a rollout. */
    onChange: (node: string, text: string, detail: Readonly<Record<string, unknown>>) => void = () => undefined;
    /** Number of calls that nodes have taken from others. */
    detours = 0;
    /** Share of the reports between nodes that are lost. */
    reportLoss = 0;
    /** What cold servers bear; nothing less than others by default. */
    readonly coldRules = new ColdRules({ overage: 1.5, slack: 5 });
    /** Factor of the number of calls. */
    trafficFactor = 1;
    private readonly headers = new ModelHeaders();
    private readonly nodes: FleetNode[] = [];
    private readonly route: RelayRoute;
    private readonly stopped = new AbortController();
    private orders: { readonly order: VersionOrder; readonly offset: number }[] = [];
    private lastCall = 0;

    /**
     * @param traffic Kind of calls.
     * @param nodeCount Number of nodes.
     * @param seed Seed of all random numbers.
     * @param isResumable Whether broken streams may be resumed elsewhere.
     * @param semantics Whether calls may be repeated; the default is that streams may not.
     */
    constructor(
        readonly traffic: ModelTraffic,
        private readonly nodeCount: number,
        seed: number,
        isResumable = false,
        semantics = traffic.mostEvents > 0 ? Semantics.DispatchOnce : Semantics.Repeatable,
    ) {
        this.random = new SeededRandom(seed);
        this.route = {
            name: "route",
            host: HOST,
            pathPrefix: "/",
            semantics,
            isStream: traffic.mostEvents > 0,
            isResumable,
            timeoutMs: traffic.deadlineMs,
            objectiveMs: 500,
            maxPauseMs: 400,
            rank: 0,
            shares: [{ service: FLEET_SERVICE, weight: 1 }],
            maxAttempts: 3,
            isPublic: true,
        };
        for (let index = 0; index < nodeCount; index += 1) {
            this.startNode(index);
        }
    }

    /** Adds the servers of a version. */
    addVersion(version: string): void {
        const behavior: VersionBehavior = { failureShare: 0, firstEventFactor: 1, intervalFactor: 1 };
        this.behaviors.set(version, behavior);
        for (const [index, intervalMs] of this.traffic.intervalsMs.entries()) {
            const id = `${version}-${index}`;
            const registration = {
                id,
                service: FLEET_SERVICE,
                address: id,
                failureDomain: `domain-${index % 4}`,
                version,
                slots: this.traffic.slots,
                isDraining: false,
                startedAtMs: this.clock.now(),
                sequence: 1,
                warmUpMs: 0,
            };
            this.servers.set(id, new ModelServer(registration, intervalMs, behavior));
        }
        for (const node of this.nodes) {
            this.putServers(node);
        }
    }

    /** Removes the servers of all versions but one, as the operator does after a rollout. */
    keepVersion(version: string): void {
        for (const [id, server] of this.servers) {
            if (server.registration.version !== version) {
                server.crash(Infinity);
                for (const node of this.nodes) {
                    node.pool.remove(id);
                }
            }
        }
    }

    /** Servers of a version. */
    serversOf(version: string): readonly ModelServer[] {
        return [...this.servers.values()].filter(server => server.registration.version === version);
    }

    /** Attempts at a version's servers, in order. */
    attemptsOf(version: string): readonly ModelAttempt[] {
        return this.serversOf(version).flatMap(server => server.attempts).sort((left, right) => left.atMs - right.atMs);
    }

    /** Orders a rollout at all nodes. */
    order(version: string, durationMs: number): void {
        const order = { service: FLEET_SERVICE, version, durationMs };
        this.orders.push({ order, offset: this.orders.length + 1 });
        for (const node of this.nodes) {
            this.applyOrders(node);
        }
    }

    /** State of the rollout in the log. */
    get rolloutState(): string | undefined {
        const state = this.log.values(STATE_TOPIC, FLEET_SERVICE).at(-1) as { readonly state: string } | undefined;
        return state?.state;
    }

    /** Cuts a number of nodes off from the log, or connects them again. */
    setLogReachable(nodeCount: number, isReachable: boolean): void {
        for (const node of this.nodes.slice(0, nodeCount)) {
            node.log.isReachable = isReachable;
        }
    }

    /** Isolates a node from its peers, or connects it again. */
    setIsolated(index: number, isIsolated: boolean): void {
        const { name } = this.nodes[index] as FleetNode;
        if (isIsolated) {
            this.isolatedNodes.add(name);
        }
        else {
            this.isolatedNodes.delete(name);
        }
    }

    /** Changes the links of a node to all servers. */
    setServerLinks(index: number, state: ServerLinkState): void {
        this.nodes[index]?.link.setState(state);
    }

    /**
     * Ends a server for a time, in milliseconds; it returns as another incarnation. Its entry is gone meanwhile, if it is down for long.
     *
     * @param coldMs Time for which it is cold when it returns, in milliseconds.
     * @param entryDelayMs Time from its return until nodes read its entry, in milliseconds.
     */
    crash(server: ModelServer, durationMs: number, coldMs = 0, entryDelayMs = 0): void {
        this.onCrash();
        const backAtMs = this.clock.now() + durationMs;
        server.crash(backAtMs);
        if (durationMs >= DETECTION_MS) {
            void this.clock.sleep(DETECTION_MS).then(() => {
                for (const node of this.nodes) {
                    node.pool.remove(server.registration.id);
                }
            });
        }
        void this.clock.sleep(durationMs).then(async () => {
            if (server.downUntilMs === backAtMs) {
                server.registration = { ...server.registration, startedAtMs: backAtMs };
                if (coldMs > 0) {
                    server.coldTimes.push({ fromMs: backAtMs, untilMs: backAtMs + coldMs });
                }
                if (entryDelayMs > 0) {
                    await this.clock.sleep(entryDelayMs);
                }
                this.putEntry(server);
            }
        });
    }

    /** Makes all nodes read the entry that a server writes now. */
    putEntry(server: ModelServer): void {
        server.registration = { ...server.registration, sequence: server.registration.sequence + 1 };
        for (const node of this.nodes) {
            node.pool.put(server.entryAt(this.clock.now()));
        }
    }

    /** Makes the servers write their entries at an interval, in milliseconds, in turn. */
    async writeEntries(intervalMs: number): Promise<void> {
        while (!this.stopped.signal.aborted) {
            for (const server of this.servers.values()) {
                if (this.clock.now() >= server.downUntilMs) {
                    this.putEntry(server);
                }
                await this.clock.sleep(intervalMs / this.servers.size, this.stopped.signal);
            }
        }
    }

    /** Removes the entry of a server for a time, in milliseconds, although the server goes on. */
    loseEntry(server: ModelServer, durationMs: number): void {
        for (const node of this.nodes) {
            node.pool.remove(server.registration.id);
        }
        void this.clock.sleep(durationMs).then(() => {
            for (const node of this.nodes) {
                node.pool.put(server.registration);
            }
        });
    }

    /** Kills nodes and starts them again without what they knew. */
    restartNodes(from: number, nodeCount: number): void {
        for (let index = from; index < from + nodeCount; index += 1) {
            this.nodes[index]?.stopped.abort();
            this.startNode(index);
        }
    }

    /** Sends calls for a time, in milliseconds, and advances the clock. */
    async run(durationMs: number): Promise<void> {
        const endMs = this.clock.now() + durationMs;
        while (this.clock.now() < endMs) {
            const gapMs = -Math.log(1 - this.random.next()) * 1_000 / (this.traffic.callsPerSecond * this.trafficFactor);
            await this.clock.advance(Math.min(gapMs, endMs - this.clock.now()));
            if (this.clock.now() < endMs) {
                this.sendCall(this.partsOf(), this.bodyOf());
            }
        }
    }

    /** Stops all nodes. */
    stop(): void {
        this.stopped.abort();
        for (const node of this.nodes) {
            node.stopped.abort();
        }
    }

    /** Sends one call to a random node. */
    sendCall(parts: readonly PromptPart[], body = ""): void {
        this.lastCall += 1;
        const nodeIndex = this.chooseNode();
        const node = this.nodes[nodeIndex];
        const caller = new ModelCaller(
            this.clock,
            (status, isComplete, { text = "", retryAfterMs }) => {
                const outcome = { call, node: nodeIndex, status, isComplete, text, retryAfterMs, endedAtMs: this.clock.now() };
                this.outcomes.push(outcome);
                this.onOutcome(outcome);
            },
        );
        const id = `call-${this.lastCall}-${this.random.nextInt(1_000_000)}`;
        const call: RelayCall = {
            head: {
                id,
                host: HOST,
                key: undefined,
                deadlineMs: this.traffic.deadlineMs,
                size: { prompt: this.traffic.promptTokens, maxOutput: 5 * this.traffic.mostEvents },
                outputEstimate: undefined,
                parts,
                lastEventId: undefined,
                endToEnd: [ID_HEADER, id],
            },
            method: "POST",
            target: "/",
            body: Buffer.from(body),
            arrivedAtMs: this.clock.now(),
            callerGone: caller.gone.signal,
        };
        this.headers.register(call.head);
        void node?.handler.handle(call, caller);
    }

    /** Delivers a report unless its sender or receiver is isolated. */
    deliver(sender: string, receiver: string, bytes: Uint8Array): void {
        const isLost = this.reportLoss > 0 && this.random.next() < this.reportLoss;
        if (!isLost && this.isConnected(sender, receiver)) {
            this.nodes.find(node => node.name === receiver)?.reporter.receive(PeerReport.decode(bytes));
        }
    }

    private putServers(node: FleetNode): void {
        for (const server of this.servers.values()) {
            if (server.downUntilMs !== Infinity) {
                node.pool.put(server.entryAt(this.clock.now()));
            }
        }
    }

    private applyOrders(node: FleetNode): void {
        for (const { order, offset } of this.orders) {
            node.rollouts.applyOrder(order, { era: 0, offset });
        }
    }

    private startNode(index: number): void {
        const { clock, random } = this;
        const name = `node-${index}`;
        const log = new SeveredLog(this.log, clock);
        const link = this.nodes[index]?.link ?? new ServerLinkModel();
        const peers = new PeerTable(clock);
        const quota = new WorkspaceQuota({ clock, isFirstStart: true, unreachableShare: () => 0 });
        const quarantine = new CallQuarantine({
            clock,
            random,
            serverCount: service => pool.openServers(service).length,
            nodeCount: () => peers.reachablePeers + 1,
            onChange: (text, detail) => this.onChange(name, text, detail),
        });
        const sharedRate = {
            clock,
            random,
            reportIntervalMs: () => reporter.intervalMs,
            nodeCount: () => peers.reachablePeers + 1,
            demands: () => ({ own: scheduler.demand, peers: peers.demandOf(hashKey(FLEET_SERVICE)) }),
            onChange: (text: string, detail: Readonly<Record<string, unknown>>) => this.onChange(name, text, detail),
        };
        const limits = new ServerLimits({ ...sharedRate, unreachableShare: () => peers.unreachableShare() });
        const fleetShare = new FleetShare({ peers, listedNodes: () => directory.size + 1 });
        const statements = new ServerStatements({
            clock,
            random,
            limits,
            brittle: new BrittleServers(sharedRate),
            cold: new ColdServers({
                ...sharedRate,
                node: name,
                unreachableShare: () => fleetShare.unreachable,
                rule: service => this.coldRules.find(service),
                serverCount: service => pool.openServers(service).length,
            }),
            onChange: (text, detail) => this.onChange(name, text, detail),
        });
        const directory = new NodeDirectory({
            log,
            clock,
            random,
            node: name,
            failureDomain: `domain-${index % 4}`,
            cores: 1,
            address: () => name,
            onError: () => undefined,
            onRewrite: () => undefined,
        });
        const rollouts: VersionRollouts = new VersionRollouts({
            clock,
            random,
            log,
            records: STATE_FORMAT,
            bounds: { maxShare: 0.1, slackCalls: 50 },
            peerReports: () => peers.reports(),
            unreachableShare: () => peers.unreachableShare(),
            servers: () => pool.all(),
            onChange: (text, detail) => this.onChange(name, text, detail),
            onRewrite: () => undefined,
        });
        const pool: ServerPool = new ServerPool(clock, peers, { observer: rollouts, statements });
        const scheduler: ServiceScheduler = new ServiceScheduler({
            service: FLEET_SERVICE,
            failureDomain: `domain-${index % 4}`,
            clock,
            random,
            mainServers: () => rollouts.mainServers(FLEET_SERVICE, pool.openServers(FLEET_SERVICE)),
            peerDemand: () => peers.demandOf(hashKey(FLEET_SERVICE)),
            reportIntervalMs: () => reporter.intervalMs,
            nodeCount: () => peers.reachablePeers + 1,
            candidates: callId => rollouts.candidates(FLEET_SERVICE, pool.openServers(FLEET_SERVICE), callId),
            isOutOfReach: () => reach.isLost(FLEET_SERVICE),
        });
        const client = new ModelClient({
            node: name,
            clock,
            random,
            servers: this.servers,
            link,
            eventsOf: call => this.eventsOf(call),
            crashMs: call => this.crashMs(call),
            crashEvents: () => this.crashEvents,
            crash: (server, durationMs) => this.crash(server, durationMs),
        });
        const reach = new ServerReach({
            clock,
            random,
            services: () => [FLEET_SERVICE],
            openServers: service => pool.openServers(service),
            probe: server => client.probe(server),
            onLost: service => this.onChange(name, "reach: lost", { service }),
            onRegained: (service, lostMs) => this.onChange(name, "reach: regained", { service, lostMs }),
        });
        const reporter: PeerReporter = new PeerReporter({
            node: name,
            failureDomain: `domain-${index % 4}`,
            cores: 1,
            startedAtMs: clock.now(),
            clock,
            link: new ModelLink(this, name),
            directory,
            peers,
            pool,
            quota,
            quarantine,
            statements,
            views: new TopicViews(clock, name, () => 0),
            address: () => name,
            workspaces: () => [],
            versionCounts: () => rollouts.versionCounts(),
            lostServices: () => reach.lostServices(),
            demands: () => [[FLEET_SERVICE, scheduler.demand]],
            isDraining: () => false,
            logSteadyMs: () => 1_000,
            onChange: () => scheduler.dispatchWaiting(),
            onPeerSeen: () => undefined,
            onPeerGone: () => undefined,
        });
        const retryBudget = new RetryBudget(clock, { retryFraction: 0.16, windowMs: RETRY_WINDOW_MS, minRetries: 3 });
        const handler = new RelayHandler({
            clock,
            random,
            quota,
            recorder: { record: () => undefined, logEvent: () => undefined, logError: throwError },
            configuration: () => ({
                version: 1,
                routes: new RouteTable([this.route]),
                services: new Map(),
                limits: { maxHeaderBytes: 1e6, maxBodyBytes: 1e6, headerTimeoutMs: 1e6, idleTimeoutMs: 1e6 },
                hasWorkspaces: false,
                workspaceByKey: new Map(),
            }),
            relay: {
                client,
                scheduler: () => scheduler,
                retryBudget: () => retryBudget,
                observer: rollouts,
                quarantine,
                statements,
                reach,
                detourPeers: new DetourPeers({ clock, random, failureDomain: `domain-${index % 4}`, directory, peers }),
                detourClient: new ModelDetourClient({
                    clock,
                    handlerOf: peer => this.isConnected(name, peer) ? this.detourHandlerOf(peer) : undefined,
                }),
                fingerprint: FINGERPRINT,
                stopDeadline: new StopDeadline(clock),
            },
        });
        const node = {
            name,
            peers,
            pool,
            scheduler,
            reach,
            rollouts,
            reporter,
            handler,
            log,
            link,
            stopped: new AbortController(),
        };
        this.nodes[index] = node;
        this.putServers(node);
        this.applyOrders(node);
        for (let peer = 0; peer < this.nodeCount; peer += 1) {
            if (peer !== index) {
                directory.update(`node-${peer}`, { address: `node-${peer}`, failureDomain: `domain-${peer % 4}`, cores: 1 });
            }
        }
        void rollouts.run(node.stopped.signal);
        void reporter.run(node.stopped.signal);
        void this.maintain(node);
    }

    private async maintain(node: FleetNode): Promise<void> {
        while (await this.clock.sleep(MAINTENANCE_MS, node.stopped.signal)) {
            node.reach.check();
            node.scheduler.dispatchWaiting();
        }
    }

    private isConnected(sender: string, receiver: string): boolean {
        return !this.isolatedNodes.has(sender) && !this.isolatedNodes.has(receiver);
    }

    /** Returns the handler of calls that peers hand to a node; `undefined` if its process has ended. */
    private detourHandlerOf(name: string): DetourHandler | undefined {
        const node = this.nodes.find(other => other.name === name);
        if (node === undefined || node.stopped.signal.aborted) {
            return undefined;
        }
        return (message, answer, callerGone) => {
            const admitted = fromDetourCall(DetourCall.decode(DetourCall.encode(message).finish()), {
                headers: this.headers,
                answer,
                callerGone,
                nowMs: this.clock.now(),
            });
            if (typeof admitted === "string") {
                throw new Error(admitted);
            }
            this.detours += 1;
            void node.handler.handleDetour(admitted);
        };
    }

    private eventsOf({ head }: RelayCall): number {
        return this.traffic.mostEvents === 0 ? 0 : 1 + hashKey(head.id) % this.traffic.mostEvents;
    }
}

function throwError(callId: string, error: unknown): never {
    throw new Error(`Call ${callId} failed inside its node`, { cause: error });
}
