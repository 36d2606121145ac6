/**
 * Links of one node to the log, services and peers, with injected failures of its process and network.
 *
 * @module
 */

import {
    ClaimClient,
    type ClaimHandler,
    ClaimPeerError,
    type claimWire,
    Executed,
    type LogPage,
    type LogReadSettings,
    LogService,
    PlainService,
    PlatformError,
    type ServiceAnswer,
    type ServiceRequest,
} from "../src/protocol/mod.js";
import type { Clock, Vm } from "../src/state/mod.js";

/** One-way network delay between two nodes, in milliseconds. */
const PEER_ONE_WAY_DELAY_MS = 1.5;

/** Point of a call at which tests can inject a fault. */
export enum LinkPoint {
    BeforeAppend = "beforeAppend",
    AppendCommitted = "appendLanded",
    AppendAcknowledged = "appended",
    BeforeDispatch = "beforeDispatch",
    Dispatched = "dispatched",
    Answered = "answered",
}

/** Called when a call reaches a point; the call proceeds once the promise resolves. */
export type LinkListener = (point: LinkPoint, stream: string | undefined) => Promise<void>;

/** Injected faults and listener of one node's connections. */
export class NodeLink {
    /** Whether the node is partitioned from the log. */
    isolatedFromLog = false;
    /** Whether the node is partitioned from the other nodes. */
    isolatedFromPeers = false;
    /** Whether the answers of appends are lost. */
    loseAppendAnswers = false;
    /** Latency added to each call to the log, in milliseconds. */
    logDelayMs = 0;
    /** Called at each point that a call reaches. */
    listener: LinkListener = async () => undefined;
    private resumed: Promise<void> | undefined;
    private resumeAll: () => void = () => undefined;

    /** @param address Address at which peers reach the node. */
    constructor(readonly address: string) {}

    /** Suspends all traffic of the node until {@linkcode NodeLink.resume}; without a resume it simulates a crash. */
    pause(): void {
        this.resumed ??= new Promise(resolve => {
            this.resumeAll = resolve;
        });
    }

    /** Resumes a paused node. */
    resume(): void {
        this.resumed = undefined;
        this.resumeAll();
    }

    /** Calls the listener for a point, then waits while the node is paused. */
    async reachPoint(point: LinkPoint, stream?: string): Promise<void> {
        await this.listener(point, stream);
        await this.awaitRunning();
    }

    /** Waits until the node is not paused. */
    async awaitRunning(): Promise<void> {
        while (this.resumed !== undefined) {
            await this.resumed;
        }
    }
}

/** Log service accessed over the link of one node. */
export class LinkedLog extends LogService {
    /**
     * @param link Link of the node.
     * @param log Log service behind the link.
     * @param clock Clock that times the delays.
     */
    constructor(private readonly link: NodeLink, private readonly log: LogService, private readonly clock: Clock) {
        super();
    }

    override async append(stream: string, data: Uint8Array): Promise<number> {
        const step = `append to stream ${stream}`;
        await this.link.reachPoint(LinkPoint.BeforeAppend, stream);
        await this.clock.sleep(this.link.logDelayMs / 2);
        this.checkConnected(step, Executed.No);
        const offset = await this.log.append(stream, data);
        await this.link.reachPoint(LinkPoint.AppendCommitted, stream);
        await this.clock.sleep(this.link.logDelayMs / 2);
        this.checkConnected(step, Executed.Unknown);
        if (this.link.loseAppendAnswers) {
            throw new PlatformError(step, "log", Executed.Unknown, new Error("the answer was lost"));
        }
        await this.link.reachPoint(LinkPoint.AppendAcknowledged, stream);
        return offset;
    }

    override async read(stream: string, fromOffset: number, settings?: LogReadSettings): Promise<LogPage> {
        await this.link.awaitRunning();
        await this.clock.sleep(this.link.logDelayMs);
        this.checkConnected(`read stream ${stream}`, Executed.No);
        const page = await this.log.read(stream, fromOffset, settings);
        await this.link.awaitRunning();
        this.checkConnected(`read stream ${stream}`, Executed.No);
        return page;
    }

    private checkConnected(step: string, executed: Executed): void {
        if (this.link.isolatedFromLog) {
            throw new PlatformError(step, "log", executed, new Error("the log is out of reach"));
        }
    }
}

/** Plain services accessed over the link of one node. */
export class LinkedService extends PlainService {
    /**
     * @param link Link of the node.
     * @param service Services behind the link.
     */
    constructor(private readonly link: NodeLink, private readonly service: PlainService) {
        super();
    }

    override async send(vm: Vm, request: ServiceRequest, signal: AbortSignal): Promise<ServiceAnswer> {
        await this.link.reachPoint(LinkPoint.BeforeDispatch);
        const pendingAnswer = this.service.send(vm, request, signal);
        await this.link.reachPoint(LinkPoint.Dispatched);
        const answer = await pendingAnswer;
        await this.link.reachPoint(LinkPoint.Answered);
        return answer;
    }
}

/** In-process transport for claims between nodes. */
export class ClaimHub {
    /** Number of delivered calls. */
    calls = 0;
    private readonly endpoints = new Map<string, { readonly link: NodeLink; readonly handler: ClaimHandler }>();

    /** @param clock Clock that times the delays. */
    constructor(private readonly clock: Clock) {}

    /** Registers the handler of a node. */
    join(link: NodeLink, handler: ClaimHandler): void {
        this.endpoints.set(link.address, { link, handler });
    }

    /**
     * Delivers one call and its answer over the links of both nodes.
     *
     * @throws {ClaimPeerError} When either node is partitioned, before or after the call was handled.
     */
    async deliver(from: NodeLink, address: string, request: claimWire.CommitClaimRequest): Promise<claimWire.ClaimVerdict> {
        const endpoint = this.endpoints.get(address);
        if (endpoint === undefined || from.isolatedFromPeers || endpoint.link.isolatedFromPeers) {
            throw new ClaimPeerError(address, false, new Error("the node is out of reach"));
        }
        await this.clock.sleep(PEER_ONE_WAY_DELAY_MS);
        this.calls += 1;
        await endpoint.link.awaitRunning();
        const verdict = await endpoint.handler.commit(request);
        await endpoint.link.awaitRunning();
        await this.clock.sleep(PEER_ONE_WAY_DELAY_MS);
        if (from.isolatedFromPeers || endpoint.link.isolatedFromPeers) {
            throw new ClaimPeerError(address, true, new Error("the answer was lost"));
        }
        return verdict;
    }
}

/** Claim client of one node. */
export class LinkedClaimClient extends ClaimClient {
    /**
     * @param link Link of the node.
     * @param hub Hub that connects the nodes.
     * @param clock Clock that times the timeouts.
     */
    constructor(private readonly link: NodeLink, private readonly hub: ClaimHub, private readonly clock: Clock) {
        super();
    }

    override async commit(
        address: string,
        request: claimWire.CommitClaimRequest,
        timeoutMs: number,
    ): Promise<claimWire.ClaimVerdict> {
        const settled = new AbortController();
        const timeout = this.clock.sleep(timeoutMs, settled.signal).then(() => undefined);
        try {
            await this.link.awaitRunning();
            const verdict = await Promise.race([this.hub.deliver(this.link, address, request), timeout]);
            if (verdict === undefined) {
                throw new ClaimPeerError(address, true, new Error(`no answer came within ${timeoutMs} ms`));
            }
            return verdict;
        }
        finally {
            settled.abort();
            await this.link.awaitRunning();
        }
    }
}
