/**
 * Daemon of one entry VM: its servers, its clients and its node.
 *
 * @module
 */

import type { Logger } from "pino";
import {
    GossipDissemination,
    MAX_KEPT_RECORDS,
    MAX_KEYS,
    MAX_REMEMBERED_CHANGES,
    MAX_STORING_ENTRIES,
    MAX_STREAMS,
    Membership,
    TieredScheduler,
} from "../coordination/mod.js";
import { type Clock, HybridClock, MAX_RING_EVENTS, Part, type RandomSource } from "../state/mod.js";
import {
    type CertificateError,
    CertificateFiles,
    claimOperatorService,
    claimPeerService,
    configurationOperatorService,
    configurationPeerService,
    ConnectionBound,
    GrpcClaimClient,
    GrpcConfigurationClient,
    GrpcPeerClient,
    GrpcServer,
    type GrpcService,
    HttpClient,
    HttpEngine,
    HttpLogService,
    HttpPlainService,
    HttpServer,
    HttpVmList,
    HttpWebhook,
    MAX_CALLER_CONNECTIONS,
    MAX_HELD_MESSAGE_BYTES,
    MAX_PEER_CHANNELS,
    type OperationsPage,
    operatorService,
    PeerAuthorizer,
    peerService,
    rolloutOperatorService,
} from "../transport/mod.js";
import { ClaimService } from "./claim_service.js";
import { registerConfigurationMetrics } from "./configuration_metrics.js";
import { ConfigurationOperatorService, ConfigurationPeerService } from "./configuration_services.js";
import { EntryNode } from "./entry_node.js";
import { logEvents } from "./event_log.js";
import { type LimitedQuantity, Metrics } from "./metrics.js";
import { OperatorService } from "./operator_service.js";
import { PeerService } from "./peer_service.js";
import { dividePorts, type PortLimits, readDescriptorLimit } from "./process_limits.js";
import { registerSchedulingMetrics, schedulingLimits } from "./scheduling_metrics.js";
import { findOperator, type Settings } from "./settings.js";
import { splitAddress } from "./settings_file.js";

/** Interval at which a draining daemon checks the number of active calls, in milliseconds. */
const DRAIN_POLL_INTERVAL_MS = 20;

/** Maximum time that a stopping daemon waits until the calls in progress are refused, in milliseconds. */
const REFUSAL_TIMEOUT_MS = 500;

/** Dependencies of a {@linkcode Daemon}. */
export interface DaemonDependencies {
    readonly settings: Settings;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly logger: Logger;
}

/** Runs one entry VM: accepts calls, schedules them, and follows the VM list and the log of the platform. */
export class Daemon {
    private readonly metrics = new Metrics();
    private readonly client = new HttpClient();
    private readonly certificates: CertificateFiles | undefined;
    private readonly peerClient: GrpcPeerClient;
    private readonly membership: Membership;
    private readonly dissemination: GossipDissemination;
    private readonly configurationClient: GrpcConfigurationClient;
    private readonly claimClient: GrpcClaimClient;
    private readonly node: EntryNode;
    /** Bounds on the connections of each port, by its use. */
    private readonly connectionBounds: Readonly<Record<"callers" | "peers", ConnectionBound>>;
    private readonly httpServer: HttpServer;
    private readonly grpcServer: GrpcServer;
    private readonly stopped = new AbortController();
    private draining = false;

    /** @param dependencies See {@linkcode DaemonDependencies}. */
    constructor(private readonly dependencies: DaemonDependencies) {
        const { settings, clock, random } = dependencies;
        this.certificates = "plainText" in settings.tls ? undefined : new CertificateFiles(settings.tls);
        this.peerClient = new GrpcPeerClient(this.certificates?.channelCredentials());
        this.configurationClient = new GrpcConfigurationClient(this.certificates?.channelCredentials());
        this.claimClient = new GrpcClaimClient(this.certificates?.channelCredentials());
        this.membership = new Membership({
            node: settings.node,
            address: settings.listen.peers,
            failureDomain: settings.failureDomain,
            clock,
            random,
            hybridClock: new HybridClock(clock),
            client: this.peerClient,
        });
        const { membership } = this;
        this.dissemination = new GossipDissemination({ clock, random, membership });
        this.node = new EntryNode({
            node: settings.node,
            failureDomain: settings.failureDomain,
            clock,
            random,
            engine: new HttpEngine(this.client),
            plainService: new HttpPlainService(this.client),
            log: new HttpLogService(this.client, settings.platform.log),
            vmList: new HttpVmList(this.client, settings.platform.vmList),
            membership,
            dissemination: this.dissemination,
            configurationClient: this.configurationClient,
            observer: this.metrics,
            claimClient: this.claimClient,
            keyRules: settings.claims,
            webhook: settings.webhookUrl === undefined ? undefined : new HttpWebhook(settings.webhookUrl),
        });
        const { callers, peers } = dividePorts(readDescriptorLimit());
        const { maxConnections = MAX_CALLER_CONNECTIONS, maxPeerConnections = peers.maxConnections } = settings.input;
        this.connectionBounds = {
            callers: this.makeConnectionBound("callers", {
                ...callers,
                maxConnections: Math.min(maxConnections, callers.maxConnections),
            }),
            peers: this.makeConnectionBound("peers", { ...peers, maxConnections: maxPeerConnections }),
        };
        this.httpServer = new HttpServer({
            clock,
            node: settings.node,
            connectionBound: this.connectionBounds.callers,
            limits: {
                maxBodyBytes: settings.input.maxBodyBytes,
                maxHeldBodyBytes: settings.input.maxHeldBytes,
            },
            handler: this.node.handler,
            operationsPage: path => this.operationsPage(path),
            onError: error => this.recordEvent("failed", `A request failed inside the node: ${String(error)}.`),
        });
        const limits = this.limits();
        this.metrics.registerLimitMetrics(limits);
        this.metrics.registerCertificateMetric(() => this.certificates?.expiresAtMs);
        if (this.node.scheduler instanceof TieredScheduler) {
            registerSchedulingMetrics(this.metrics.registry, this.node.scheduler, rank => tierName(this.node, rank));
        }
        this.metrics.registerInputMetrics({
            evictions: () => this.httpServer.evictions + this.grpcServer.evictions,
            pacedConnections: () => this.httpServer.pacedConnections,
            connections: () => Object.entries(this.connectionBounds),
        });
        registerConfigurationMetrics(this.metrics.registry, this.node);
        this.grpcServer = new GrpcServer({
            clock,
            connectionBound: this.connectionBounds.peers,
            services: this.services(limits),
            credentials: this.certificates?.serverCredentials(),
        });
    }

    /** Whether the node accepts new calls. */
    get ready(): boolean {
        return !this.draining && this.node.configured;
    }

    /** Opens the listening ports and starts the background tasks. */
    async start(): Promise<void> {
        const { settings, logger, clock } = this.dependencies;
        logEvents(this.node.ring, logger);
        await this.grpcServer.listen(...splitAddress(settings.listen.peers));
        await this.httpServer.listen(...splitAddress(settings.listen.callers));
        this.node.start();
        void this.dissemination.run(this.stopped.signal);
        void this.certificates?.watch(clock, this.stopped.signal, error => this.recordCertificateReload(error));
        this.recordEvent("started", `Node ${settings.node} listens on ${settings.listen.callers}.`);
    }

    /**
     * Stops gracefully: reports not ready, keeps accepting calls until the balancer has reacted, waits for active calls, then stops.
     *
     * @param signal Ends the waits early when aborted.
     * @returns Number of calls that were still active at the end.
     */
    async drain(signal: AbortSignal): Promise<number> {
        const { settings, clock } = this.dependencies;
        this.draining = true;
        this.recordEvent("draining", `Node ${settings.node} is draining.`);
        await clock.sleep(settings.drain.balancerLagMs, signal);
        await this.httpServer.stopAccepting();
        const deadlineMs = clock.now() + settings.drain.limitMs;
        while (this.node.handler.active > 0 && clock.now() < deadlineMs && !signal.aborted) {
            await clock.sleep(DRAIN_POLL_INTERVAL_MS, signal);
        }
        const activeCalls = this.node.handler.active;
        await this.endCalls();
        await this.membership.leave();
        this.recordEvent("stopped", `Node ${settings.node} stops with ${activeCalls} active calls.`);
        await this.stop();
        return activeCalls;
    }

    /** Refuses the calls in progress, and waits for {@linkcode REFUSAL_TIMEOUT_MS} at most until the refusals are written. */
    private async endCalls(): Promise<void> {
        const { clock } = this.dependencies;
        const deadlineMs = clock.now() + REFUSAL_TIMEOUT_MS;
        this.httpServer.endCalls();
        while (this.node.handler.active > 0 && clock.now() < deadlineMs) {
            await clock.sleep(DRAIN_POLL_INTERVAL_MS, this.stopped.signal);
        }
    }

    private makeConnectionBound(port: string, limits: PortLimits): ConnectionBound {
        return new ConnectionBound({
            ...limits,
            clock: this.dependencies.clock,
            onGivenUp: ({ stalled, refused, heads, open, maxConnections }) => {
                const text =
                    `Port for ${port}: ${stalled} stalled connections, ${refused} new ones and ${heads} with large heads ` +
                    `were closed; ${open} of ${maxConnections} are open.`;
                this.recordEvent("crowded", text);
            },
        });
    }

    private services(limits: readonly LimitedQuantity[]): readonly GrpcService[] {
        const { node, membership, dissemination } = this;
        const authorizer = new PeerAuthorizer(this.certificates !== undefined);
        const claimService = new ClaimService(node);
        const certificateExpiresAtMs = () => this.certificates?.expiresAtMs;
        const findOperatorByKey = (key: string | undefined) => findOperator(this.dependencies.settings, key);
        return [
            peerService(
                new PeerService({ membership, dissemination, configurationVersion: () => node.view.published.version }),
                authorizer,
            ),
            claimPeerService(claimService, authorizer),
            configurationPeerService(new ConfigurationPeerService(node), authorizer),
            operatorService(
                new OperatorService({ node, limits, isReady: () => this.ready, certificateExpiresAtMs }),
                findOperatorByKey,
            ),
            claimOperatorService(claimService, findOperatorByKey),
            configurationOperatorService(new ConfigurationOperatorService(node), findOperatorByKey),
            rolloutOperatorService(node.rolloutOperatorService, findOperatorByKey),
        ];
    }

    private async stop(): Promise<void> {
        this.stopped.abort();
        this.httpServer.close();
        await this.node.flush();
        this.grpcServer.close();
        this.peerClient.close();
        this.configurationClient.close();
        this.claimClient.close();
        await this.client.close();
        await this.node.stop();
    }

    private async operationsPage(path: string): Promise<OperationsPage | undefined> {
        const contentType = "text/plain; charset=utf-8";
        switch (path) {
            case "/healthz":
                return { status: 200, contentType, body: "alive\n" };
            case "/readyz":
                return this.ready ?
                    { status: 200, contentType, body: "ready\n" } :
                    { status: 503, contentType, body: this.notReadyReason() };
            case "/metrics":
                return {
                    status: 200,
                    contentType: this.metrics.registry.contentType,
                    body: await this.metrics.registry.metrics(),
                };
            default:
                return undefined;
        }
    }

    private notReadyReason(): string {
        return this.draining ? "draining\n" : `${this.node.configurationFollower.notReadyReason}\n`;
    }

    private limits(): readonly LimitedQuantity[] {
        const { input } = this.dependencies.settings;
        const { callers, peers } = this.connectionBounds;
        return [
            { name: "MAX_CALLER_CONNECTIONS", limit: callers.maxConnections, read: () => callers.open },
            { name: "MAX_PEER_CONNECTIONS", limit: peers.maxConnections, read: () => peers.open },
            { name: "MAX_HELD_BODY_BYTES", limit: input.maxHeldBytes, read: () => this.httpServer.bodyBytes },
            { name: "MAX_HELD_MESSAGE_BYTES", limit: MAX_HELD_MESSAGE_BYTES, read: () => this.grpcServer.messageBytes },
            { name: "MAX_KEYS", limit: MAX_KEYS, read: () => this.node.guard.streams.keyCount },
            { name: "MAX_STREAMS", limit: MAX_STREAMS, read: () => this.node.guard.streams.size },
            { name: "MAX_STORING_ENTRIES", limit: MAX_STORING_ENTRIES, read: () => this.node.guard.outbox.size },
            { name: "MAX_RING_EVENTS", limit: MAX_RING_EVENTS, read: () => this.node.ring.size },
            { name: "MAX_PEER_CHANNELS", limit: MAX_PEER_CHANNELS, read: () => this.peerClient.channels },
            ...this.membership.limits,
            ...this.dissemination.limits,
            ...(this.node.scheduler instanceof TieredScheduler ? schedulingLimits(this.node.scheduler) : []),
            {
                name: "MAX_KEPT_RECORDS",
                limit: MAX_KEPT_RECORDS,
                read: () => this.node.configurationFollower.stateMachine.recentRecords.size,
            },
            {
                name: "MAX_REMEMBERED_CHANGES",
                limit: MAX_REMEMBERED_CHANGES,
                read: () => this.node.configurationFollower.stateMachine.history.size,
            },
        ];
    }

    private recordCertificateReload(error: CertificateError | undefined): void {
        if (error !== undefined) {
            this.recordEvent("certificateRefused", `${error.message}. The last certificate stays in use.`);
            return;
        }
        const expiry = new Date(this.certificates?.expiresAtMs ?? 0).toISOString();
        this.recordEvent("certificateInUse", `New certificate files are in use; the certificate expires at ${expiry}.`);
    }

    private recordEvent(kind: string, text: string): void {
        this.node.ring.record({ part: Part.Daemon, kind, text });
    }
}

function tierName(node: EntryNode, rank: number): string {
    return node.view.current.document.tiers.find(tier => tier.rank === rank)?.name ?? `rank-${rank}`;
}
