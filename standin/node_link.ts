/**
 * Connections of one node, which can be made to fail as its process or its network would.
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

/** Time one way between two nodes, in milliseconds. */
const PEER_ONE_WAY_DELAY_MS = 1.5;

/** Point in the course of a call at which a test can make something happen. */
export enum LinkPoint {
    BeforeAppend = "beforeAppend",
    AppendCommitted = "appendLanded",
    AppendAcknowledged = "appended",
    BeforeDispatch = "beforeDispatch",
    Dispatched = "dispatched",
    Answered = "answered",
}

/** Is told when a call passes a point; the call goes on when it resolves. */
export type LinkListener = (point: LinkPoint, stream: string | undefined) => Promise<void>;

/** State of one node's connections. */
export class NodeLink {
    /** Whether the node is cut off from the log. */
    isolatedFromLog = false;
    /** Whether the node is cut off from the other nodes. */
    isolatedFromPeers = false;
    /** Whether the answers of appends are lost. */
    loseAppendAnswers = false;
    /** Time added to each call of the log, in milliseconds. */
    logDelayMs = 0;
    /** Listener of the points that calls pass. */
    listener: LinkListener = async () => undefined;
    private resumed: Promise<void> | undefined;
    private resumeAll: () => void = () => undefined;

    /** @param address Address of the node for its peers. */
    constructor(readonly address: string) {}

    /** Stops everything that the node sends and receives until {@linkcode NodeLink.resume}; a dead node never continues. */
    pause(): void {
        this.resumed ??= new Promise(resolve => {
            this.resumeAll = resolve;
        });
    }

    /** Lets a paused node go on. */
    resume(): void {
        this.resumed = undefined;
        this.resumeAll();
    }

    /** Passes a point: tells the listener, and holds the call when the node is stopped. */
    async reachPoint(point: LinkPoint, stream?: string): Promise<void> {
        await this.listener(point, stream);
        await this.awaitRunning();
    }

    /** Resolves when the node runs. */
    async awaitRunning(): Promise<void> {
        while (this.resumed !== undefined) {
            await this.resumed;
        }
    }
}

/** Log as one node reaches it. */
export class LinkedLog extends LogService {
    /**
     * @param link Connections of the node.
     * @param log Log behind them.
     * @param clock Clock that delays are timed by.
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

    private checkConnected(step: string, landed: Executed): void {
        if (this.link.isolatedFromLog) {
            throw new PlatformError(step, "log", landed, new Error("the log is out of reach"));
        }
    }
}

/** Plain services as one node reaches them. */
export class LinkedService extends PlainService {
    /**
     * @param link Connections of the node.
     * @param service Services behind them.
     */
    constructor(private readonly link: NodeLink, private readonly service: PlainService) {
        super();
    }

    override async send(vm: Vm, request: ServiceRequest, signal: AbortSignal): Promise<ServiceAnswer> {
        await this.link.reachPoint(LinkPoint.BeforeDispatch);
        const answering = this.service.send(vm, request, signal);
        await this.link.reachPoint(LinkPoint.Dispatched);
        const answer = await answering;
        await this.link.reachPoint(LinkPoint.Answered);
        return answer;
    }
}

/** Claim connections between the nodes of one process. */
export class ClaimHub {
    /** Calls carried. */
    calls = 0;
    private readonly endpoints = new Map<string, { readonly link: NodeLink; readonly handler: ClaimHandler }>();

    /** @param clock Clock that delays are timed by. */
    constructor(private readonly clock: Clock) {}

    /** Adds the handler of a node. */
    join(link: NodeLink, handler: ClaimHandler): void {
        this.endpoints.set(link.address, { link, handler });
    }

    /** Carries one call, or fails as the network would. */
    async deliver(from: NodeLink, address: string, request: claimWire.CommitClaimRequest): Promise<claimWire.ClaimVerdict> {
        const end = this.endpoints.get(address);
        if (end === undefined || from.isolatedFromPeers || end.link.isolatedFromPeers) {
            throw new ClaimPeerError(address, false, new Error("the node is out of reach"));
        }
        await this.clock.sleep(PEER_ONE_WAY_DELAY_MS);
        this.calls += 1;
        await end.link.awaitRunning();
        const verdict = await end.handler.commit(request);
        await end.link.awaitRunning();
        await this.clock.sleep(PEER_ONE_WAY_DELAY_MS);
        if (from.isolatedFromPeers || end.link.isolatedFromPeers) {
            throw new ClaimPeerError(address, true, new Error("the answer was lost"));
        }
        return verdict;
    }
}

/** Claim connections of one node. */
export class LinkedClaimClient extends ClaimClient {
    /**
     * @param link Connections of the node.
     * @param hub Hub that connects the nodes.
     * @param clock Clock that time limits are measured by.
     */
    constructor(private readonly link: NodeLink, private readonly hub: ClaimHub, private readonly clock: Clock) {
        super();
    }

    override async commit(
        address: string,
        request: claimWire.CommitClaimRequest,
        timeoutMs: number,
    ): Promise<claimWire.ClaimVerdict> {
        const decided = new AbortController();
        const timeout = this.clock.sleep(timeoutMs, decided.signal).then(() => undefined);
        try {
            await this.link.awaitRunning();
            const verdict = await Promise.race([this.hub.deliver(this.link, address, request), timeout]);
            if (verdict === undefined) {
                throw new ClaimPeerError(address, true, new Error(`no answer came within ${timeoutMs} ms`));
            }
            return verdict;
        }
        finally {
            decided.abort();
            await this.link.awaitRunning();
        }
    }
}
