/**
 * Relay node: wires its components together, and starts and drains them.
 *
 * @module
 */

import type { Logger } from "pino";
import { type ServiceDemands, type ServiceLoads, WorkspaceShares } from "../../coordination/allotment/mod.js";
import {
    type BackgroundTask,
    BrittleServers,
    type CallFingerprint,
    CallQuarantine,
    ColdRules,
    ColdServers,
    DetourPeers,
    EmptiedDomains,
    type EraChange,
    EraGuardedLog,
    FairQueueing,
    FleetShare,
    fromDetourCall,
    LogHealth,
    NodeDirectory,
    PeerReporter,
    PeerTable,
    RelayHandler,
    RetryBudget,
    runTask,
    ServerCatalog,
    ServerFilter,
    ServerLimits,
    ServerPool,
    ServerReach,
    ServerStatements,
    ServiceScheduler,
    StopDeadline,
    stopReserveMs,
    TopicViews,
    TurnWatch,
    UsableServers,
    VersionRollouts,
    WakeablePause,
    WorkspaceQuota,
} from "../../coordination/relay/mod.js";
import { type DetourCall, hashKey, type KeyedLog, type RelayHeaders } from "../../protocol/relay/mod.js";
import type { Clock, RandomSource, RelayServer, RelayWorkspace } from "../../state/relay/mod.js";
import {
    bindWithRetry,
    CallerServer,
    ConnectionBound,
    DetourServer,
    HttpClient,
    HttpDetourClient,
    type HttpRelayAnswer,
    HttpRelayClient,
    InputLimits,
    PeerSocket,
    probeConnection,
    StatusServer,
    type WrittenLocalAnswer,
} from "../../transport/relay/mod.js";
import { dividePorts, type PortLimits, readDescriptorLimit } from "../process_limits.js";
import { splitAddress } from "../settings_file.js";
import { LogFollower } from "./log_follower.js";
import type { RecordReader } from "./record_reader.js";
import { RelayLog } from "./relay_log.js";
import { RelayMetrics } from "./relay_metrics.js";
import { recordApplyMs, regionsOf, type RelaySettings } from "./relay_settings.js";

/** Connect timeout for backend servers and peers, in milliseconds; shorter than the second after which TCP retransmits a lost SYN. */
const CONNECT_TIMEOUT_MS = 250;

/** Interval at which expired entries are removed and waiting calls dispatched even without an event, in milliseconds. */
const MAINTENANCE_INTERVAL_MS = 40;

/** As {@linkcode MAINTENANCE_INTERVAL_MS}, while no call waits and each service is reached. */
const IDLE_MAINTENANCE_INTERVAL_MS = 160;

/** Part of the end of a drain in which the final answers of open calls are written; the rest is left to the end of the process. */
const FINAL_ANSWERS_SHARE = 1 / 3;

/** Interval at which a draining node checks the number of open calls, in milliseconds. */
const DRAIN_POLL_INTERVAL_MS = 50;

/** Time between two such checks from which the node was held up, in milliseconds. */
const MIN_DRAIN_HOLD_UP_MS = 100;

/** Milliseconds in a second. */
const MS_PER_SECOND = 1_000;

/** Fraction of the fleet's retry budget that nodes use; the rest is a reserve for calls that the nodes don't know of. */
const RETRY_BUDGET_FRACTION = 0.8;

/** Number of nodes among which the retries that are allowed regardless of traffic are divided. */
const MIN_RETRIES_NODE_COUNT = 12;

/** Time for which the event loop was held up from which a line is logged, in milliseconds. */
const MIN_LOGGED_HOLD_UP_MS = 200;

/** Memory that the program and the garbage of what it reads take, in megabytes. */
const PROGRAM_MEGABYTES = 160;

/** Least memory for bytes that are held for others, in bytes. */
const MIN_HELD_BYTES = 16_777_216;

const BYTES_PER_MEGABYTE = 1_000_000;

/** Dependencies of a {@linkcode RelayNode}. */
export interface RelayNodeDependencies {
    readonly settings: RelaySettings;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly logger: Logger;
    readonly log: KeyedLog;
    readonly records: RecordReader;
    readonly headers: RelayHeaders;
    readonly fingerprint: CallFingerprint;
}

/** Port on which a node listens. */
interface ListeningPort {
    readonly use: string;
    /** Makes one attempt to open it. */
    readonly open: () => Promise<void>;
}

/** Relays calls to backend servers until it is drained. */
export class RelayNode {
    private readonly stopped = new AbortController();
    private readonly startedAtMs: number;
    private readonly inputLimits: InputLimits;
    /** Bounds on the connections of each port, by its use. */
    private readonly connectionBounds: Readonly<Record<"callers" | "peers" | "readiness" | "metrics", ConnectionBound>>;
    private readonly httpClient: HttpClient;
    private readonly peerHttpClient: HttpClient;
    private readonly relayLog: RelayLog;
    private readonly metrics: RelayMetrics;
    private readonly metricsServer: StatusServer;
    private readonly log: EraGuardedLog;
    private readonly logHealth: LogHealth;
    private readonly topicViews: TopicViews;
    private readonly emptiedDomains: EmptiedDomains;
    private readonly filter: ServerFilter;
    private readonly pool: ServerPool;
    private readonly servers: UsableServers;
    private readonly catalog: ServerCatalog;
    private readonly peers: PeerTable;
    private readonly quota: WorkspaceQuota;
    private readonly quarantine: CallQuarantine;
    private readonly limits: ServerLimits;
    private readonly coldRules: ColdRules;
    private readonly coldServers: ColdServers;
    private readonly statements: ServerStatements;
    private readonly directory: NodeDirectory;
    private readonly reporter: PeerReporter;
    private readonly rollouts: VersionRollouts;
    private readonly follower: LogFollower;
    private readonly relayClient: HttpRelayClient;
    private readonly reach: ServerReach;
    private readonly detourPeers: DetourPeers;
    private readonly detourServer: DetourServer;
    private readonly callerServer: CallerServer;
    private readonly readinessServer: StatusServer;
    private readonly peerSocket: PeerSocket;
    private readonly maintenancePause: WakeablePause;
    private readonly schedulers = new Map<string, ServiceScheduler>();
    /** Shares of the workspaces by service; empty where they are off. */
    private readonly shares = new Map<string, WorkspaceShares>();
    private readonly retryBudgets = new Map<string, RetryBudget>();
    private workspaces: ReadonlySet<RelayWorkspace> = new Set();
    private drainSettings: RelaySettings["drain"];
    private readonly stopDeadline: StopDeadline;
    private draining = false;
    private isStarted = false;

    /** @param dependencies See {@linkcode RelayNodeDependencies}. */
    constructor(private readonly dependencies: RelayNodeDependencies) {
        const { settings, clock, random, logger, headers } = dependencies;
        this.startedAtMs = clock.now();
        this.inputLimits = new InputLimits(clock, heldBytesFor(settings.memory.megabytes));
        this.httpClient = new HttpClient(CONNECT_TIMEOUT_MS, this.inputLimits);
        this.peerHttpClient = new HttpClient(CONNECT_TIMEOUT_MS, this.inputLimits);
        this.maintenancePause = new WakeablePause(clock);
        this.drainSettings = settings.drain;
        this.stopDeadline = new StopDeadline(clock);
        this.relayLog = new RelayLog({
            logger,
            clock,
            linesPerSecond: settings.logLinesPerSecond,
            onCallEnded: record => this.metrics.record(record),
        });
        this.log = new EraGuardedLog(dependencies.log, change => this.handleNewEra(change));
        this.logHealth = new LogHealth(clock, {
            onLost: (topic, error) => this.relayLog.info("log: lost", { topic, error: String(error) }),
            onRegained: (topic, silentMs) => this.relayLog.info("log: regained", { topic, silentMs: Math.round(silentMs) }),
        });
        this.catalog = new ServerCatalog(clock, this.logHealth, {
            onServerUpdated: server => this.updateServer(server),
            onServerRemoved: (server, reason) => this.removeServer(server, reason),
        });
        this.emptiedDomains = new EmptiedDomains({
            clock,
            health: this.logHealth,
            onChange: (text, detail) => this.handleDomainChange(text, detail),
        });
        const regions = regionsOf(settings);
        this.filter = new ServerFilter(this.emptiedDomains, domain => regions.get(domain));
        this.peers = new PeerTable(clock);
        this.logHealth.peerSteadyMs = () => this.peers.longestLogSteadyMs;
        this.logHealth.peerReadMs = () => this.peers.longestStatedLogSteadyMs;
        this.topicViews = new TopicViews(clock, settings.node, () => this.peers.reachablePeers);
        this.quota = new WorkspaceQuota({
            clock,
            isFirstStart: settings.isFirstStart,
            unreachableShare: () => this.peers.unreachableShare(),
        });
        this.quarantine = new CallQuarantine({
            clock,
            random,
            serverCount: service => this.servers.open(service).length,
            nodeCount: () => this.peers.reachablePeers + 1,
            onChange: (text, detail) => this.relayLog.info(text, detail),
        });
        const sharedRate = {
            clock,
            random,
            reportIntervalMs: () => this.reporter.intervalMs,
            nodeCount: () => this.peers.reachablePeers + 1,
            demands: (service: string) => this.demandsOf(service),
            onChange: (text: string, detail: Readonly<Record<string, unknown>>) => this.relayLog.info(text, detail),
        };
        this.limits = new ServerLimits({ ...sharedRate, unreachableShare: () => this.peers.unreachableShare() });
        this.coldRules = new ColdRules(settings.coldServers);
        // Nodes that start the whole system together are listed only when each of them has registered.
        const neededReads = settings.isFirstStart ? 2 : 1;
        const fleetShare = new FleetShare({
            peers: this.peers,
            listedNodes: () => this.directory.completedReads >= neededReads ? this.directory.size + 1 : undefined,
        });
        this.coldServers = new ColdServers({
            ...sharedRate,
            node: settings.node,
            unreachableShare: () => fleetShare.unreachable,
            rule: service => this.coldRules.find(service),
            serverCount: service => this.pool.openServers(service).length,
        });
        this.statements = new ServerStatements({
            clock,
            random,
            limits: this.limits,
            brittle: new BrittleServers(sharedRate),
            cold: this.coldServers,
            onChange: (text, detail) => this.relayLog.info(text, detail),
        });
        this.directory = new NodeDirectory({
            log: this.log,
            clock,
            random,
            node: settings.node,
            failureDomain: settings.failureDomain,
            cores: settings.processor.cores * settings.processor.share,
            address: () => this.peerSocket.address,
            onError: text => this.relayLog.info(`peers: ${text}`),
            onRewrite: topic => this.recordRewrite(topic),
        });
        this.rollouts = new VersionRollouts({
            clock,
            random,
            log: this.log,
            records: dependencies.records,
            bounds: settings.rollouts,
            peerReports: () => this.peers.reports(),
            unreachableShare: () => this.peers.unreachableShare(),
            servers: () => this.pool.all(),
            onChange: (text, detail) => this.relayLog.info(text, detail),
            onRewrite: topic => this.recordRewrite(topic),
        });
        this.pool = new ServerPool(clock, this.peers, { observer: this.rollouts, statements: this.statements });
        this.servers = new UsableServers(this.pool, this.filter, this.rollouts);
        this.reach = new ServerReach({
            clock,
            random,
            services: () => this.schedulers.keys(),
            openServers: service => this.servers.open(service),
            probe: server => probeConnection(server.address, CONNECT_TIMEOUT_MS),
            onLost: service => this.handleLostService(service),
            onRegained: (service, lostMs) => this.handleRegainedService(service, lostMs),
        });
        this.detourPeers = new DetourPeers({
            clock,
            random,
            failureDomain: settings.failureDomain,
            directory: this.directory,
            peers: this.peers,
            isAtHome: (domain, homes) => this.filter.isAtHome(domain, homes),
        });
        this.follower = new LogFollower({
            log: this.log,
            clock,
            random,
            records: dependencies.records,
            health: this.logHealth,
            views: this.topicViews,
            catalog: this.catalog,
            rollouts: this.rollouts,
            emptiedDomains: this.emptiedDomains,
            relayLog: this.relayLog,
            applyMs: recordApplyMs(settings),
            leaveMs: settings.servers.leaveMs,
            onRead: read => this.metrics.recordRead(read),
            onConfiguration: configuration => {
                this.coldRules.apply(configuration.services.values());
                this.workspaces = new Set(configuration.workspaceByKey.values());
                this.callerServer.setLimits(configuration.limits);
            },
        });
        this.peerSocket = new PeerSocket(
            report => this.reporter.receive(report),
            text => this.relayLog.logEvent("", "report lost", { reason: text }),
        );
        this.reporter = new PeerReporter({
            node: settings.node,
            failureDomain: settings.failureDomain,
            cores: settings.processor.cores * settings.processor.share,
            startedAtMs: this.startedAtMs,
            clock,
            link: this.peerSocket,
            directory: this.directory,
            peers: this.peers,
            pool: this.pool,
            quota: this.quota,
            quarantine: this.quarantine,
            statements: this.statements,
            views: this.topicViews,
            address: () => this.peerSocket.address,
            workspaces: () => this.workspaces,
            demands: () => [...this.schedulers].map(([service, scheduler]) => [service, scheduler.demand] as const),
            workspaceLoads: () => reportedLoads(this.shares),
            versionCounts: () => this.rollouts.versionCounts(),
            lostServices: () => this.reach.lostServices(),
            isDraining: () => this.draining,
            logSteadyMs: () => this.logHealth.steadyMs,
            onChange: () => this.dispatchWaiting(),
            onPeerSeen: report => this.relayLog.info("peers: seen", { peer: report.node, address: report.address }),
            onPeerGone: report => this.relayLog.info("peers: gone", { peer: report.node }),
        });
        this.relayClient = new HttpRelayClient(this.httpClient, headers);
        const handler = new RelayHandler({
            clock,
            random,
            quota: this.quota,
            recorder: this.relayLog,
            configuration: () => this.follower.configuration,
            relay: {
                client: this.relayClient,
                scheduler: service => this.scheduler(service),
                observer: this.rollouts,
                quarantine: this.quarantine,
                statements: this.statements,
                retryBudget: service => this.retryBudget(service),
                reach: this.reach,
                detourPeers: this.detourPeers,
                detourClient: new HttpDetourClient(this.peerHttpClient, headers),
                fingerprint: dependencies.fingerprint,
                stopDeadline: this.stopDeadline,
                mayReceive: (server, homes) => this.filter.isUsable(server, homes),
            },
        });
        const { descriptors, maxCallers } = settings.connections;
        const { callers, peers, status } = dividePorts(descriptors ?? readDescriptorLimit());
        this.connectionBounds = {
            callers: this.makeConnectionBound("callers", {
                ...callers,
                maxConnections: maxCallers ?? callers.maxConnections,
            }),
            peers: this.makeConnectionBound("peers", peers),
            readiness: this.makeConnectionBound("readiness", status),
            metrics: this.makeConnectionBound("metrics", status),
        };
        const onListenerError = (error: unknown) => this.relayLog.error("node: listener failed", error);
        const onLocalAnswer = (answer: WrittenLocalAnswer) => {
            try {
                this.metrics.recordLocalAnswer(answer.localAnswer);
                this.relayLog.recordLocalAnswer(answer);
            }
            catch (error) {
                // The call has its answer, and others may wait for theirs.
                this.relayLog.error("call: its answer was not recorded", error, { id: answer.id });
            }
        };
        this.detourServer = new DetourServer({
            clock,
            inputLimits: this.inputLimits,
            connectionBound: this.connectionBounds.peers,
            isNode: host => this.directory.hasHost(host),
            receive: (call, answer, callerGone) => this.receiveDetour(handler, call, answer, callerGone),
            onListenerError,
            onRejected: (text, detail) => this.relayLog.logEvent("", text, detail),
            onLocalAnswer,
        });
        this.callerServer = new CallerServer({
            clock,
            inputLimits: this.inputLimits,
            connectionBound: this.connectionBounds.callers,
            headers,
            receive: (call, answer) => handler.handle(call, answer),
            onError: error =>
                logger.error({ error: String(error), stack: (error as Error).stack }, "call: failed inside the node"),
            onListenerError,
            onCut: cut => {
                this.metrics.recordCut(cut);
                this.relayLog.warn("call: cut without a complete answer", { ...cut });
            },
            onIdleClose: () => this.metrics.recordIdleClose(),
            onLocalAnswer,
            onUnreadable: status => this.relayLog.logEvent("", "bytes on a connection have not become a call", { status }),
        });
        this.metrics = this.makeMetrics();
        this.metricsServer = new StatusServer(
            clock,
            new Map([["/metrics", async () => {
                return { status: 200, contentType: this.metrics.contentType, text: await this.metrics.text() };
            }]]),
            error => logger.error({ error: String(error) }, "metrics: failed"),
            this.inputLimits,
            this.connectionBounds.metrics,
        );
        this.readinessServer = new StatusServer(
            clock,
            new Map([["/-/ready", () => this.readinessResponse()]]),
            error => logger.error({ error: String(error) }, "readiness: failed"),
            this.inputLimits,
            this.connectionBounds.readiness,
        );
    }

    private makeConnectionBound(port: string, limits: PortLimits): ConnectionBound {
        return new ConnectionBound({
            ...limits,
            clock: this.dependencies.clock,
            onGivenUp: connections => this.relayLog.warn("connections: given up for others", { port, ...connections }),
        });
    }

    private makeMetrics(): RelayMetrics {
        return new RelayMetrics({
            waitingCalls: () => [...this.schedulers].map(([service, scheduler]) => [service, scheduler.waitingCalls]),
            sentCalls: () => this.pool.sumByService(state => state.ownCalls),
            openServers: () =>
                this.pool.sumByService(state =>
                    state.server.isDraining || !this.filter.isUsable(state.server, undefined) ? 0 : 1
                ),
            limitedServers: () => this.pool.sumByService(state => this.limits.callsPerSecond(state.server) === undefined ? 0 : 1),
            emptiedDomains: () => this.emptiedDomains.size,
            workspaceShares: this.dependencies.settings.workspaceShares ? () => this.shares : undefined,
            coldServers: () => this.pool.sumByService(state => this.coldServers.isCold(state.server) ? 1 : 0),
            peers: () => this.peers.reachablePeers,
            lostServices: () => this.reach.lostServices().length,
            detouredCalls: () => this.detourPeers.openCalls,
            takenCalls: () => this.detourServer.openCalls,
            quarantinedTraits: () => this.quarantine.quarantinedTraits,
            heldBytes: () => this.inputLimits.memory.usedBytes,
            evictions: () => this.inputLimits.memory.evictions,
            connections: () => Object.entries(this.connectionBounds),
            repeatedIds: () => this.httpClient.repeatedIds + this.peerHttpClient.repeatedIds,
            configurationVersion: () => this.follower.configuration?.version ?? 0,
            isLogAnswering: () => this.logHealth.isAnswering,
            readTopics: () => this.topicViews.readTopics,
            droppedLines: () => this.relayLog.droppedLines,
        });
    }

    /** Whether a drain has started. */
    get isDraining(): boolean {
        return this.draining;
    }

    /** Whether the node has a configuration and the servers' entries, and is not draining. */
    get isReady(): boolean {
        return this.follower.configuration !== undefined && this.follower.hasLoadedServers && !this.draining;
    }

    /** Address on which the node listens for callers; valid after {@linkcode start}. */
    get callerAddress(): string {
        return `${splitAddress(this.dependencies.settings.listen.callers)[0]}:${this.callerServer.port}`;
    }

    /** Number of other nodes that report to this one. */
    get reachablePeers(): number {
        return this.peers.reachablePeers;
    }

    /** Address on which the node listens for other nodes; valid after {@linkcode start}. */
    get peerAddress(): string {
        return this.peerSocket.address;
    }

    /** Address of the readiness check for the balancer; valid after {@linkcode start}. */
    get readinessAddress(): string {
        return `${splitAddress(this.dependencies.settings.listen.readiness)[0]}:${this.readinessServer.port}`;
    }

    /** Address of the metrics endpoint; valid after {@linkcode start} if the settings name one. */
    get metricsAddress(): string {
        const { metrics, readiness } = this.dependencies.settings.listen;
        return `${splitAddress(metrics ?? readiness)[0]}:${this.metricsServer.port}`;
    }

    /**
     * Opens the listening ports and starts the background tasks, which go on after an error. While a port is in use, it waits for it.
     *
     * @returns Once the node has started, or is drained before.
     * @throws {Error} If a port cannot be opened for another reason.
     */
    async start(): Promise<void> {
        const { listen } = this.dependencies.settings;
        const [peerHost, peerPort] = splitAddress(listen.peers);
        const ports: readonly ListeningPort[] = [
            { use: "readiness", open: () => this.readinessServer.listen(...splitAddress(listen.readiness)) },
            { use: "metrics", open: () => this.listenForMetrics() },
            { use: "calls of nodes", open: () => this.detourServer.listen(peerHost, peerPort) },
            { use: "reports of nodes", open: () => this.peerSocket.listen(peerHost, this.detourServer.port) },
            // Last, as calls that are read before a port turns out to be in use are cut.
            { use: "callers", open: () => this.callerServer.listen(...splitAddress(listen.callers)) },
        ];
        for (const { use, open } of ports) {
            const isOpen = await bindWithRetry(open, {
                clock: this.dependencies.clock,
                signal: this.stopped.signal,
                onWaiting: error => this.relayLog.warn("node: waits for a port", { use, error: String(error) }),
            });
            if (!isOpen) {
                return;
            }
        }
        this.isStarted = true;
        this.relayLog.info("node: started", { listen });
        const tasks: readonly BackgroundTask[] = [
            { name: "operator records", run: signal => this.follower.followOperatorRecords(signal) },
            { name: "server entries", run: signal => this.follower.followServerEntries(signal) },
            { name: "maintenance", run: signal => this.runMaintenance(signal) },
            { name: "rollout decisions", run: signal => this.rollouts.runDecisions(signal) },
            { name: "rollout records", run: signal => this.rollouts.runLogAccess(signal) },
        ];
        for (const task of tasks) {
            void this.runTask(task);
        }
        void this.joinPeers();
    }

    private async listenForMetrics(): Promise<void> {
        const { metrics } = this.dependencies.settings.listen;
        if (metrics !== undefined) {
            await this.metricsServer.listen(...splitAddress(metrics));
        }
    }

    private runTask(task: BackgroundTask): Promise<void> {
        const { clock } = this.dependencies;
        const onError = (name: string, error: unknown) => this.relayLog.error("node: task failed", error, { task: name });
        return runTask(task, { clock, signal: this.stopped.signal, onError });
    }

    /** Applies the settings that can change at run time: those of the drain and the rate limit of the log. */
    applySettings(settings: RelaySettings): void {
        this.drainSettings = settings.drain;
        this.relayLog.setLinesPerSecond(settings.logLinesPerSecond);
        this.relayLog.info("node: settings reloaded", { drain: settings.drain, logLinesPerSecond: settings.logLinesPerSecond });
    }

    /** Records that the event loop was held up, at least for a time in milliseconds. */
    recordHoldUp(delayMs: number): void {
        this.metrics.recordHoldUp(delayMs);
        if (delayMs >= MIN_LOGGED_HOLD_UP_MS) {
            const openCalls = this.callerServer.openCalls + this.detourServer.openCalls;
            this.relayLog.warn("node: event loop was held up", { delayMs: Math.round(delayMs), openCalls });
        }
    }

    /**
     * Stops gracefully: reports not ready, keeps accepting calls until the balancer has reacted, then waits for open calls. Calls
     * still open shortly before the process is killed get a final answer that says whether they may have run.
     */
    async drain(): Promise<void> {
        if (this.isStarted) {
            await this.endCalls();
        }
        await this.close();
    }

    private async endCalls(): Promise<void> {
        const { clock } = this.dependencies;
        const { graceSeconds, balancerLagMs } = this.drainSettings;
        const graceMs = graceSeconds * MS_PER_SECOND;
        const reserveMs = stopReserveMs(graceMs);
        const endMs = clock.now() + graceMs - reserveMs;
        this.draining = true;
        this.stopDeadline.start(endMs);
        this.callerServer.startDraining();
        this.relayLog.info("node: leaving", { openCalls: this.callerServer.openCalls });
        await clock.sleep(balancerLagMs);
        await this.callerServer.stopListening();
        this.detourServer.stop();
        await this.awaitOpenCalls(endMs);
        this.stopDeadline.end();
        this.callerServer.refuseUnread();
        this.detourServer.refuseUnread();
        await this.awaitOpenCalls(clock.now() + reserveMs * FINAL_ANSWERS_SHARE);
    }

    private async close(): Promise<void> {
        this.draining = true;
        this.stopped.abort();
        this.relayLog.info("node: stopped", { openCalls: this.callerServer.openCalls });
        this.callerServer.closeAll();
        this.detourServer.closeAll();
        this.relayLog.writeNotRunEntries();
        this.readinessServer.close();
        this.metricsServer.close();
        this.peerSocket.close();
        await Promise.all([this.httpClient.close(), this.peerHttpClient.close()]);
    }

    /**
     * Waits until no call is open, at most until a time in milliseconds since the Unix epoch; if the node is held up beyond it, once more
     * for the answers that have arrived meanwhile.
     */
    private async awaitOpenCalls(untilMs: number): Promise<void> {
        const { clock } = this.dependencies;
        const turns = new TurnWatch(clock, MIN_DRAIN_HOLD_UP_MS);
        let isLastWait = false;
        while (this.callerServer.openCalls + this.detourServer.openCalls > 0 && !isLastWait) {
            isLastWait = clock.now() >= untilMs;
            if (isLastWait && !turns.isReading) {
                return;
            }
            await clock.sleep(DRAIN_POLL_INTERVAL_MS);
            turns.recordTurn();
        }
    }

    /** Prepares for records that are missing because the log was restored from an older copy. */
    private handleNewEra({ before, after }: EraChange): void {
        this.relayLog.warn("log: restored from an older copy", { eraBefore: before, era: after });
        this.metrics.recordRestore();
        this.logHealth.recordRestore();
        this.rollouts.handleNewEra();
        void this.directory.rejoin(this.stopped.signal);
    }

    private recordRewrite(topic: string): void {
        this.relayLog.info("log: record written again", { topic });
        this.metrics.recordRewrite(topic);
    }

    private async joinPeers(): Promise<void> {
        await this.runTask({ name: "peer directory", run: signal => this.directory.join(signal) });
        await Promise.all([
            this.runTask({ name: "peer directory", run: signal => this.directory.run(signal) }),
            this.runTask({ name: "peer reports", run: signal => this.reporter.run(signal) }),
        ]);
    }

    private async runMaintenance(signal: AbortSignal): Promise<void> {
        const intervalMs = () => this.isIdle() ? IDLE_MAINTENANCE_INTERVAL_MS : MAINTENANCE_INTERVAL_MS;
        while (await this.maintenancePause.sleep(intervalMs(), signal)) {
            this.maintain("expiry of servers", () => this.catalog.expire());
            this.maintain("expiry of orders", () => this.emptiedDomains.expire());
            this.maintain("reach of servers", () => this.reach.check());
            this.maintain("dispatch of waiting calls", () => this.dispatchWaiting());
        }
    }

    /** Runs one step of the maintenance; an error does not keep the others from running. */
    private maintain(step: string, run: () => void): void {
        try {
            run();
        }
        catch (error) {
            this.relayLog.error("node: maintenance failed", error, { step });
        }
    }

    /** @returns Whether only new events can give the maintenance something to do soon. */
    private isIdle(): boolean {
        if (this.reach.lostServices().length > 0) {
            return false;
        }
        for (const scheduler of this.schedulers.values()) {
            if (scheduler.waitingCalls > 0) {
                return false;
            }
        }
        return true;
    }

    private receiveDetour(
        handler: RelayHandler,
        call: DetourCall,
        answer: HttpRelayAnswer,
        callerGone: AbortSignal,
    ): string | undefined {
        const { clock, headers, logger } = this.dependencies;
        if (!this.emptiedDomains.isLoaded) {
            return "The node has not read the operator's orders yet.";
        }
        const admitted = fromDetourCall(call, { headers, answer, callerGone, nowMs: clock.now() });
        if (typeof admitted === "string") {
            return admitted;
        }
        handler.handleDetour(admitted).catch((error: unknown) => {
            logger.error({ error: String(error), stack: (error as Error).stack }, "detour: failed inside the node");
            answer.failInside();
        });
        return undefined;
    }

    /** Logs an order about a failure domain, and applies it to the calls that wait. */
    private handleDomainChange(text: string, detail: Readonly<Record<string, unknown>>): void {
        this.relayLog.info(text, detail);
        for (const [service, scheduler] of this.schedulers) {
            this.maintain(`order about a failure domain for ${service}`, () => {
                scheduler.refuseExcluded();
                scheduler.dispatchWaiting();
            });
        }
    }

    private handleLostService(service: string): void {
        const servers = this.servers.open(service);
        this.relayLog.warn("reach: no server of a service is reached", {
            service,
            servers: servers.length,
            unreachable: servers.filter(state => state.isUnreachable).length,
            unresponsive: servers.filter(state => state.isUnresponsive).length,
            lastByteMsAgo: this.dependencies.clock.now() - Math.max(...servers.map(state => state.lastByteAtMs)),
        });
        this.dispatchWaiting();
    }

    private handleRegainedService(service: string, lostMs: number): void {
        this.relayLog.info("reach: servers of a service are reached again", { service, lostMs: Math.round(lostMs) });
        // Connections from before may stay silent although new ones work.
        this.httpClient.renew(this.pool.openServers(service).map(state => state.server.address));
        this.dispatchWaiting();
    }

    private updateServer(server: RelayServer): void {
        const known = this.pool.find(server.id)?.server;
        if (known === undefined || known.isDraining !== server.isDraining) {
            this.relayLog.info("server: seen", { ...server });
        }
        this.pool.put(server);
        this.dispatchWaiting();
    }

    private removeServer(server: RelayServer, reason: string): void {
        this.relayLog.info("server: gone", { id: server.id, service: server.service, reason });
        this.pool.remove(server.id);
        this.relayClient.retain(new Set([...this.pool.all()].map(state => state.server.address)));
    }

    private dispatchWaiting(): void {
        for (const scheduler of this.schedulers.values()) {
            scheduler.dispatchWaiting();
        }
    }

    private scheduler(service: string): ServiceScheduler {
        let scheduler = this.schedulers.get(service);
        if (scheduler === undefined) {
            const { clock, random, settings } = this.dependencies;
            const key = hashKey(service);
            scheduler = new ServiceScheduler({
                service,
                failureDomain: settings.failureDomain,
                clock,
                random,
                mainServers: () => this.servers.main(service),
                peerDemand: () => this.peers.demandOf(key),
                reportIntervalMs: () => this.reporter.intervalMs,
                nodeCount: () => this.peers.reachablePeers + 1,
                candidates: (callId, homes) => this.servers.candidates(service, callId, homes),
                findExclusion: (callId, homes) => this.servers.findExclusion(service, callId, homes),
                isOutOfReach: () => this.reach.isLost(service),
                fairQueueing: settings.workspaceShares ? this.makeFairQueueing(service) : undefined,
                onFirstWaiting: () => this.maintenancePause.wake(),
                onDispatchFailed: error => this.relayLog.error("node: dispatch failed", error, { service }),
            });
            this.schedulers.set(service, scheduler);
        }
        return scheduler;
    }

    private makeFairQueueing(service: string): FairQueueing {
        const { clock, random } = this.dependencies;
        const key = hashKey(service);
        const onChange = (text: string, detail: Readonly<Record<string, unknown>>) => this.relayLog.info(text, detail);
        const shares = new WorkspaceShares({ service, clock, onChange });
        this.shares.set(service, shares);
        return new FairQueueing({
            clock,
            random,
            shares,
            peerLoads: () => this.peers.workspaceLoadsOf(key),
            unreachableShare: () => this.peers.unreachableShare(),
            reportIntervalMs: () => this.reporter.intervalMs,
        });
    }

    private demandsOf(service: string): ServiceDemands {
        return { own: this.scheduler(service).demand, peers: this.peers.demandOf(hashKey(service)) };
    }

    private retryBudget(service: string): RetryBudget {
        let budget = this.retryBudgets.get(service);
        if (budget === undefined) {
            const { fraction, windowSeconds, slackCalls } = this.dependencies.settings.retries;
            budget = new RetryBudget(this.dependencies.clock, {
                retryFraction: fraction * RETRY_BUDGET_FRACTION,
                windowMs: windowSeconds * MS_PER_SECOND,
                minRetries: Math.floor(slackCalls * RETRY_BUDGET_FRACTION / MIN_RETRIES_NODE_COUNT),
            });
            this.retryBudgets.set(service, budget);
        }
        return budget;
    }

    private readinessResponse(): { status: number; contentType: string; text: string } {
        const status = this.isReady ? 200 : 503;
        return { status, contentType: "text/plain", text: this.isReady ? "ready\n" : "not ready\n" };
    }
}

/** @returns Loads of the workspaces by service, of the services whose slots are short. */
function reportedLoads(shares: ReadonlyMap<string, WorkspaceShares>): readonly (readonly [string, ServiceLoads])[] {
    return [...shares].flatMap(([service, each]) => {
        const loads = each.reported();
        return loads === undefined ? [] : [[service, loads] as const];
    });
}

/**
 * Returns the memory for bytes that are held for others, in bytes: half of what the program leaves, as a body is copied once when it is
 * complete.
 */
function heldBytesFor(megabytes: number): number {
    return Math.max(MIN_HELD_BYTES, (megabytes - PROGRAM_MEGABYTES) * BYTES_PER_MEGABYTE / 2);
}
