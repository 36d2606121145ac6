/**
 * One relay node: its connections, what it follows and how it starts and ends.
 *
 * @module
 */

import type { Logger } from "pino";
import {
    LogHealth,
    NodeDirectory,
    PeerReporter,
    PeerTable,
    RelayHandler,
    RetryBudget,
    ServerCatalog,
    ServerPool,
    ServiceScheduler,
    VersionRollouts,
    WorkspaceQuota,
} from "../../coordination/relay/mod.js";
import { hashKey, type KeyedLog, type RelayHeaders } from "../../protocol/relay/mod.js";
import type { Clock, RandomSource, RelayServer, RelayWorkspace } from "../../state/relay/mod.js";
import { CallerServer, HttpClient, HttpRelayClient, PeerSocket, StatusServer } from "../../transport/relay/mod.js";
import { splitAddress } from "../settings_file.js";
import { LogFollower } from "./log_follower.js";
import type { RecordReader } from "./record_reader.js";
import { RelayLog } from "./relay_log.js";
import { RelayMetrics } from "./relay_metrics.js";
import type { RelaySettings } from "./relay_settings.js";

/** Time to wait for a connection to a backend server, in milliseconds; shorter than the second after which a lost opening packet is repeated. */
const CONNECT_TIMEOUT_MS = 250;

/** Interval at which queues and lapsed entries are looked at even if nothing happens, in milliseconds. */
const TICK_MS = 40;

/** Time kept between the end of a drain and the kill by the platform, in milliseconds. */
const DRAIN_RESERVE_MS = 600;

/** Interval at which a leaving node looks whether its calls have ended, in milliseconds. */
const DRAIN_CHECK_MS = 50;

/** Milliseconds in a second. */
const MS_PER_SECOND = 1_000;

/** Part of the fleet's retry allowance that is used; the rest covers calls that nodes don't know of. */
const RETRY_RESERVE = 0.8;

/** Nodes over which the fleet's allowance of retries without calls is divided. */
const RETRY_SHARERS = 12;

/** What a {@linkcode RelayNode} is built from. */
export interface RelayNodeParts {
    readonly settings: RelaySettings;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly logger: Logger;
    readonly log: KeyedLog;
    readonly records: RecordReader;
    readonly headers: RelayHeaders;
}

/** Serves callers until it is drained. */
export class RelayNode {
    private readonly stopped = new AbortController();
    private readonly startedAtMs: number;
    private readonly http = new HttpClient(CONNECT_TIMEOUT_MS);
    private readonly relayLog: RelayLog;
    private readonly metrics: RelayMetrics;
    private readonly metricsServer: StatusServer;
    private readonly health: LogHealth;
    private readonly pool: ServerPool;
    private readonly catalog: ServerCatalog;
    private readonly peers: PeerTable;
    private readonly quota: WorkspaceQuota;
    private readonly directory: NodeDirectory;
    private readonly reporter: PeerReporter;
    private readonly moves: VersionRollouts;
    private readonly follower: LogFollower;
    private readonly client: HttpRelayClient;
    private readonly callers: CallerServer;
    private readonly readiness: StatusServer;
    private readonly peerSocket: PeerSocket;
    private readonly schedulers = new Map<string, ServiceScheduler>();
    private readonly budgets = new Map<string, RetryBudget>();
    private workspaces: ReadonlySet<RelayWorkspace> = new Set();
    private drainSettings: RelaySettings["drain"];
    private leaving = false;

    /** @param parts See {@linkcode RelayNodeParts}. */
    constructor(private readonly parts: RelayNodeParts) {
        const { settings, clock, random, logger, headers } = parts;
        this.startedAtMs = clock.now();
        this.drainSettings = settings.drain;
        this.relayLog = new RelayLog({
            logger,
            clock,
            linesPerSecond: settings.logLinesPerSecond,
            onRecord: record => this.metrics.record(record),
        });
        this.health = new LogHealth(clock, {
            onLost: (topic, error) => this.relayLog.tell("log: lost", { topic, error: String(error) }),
            onRegained: (topic, silentMs) => this.relayLog.tell("log: regained", { topic, silentMs: Math.round(silentMs) }),
        });
        this.catalog = new ServerCatalog(clock, this.health, {
            onServerUpdated: server => this.takeServer(server),
            onServerRemoved: (server, reason) => this.dropServer(server, reason),
        });
        this.peers = new PeerTable(clock);
        this.health.peerSteadyMs = () => this.peers.longestLogSteadyMs;
        this.pool = new ServerPool(clock, this.peers);
        this.quota = new WorkspaceQuota({
            clock,
            isFirstStart: settings.isFirstStart,
            unreachableShare: () => this.peers.unheardShare(),
        });
        this.directory = new NodeDirectory({
            log: parts.log,
            clock,
            node: settings.node,
            failureDomain: settings.failureDomain,
            cores: settings.processor.cores * settings.processor.share,
            address: () => this.peerSocket.address,
            onProblem: text => this.relayLog.tell(`peers: ${text}`),
        });
        this.moves = new VersionRollouts({
            clock,
            log: parts.log,
            records: parts.records,
            bounds: settings.rollouts,
            peerCounts: () => this.peers.reports().flatMap(report => report.versions),
            onChange: (text, detail) => this.relayLog.tell(text, detail),
        });
        this.follower = new LogFollower({
            log: parts.log,
            clock,
            records: parts.records,
            health: this.health,
            catalog: this.catalog,
            moves: this.moves,
            relayLog: this.relayLog,
            leaveMs: settings.servers.leaveMs,
            onConfiguration: configuration => {
                this.workspaces = new Set(configuration.workspaceByKey.values());
                this.callers.setLimits(configuration.limits);
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
            address: () => this.peerSocket.address,
            workspaces: () => this.workspaces,
            demands: () => [...this.schedulers].map(([service, scheduler]) => [service, scheduler.demand] as const),
            versionCounts: () => this.moves.callCounter.counts(),
            isLeaving: () => this.leaving,
            logSteadyMs: () => this.health.steadyMs,
            onChange: () => this.serveQueues(),
            onPeerSeen: report => this.relayLog.tell("peers: seen", { peer: report.node, address: report.address }),
            onPeerGone: report => this.relayLog.tell("peers: gone", { peer: report.node }),
        });
        this.client = new HttpRelayClient(this.http, headers);
        const handler = new RelayHandler({
            clock,
            random,
            quota: this.quota,
            recorder: this.relayLog,
            configuration: () => this.follower.configuration,
            relay: {
                client: this.client,
                scheduler: service => this.scheduler(service),
                onServerCall: (state, isBad) => this.moves.recordCall(state, isBad),
                retryBudget: service => this.budget(service),
            },
        });
        this.callers = new CallerServer({
            clock,
            headers,
            receive: (call, answer) => handler.handle(call, answer),
            onError: error =>
                logger.error({ error: String(error), stack: (error as Error).stack }, "call: failed inside the node"),
        });
        this.metrics = this.makeMetrics();
        this.metricsServer = new StatusServer(
            new Map([["/metrics", async () => {
                return { status: 200, contentType: this.metrics.contentType, text: await this.metrics.text() };
            }]]),
            error => logger.error({ error: String(error) }, "metrics: failed"),
        );
        this.readiness = new StatusServer(
            new Map([["/-/ready", () => this.describeReadiness()]]),
            error => logger.error({ error: String(error) }, "readiness: failed"),
        );
    }

    private makeMetrics(): RelayMetrics {
        return new RelayMetrics({
            waitingCalls: () => [...this.schedulers].map(([service, scheduler]) => [service, scheduler.waitingCalls]),
            sentCalls: () => this.pool.sumByService(state => state.ownCalls),
            openServers: () => this.pool.sumByService(state => state.server.isDraining ? 0 : 1),
            peers: () => this.peers.heardPeers,
            configurationVersion: () => this.follower.configuration?.version ?? 0,
            isLogAnswering: () => this.health.isAnswering,
            droppedLines: () => this.relayLog.droppedLines,
        });
    }

    /** Whether the node has been asked to leave. */
    get isLeaving(): boolean {
        return this.leaving;
    }

    /** Whether the node can serve callers and is not about to leave. */
    get isReady(): boolean {
        return this.follower.configuration !== undefined && this.follower.hasServers && !this.leaving;
    }

    /** Address for callers, once the node has started. */
    get callerAddress(): string {
        return `${splitAddress(this.parts.settings.listen.callers)[0]}:${this.callers.port}`;
    }

    /** Address for the balancer, once the node has started. */
    get readinessAddress(): string {
        return `${splitAddress(this.parts.settings.listen.readiness)[0]}:${this.readiness.port}`;
    }

    /** Opens the ports and starts to follow the platform. */
    async start(): Promise<void> {
        const { listen } = this.parts.settings;
        await this.readiness.listen(...splitAddress(listen.readiness));
        if (listen.metrics !== undefined) {
            await this.metricsServer.listen(...splitAddress(listen.metrics));
        }
        await this.callers.listen(...splitAddress(listen.callers));
        await this.peerSocket.listen(...splitAddress(listen.peers));
        this.relayLog.tell("node: started", { listen });
        for (
            const task of [
                this.follower.run(this.stopped.signal),
                this.meetPeers(),
                this.tick(),
                this.moves.run(this.stopped.signal),
            ]
        ) {
            task.catch((error: unknown) => {
                this.parts.logger.fatal({ error: String(error), stack: (error as Error).stack }, "node: task failed");
                process.exitCode = 1;
                process.exit();
            });
        }
    }

    /** Puts settings in force that may change while the node runs: the bounds of its drain and of its log. */
    takeSettings(settings: RelaySettings): void {
        this.drainSettings = settings.drain;
        this.relayLog.setLinesPerSecond(settings.logLinesPerSecond);
        this.relayLog.tell("node: settings reloaded", { drain: settings.drain, logLinesPerSecond: settings.logLinesPerSecond });
    }

    /** Leaves without cutting a call: says that it is not ready, waits for callers to move on and for calls to end. */
    async drain(): Promise<void> {
        const { clock } = this.parts;
        const { graceSeconds, balancerLagMs } = this.drainSettings;
        const startedMs = clock.now();
        this.leaving = true;
        this.callers.startClosing();
        this.relayLog.tell("node: leaving", { openCalls: this.callers.openCalls });
        await clock.sleep(balancerLagMs);
        this.callers.stopListening();
        const endMs = startedMs + graceSeconds * MS_PER_SECOND - DRAIN_RESERVE_MS;
        while (this.callers.openCalls > 0 && clock.now() < endMs) {
            await clock.sleep(DRAIN_CHECK_MS);
        }
        this.stopped.abort();
        this.relayLog.tell("node: stopped", { openCalls: this.callers.openCalls });
        this.callers.closeAll();
        this.readiness.close();
        this.metricsServer.close();
        this.peerSocket.close();
        await this.http.close();
    }

    private async meetPeers(): Promise<void> {
        await this.directory.join(this.stopped.signal);
        await Promise.all([this.directory.run(this.stopped.signal), this.reporter.run(this.stopped.signal)]);
    }

    private async tick(): Promise<void> {
        while (await this.parts.clock.sleep(TICK_MS, this.stopped.signal)) {
            this.catalog.expire();
            this.serveQueues();
        }
    }

    private takeServer(server: RelayServer): void {
        const known = this.pool.find(server.id)?.server;
        if (known === undefined || known.isDraining !== server.isDraining) {
            this.relayLog.tell("server: seen", { ...server });
        }
        this.pool.put(server);
        this.serveQueues();
    }

    private dropServer(server: RelayServer, reason: string): void {
        this.relayLog.tell("server: gone", { id: server.id, service: server.service, reason });
        this.pool.remove(server.id);
        this.client.retain(new Set([...this.pool.all()].map(state => state.server.address)));
    }

    private serveQueues(): void {
        for (const scheduler of this.schedulers.values()) {
            scheduler.dispatchWaiting();
        }
    }

    private scheduler(service: string): ServiceScheduler {
        let scheduler = this.schedulers.get(service);
        if (scheduler === undefined) {
            const { clock, random, settings } = this.parts;
            const key = hashKey(service);
            scheduler = new ServiceScheduler({
                service,
                failureDomain: settings.failureDomain,
                clock,
                random,
                mainServers: () => this.moves.mainServers(service, this.pool.openServers(service)),
                peerDemand: () => this.peers.demandOf(key),
                reportIntervalMs: () => this.reporter.intervalMs,
                nodeCount: () => this.peers.heardPeers + 1,
                candidates: callId => this.moves.candidates(service, this.pool.openServers(service), callId),
            });
            this.schedulers.set(service, scheduler);
        }
        return scheduler;
    }

    private budget(service: string): RetryBudget {
        let budget = this.budgets.get(service);
        if (budget === undefined) {
            const { fraction, windowSeconds, slackCalls } = this.parts.settings.retries;
            budget = new RetryBudget(this.parts.clock, {
                retryFraction: fraction * RETRY_RESERVE,
                windowMs: windowSeconds * MS_PER_SECOND,
                minRetries: Math.floor(slackCalls * RETRY_RESERVE / RETRY_SHARERS),
            });
            this.budgets.set(service, budget);
        }
        return budget;
    }

    private describeReadiness(): { status: number; contentType: string; text: string } {
        const status = this.isReady ? 200 : 503;
        return { status, contentType: "text/plain", text: this.isReady ? "ready\n" : "not ready\n" };
    }
}
