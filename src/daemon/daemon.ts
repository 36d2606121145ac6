/**
 * Daemon: one entry VM of the system with its connections.
 *
 * @module
 */

import type { Logger } from "pino";
import { MAX_KEPT_RECORDS, MAX_REMEMBERED_CHANGES, SilentDissemination } from "../coordination/mod.js";
import { type Clock, MAX_RING_EVENTS, Part, type RandomSource } from "../state/mod.js";
import {
    GrpcConfigurationPeers,
    GrpcServer,
    HttpClient,
    HttpEngine,
    HttpLogService,
    HttpPlainService,
    HttpServer,
    HttpVmList,
    HttpWebhook,
    MAX_CALLER_CONNECTIONS,
    MAX_HELD_BODY_BYTES,
    type OperationsPage,
} from "../transport/mod.js";
import { ConfigurationOperatorDesk, ConfigurationPeerDesk } from "./configuration_desk.js";
import { watchConfiguration } from "./configuration_metrics.js";
import { EntryNode } from "./entry_node.js";
import { logEvents } from "./event_log.js";
import { type LimitedQuantity, Metrics } from "./metrics.js";
import { OperatorDesk } from "./operator_desk.js";
import { PeerDesk } from "./peer_desk.js";
import { findOperator, type Settings } from "./settings.js";

/** Time between two looks at the number of calls while draining, in milliseconds. */
const DRAIN_POLL_MS = 20;

/** What a daemon needs from the process it runs in. */
export interface DaemonSettings {
    readonly settings: Settings;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly logger: Logger;
}

/** One entry VM: takes calls, schedules them, follows the platform. */
export class Daemon {
    private readonly metrics = new Metrics();
    private readonly client = new HttpClient();
    private readonly configurationPeers = new GrpcConfigurationPeers();
    private readonly node: EntryNode;
    private readonly httpServer: HttpServer;
    private readonly grpcServer: GrpcServer;
    private draining = false;

    /** @param parts See {@linkcode DaemonSettings}. */
    constructor(private readonly parts: DaemonSettings) {
        const { settings, clock, random } = parts;
        this.node = new EntryNode({
            node: settings.node,
            failureDomain: settings.failureDomain,
            clock,
            random,
            engine: new HttpEngine(this.client),
            plainService: new HttpPlainService(this.client),
            log: new HttpLogService(this.client, settings.platform.log),
            vmList: new HttpVmList(this.client, settings.platform.vmList),
            dissemination: new SilentDissemination(),
            configurationPeers: this.configurationPeers,
            observer: this.metrics,
            webhook: settings.webhookUrl === undefined ? undefined : new HttpWebhook(settings.webhookUrl),
        });
        this.httpServer = new HttpServer({
            node: settings.node,
            handler: this.node.handler,
            operationsPage: path => this.operationsPage(path),
        });
        const limits = this.limits();
        this.metrics.watchLimits(limits);
        watchConfiguration(this.metrics.registry, this.node);
        this.grpcServer = new GrpcServer({
            peerHandler: new PeerDesk(this.node),
            operatorHandler: new OperatorDesk({ node: this.node, limits, isReady: () => this.ready }),
            rolloutHandler: this.node.rolloutDesk,
            configurationPeerHandler: new ConfigurationPeerDesk(this.node),
            configurationOperatorHandler: new ConfigurationOperatorDesk(this.node),
            findOperator: key => findOperator(settings, key),
        });
    }

    /** Whether the node takes new work. */
    get ready(): boolean {
        return !this.draining && this.node.configured;
    }

    /** Starts to listen and to follow the platform. */
    async start(): Promise<void> {
        const { settings, logger } = this.parts;
        logEvents(this.node.ring, logger);
        await this.grpcServer.listen(...splitAddress(settings.listen.peers));
        await this.httpServer.listen(...splitAddress(settings.listen.callers));
        this.node.start();
        this.record("started", `Node ${settings.node} listens on ${settings.listen.callers}.`);
    }

    /**
     * Takes no new work, lets every call end and stops.
     *
     * @param signal Ends the wait for calls when aborted.
     * @returns Number of calls that had not ended.
     */
    async drain(signal: AbortSignal): Promise<number> {
        const { settings, clock } = this.parts;
        this.draining = true;
        this.record("draining", `Node ${settings.node} takes no new work.`);
        await clock.sleep(settings.drain.balancerLagMs, signal);
        this.httpServer.stopAccepting();
        const giveUpAtMs = clock.now() + settings.drain.limitMs;
        while (this.node.handler.active > 0 && clock.now() < giveUpAtMs && !signal.aborted) {
            await clock.sleep(DRAIN_POLL_MS, signal);
        }
        const left = this.node.handler.active;
        this.record("stopped", `Node ${settings.node} stops with ${left} calls left.`);
        await this.stop();
        return left;
    }

    private async stop(): Promise<void> {
        this.httpServer.close();
        this.grpcServer.close();
        this.configurationPeers.close();
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
                    { status: 503, contentType, body: this.whyNotReady() };
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

    private whyNotReady(): string {
        return this.draining ? "draining\n" : `${this.node.follower.whyNotReady}\n`;
    }

    private limits(): readonly LimitedQuantity[] {
        return [
            { name: "MAX_CALLER_CONNECTIONS", limit: MAX_CALLER_CONNECTIONS, read: () => this.httpServer.connections },
            { name: "MAX_HELD_BODY_BYTES", limit: MAX_HELD_BODY_BYTES, read: () => this.httpServer.bodyBytes },
            { name: "MAX_RING_EVENTS", limit: MAX_RING_EVENTS, read: () => this.node.ring.size },
            { name: "MAX_KEPT_RECORDS", limit: MAX_KEPT_RECORDS, read: () => this.node.follower.journal.kept.size },
            {
                name: "MAX_REMEMBERED_CHANGES",
                limit: MAX_REMEMBERED_CHANGES,
                read: () => this.node.follower.journal.history.size,
            },
        ];
    }

    private record(kind: string, text: string): void {
        this.node.ring.record({ part: Part.Daemon, kind, text });
    }
}

function splitAddress(address: string): [host: string, port: number] {
    const [host, port] = address.split(":");
    return [host, Number(port)];
}
