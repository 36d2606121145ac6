/**
 * One relay node before servers that are all silent for a time, and a peer that follows a script, under a virtual clock.
 *
 * @module
 */

import {
    BrittleServers,
    CallFingerprint,
    CallQuarantine,
    type CallRecord,
    DetourPeers,
    NodeDirectory,
    PeerTable,
    RelayHandler,
    RetryBudget,
    ServerCallObserver,
    ServerLimits,
    ServerPool,
    ServerReach,
    ServerStatements,
    ServiceScheduler,
    StopDeadline,
    WorkspaceQuota,
} from "../../src/coordination/relay/mod.js";
import type { DetourCall } from "../../src/protocol/relay/mod.js";
import {
    type AttemptAnswer,
    type AttemptHead,
    DetourClient,
    type DetourPeer,
    type RelayCall,
    RelayClient,
} from "../../src/protocol/relay/mod.js";
import { type RelayRoute, type RelayServer, RouteTable, SeededRandom, Semantics } from "../../src/state/relay/mod.js";
import { KeyedLogModel } from "../../standin/keyed_log_model.js";
import { VirtualClock } from "../../standin/virtual_clock.js";
import { makeAnswerHead, ScriptedAnswer, type ScriptedPart } from "./scripted_answer.js";
import { ScriptedCaller } from "./scripted_caller.js";

const FINGERPRINT = await CallFingerprint.load();
const SERVICE = "service";

/** Interval at which the node checks its reach, in milliseconds. */
const MAINTENANCE_MS = 40;

/** Time between events of a server, and from a call to its whole answer, in milliseconds. */
const EVENT_MS = 100;
const WHOLE_ANSWER_MS = 300;

/** Events of a complete stream. */
export const SCRIPTED_EVENTS = 6;

/** Body of a whole answer. */
export const SCRIPTED_BODY = "answer";

/** Deadline of callers and timeout of the route, in milliseconds. */
export const SCRIPTED_LIMIT_MS = 5_000;

/** Time in which a peer answers, and that of a late one, in milliseconds. */
const PEER_MS = 50;
const LATE_PEER_MS = 1_500;

/** How a peer treats a call; tests select it by the text. */
export enum PeerBehavior {
    None = "is there",
    Takes = "takes calls",
    Declines = "declines calls",
    Refuses = "refuses calls",
    Silent = "has silent servers as well",
    Late = "answers late",
    Breaks = "breaks off within the first event",
    BreaksAtOnce = "breaks off before its answer",
    Fails = "passes an error of its server on",
}

/** Kind of call in the model. */
export interface SilenceCall {
    readonly isStream: boolean;
    readonly mayRepeat: boolean;
    /** Whether the servers fall silent after two events; otherwise before the first one. */
    readonly isBegun: boolean;
}

/** Settings of a {@linkcode SilenceModel}. */
export interface SilenceSettings {
    readonly call: SilenceCall;
    readonly servers: number;
    readonly silentMs: number;
    readonly peer: PeerBehavior;
    /** Peers that treat calls in this way. Defaults to 1. */
    readonly peers?: number;
    /** Retries that the budget allows. Defaults to 5. */
    readonly retries?: number;
    /** Most attempts of the route. Defaults to 2. */
    readonly maxAttempts?: number;
    /** Time between events of a server, in milliseconds. Defaults to 100. */
    readonly eventMs?: number;
    /** Timeout of the route, in milliseconds. Defaults to the deadline of callers. */
    readonly timeoutMs?: number;
    /** Whether the servers break their answers off at the end of the silence. Defaults to no. */
    readonly breaksOff?: boolean;
    /** Whether the servers refuse their calls as not run at the end of the silence. Defaults to no. */
    readonly refuses?: boolean;
    /** Whether an error inside the node is thrown as the attempt at a server ends. Defaults to no. */
    readonly failsInside?: boolean;
    /** Time after the calls at which the callers leave, in milliseconds. Defaults to never. */
    readonly callersLeaveMs?: number;
}

/** Run of a call at a server of the node or of a peer. */
export interface ScriptedRun {
    readonly id: string;
    readonly isAtPeer: boolean;
    readonly startedAtMs: number;
    /** When it ended, broke off or was cancelled. */
    overAtMs: number | undefined;
}

/** Observes nothing. */
class SilentObserver extends ServerCallObserver {
    override recordSent(): void {}
    override recordFirstEvent(): void {}
    override recordInterval(): void {}
    override recordEnd(): void {}
}

/** Fails as an attempt ends. */
class FailingObserver extends SilentObserver {
    override recordEnd(): void {
        throw new Error("fault of the test");
    }
}

/** Node, servers, peer and callers. */
export class SilenceModel {
    readonly clock = new VirtualClock();
    readonly startedAtMs = this.clock.now();
    readonly silentFromMs: number;
    readonly silentUntilMs: number;
    readonly runs: ScriptedRun[] = [];
    /** Callers by the ids of their calls. */
    readonly callers = new Map<string, ScriptedCaller>();
    readonly records: CallRecord[] = [];
    losses = 0;
    private readonly stopped = new AbortController();
    /** Stop of the node, which the model does not begin. */
    protected readonly stopDeadline = new StopDeadline(this.clock);
    private readonly handler: RelayHandler;

    /** @param settings See {@linkcode SilenceSettings}. */
    constructor(readonly settings: SilenceSettings) {
        this.silentFromMs = this.startedAtMs + (settings.call.isBegun ? 2.5 * EVENT_MS : 0.5 * EVENT_MS);
        this.silentUntilMs = this.silentFromMs + settings.silentMs;
        this.handler = this.makeHandler();
    }

    /** Sends one call for each server and plays it to its end. */
    async run(): Promise<void> {
        for (let index = 0; index < this.settings.servers; index += 1) {
            const caller = new ScriptedCaller(this.clock);
            const id = `call-${index}`;
            this.callers.set(id, caller);
            void this.handler.handle(this.makeCall(id, caller), caller);
        }
        const { callersLeaveMs = 0 } = this.settings;
        await this.clock.advance(callersLeaveMs);
        for (const { gone } of callersLeaveMs > 0 ? this.callers.values() : []) {
            gone.abort(new Error("the caller left"));
        }
        await this.clock.advance(SCRIPTED_LIMIT_MS + 1_000);
        this.stopped.abort();
    }

    private makeCall(id: string, caller: ScriptedCaller): RelayCall {
        return {
            head: {
                id,
                host: "app.example",
                key: undefined,
                deadlineMs: SCRIPTED_LIMIT_MS,
                size: { prompt: 0, maxOutput: 0 },
                outputEstimate: undefined,
                parts: [],
                lastEventId: undefined,
                endToEnd: [],
            },
            method: "POST",
            target: "/",
            body: Buffer.from(id),
            arrivedAtMs: this.clock.now(),
            callerGone: caller.gone.signal,
        };
    }

    private makeRoute(): RelayRoute {
        const { isStream, mayRepeat } = this.settings.call;
        return {
            name: "route",
            host: "app.example",
            pathPrefix: "/",
            semantics: mayRepeat && !isStream ? Semantics.Repeatable : Semantics.DispatchOnce,
            isStream,
            isResumable: mayRepeat && isStream,
            timeoutMs: this.settings.timeoutMs ?? SCRIPTED_LIMIT_MS,
            objectiveMs: 500,
            maxPauseMs: 300,
            rank: 0,
            shares: [{ service: SERVICE, weight: 1 }],
            maxAttempts: this.settings.maxAttempts ?? 2,
            isPublic: true,
        };
    }

    /** Script of a server's answer from an event on, delivered when no server is silent. */
    private serverParts(after: number): readonly ScriptedPart[] {
        const now = this.clock.now();
        if (!this.settings.call.isStream) {
            const atMs = this.delay(now + WHOLE_ANSWER_MS);
            return [{ atMs, content: Buffer.from(SCRIPTED_BODY) }, { atMs, content: "end" }];
        }
        const parts: ScriptedPart[] = [];
        for (let event = after + 1; event <= SCRIPTED_EVENTS; event += 1) {
            parts.push({
                atMs: this.delay(now + (event - after) * (this.settings.eventMs ?? EVENT_MS)),
                content: Buffer.from(formatScriptedEvent(event)),
            });
        }
        return [...parts, { atMs: parts.at(-1)?.atMs ?? now, content: "end" }];
    }

    private breakOff(parts: readonly ScriptedPart[]): readonly ScriptedPart[] {
        const kept = parts.filter(({ atMs }) => atMs < this.silentFromMs);
        return this.settings.breaksOff === true ? [...kept, { atMs: this.silentUntilMs, content: "break" }] : parts;
    }

    private delay(atMs: number): number {
        return atMs >= this.silentFromMs && atMs < this.silentUntilMs ? this.silentUntilMs : atMs;
    }

    protected sendToServer(server: RelayServer, call: RelayCall, attempt: AttemptHead, signal: AbortSignal): AttemptAnswer {
        const { clock } = this;
        const run = this.startRun(call.head.id, false);
        const isRefused = this.settings.refuses === true;
        const parts: readonly ScriptedPart[] = isRefused ?
            [{ atMs: this.silentUntilMs, content: "end" }] :
            this.breakOff(this.serverParts(Number(attempt.lastEventId ?? 0)));
        return new ScriptedAnswer({
            clock,
            receiver: server.id,
            head: makeAnswerHead(isRefused ? 503 : 200, call.head.id, true, { isNotExecuted: isRefused }),
            headAtMs: parts[0]?.atMs ?? clock.now(),
            parts,
            signal,
            onOver: () => run.overAtMs = clock.now(),
        });
    }

    protected sendToPeer(peer: DetourPeer, message: DetourCall, signal: AbortSignal): AttemptAnswer {
        const { clock } = this;
        const now = clock.now();
        const script = (status: number, isSealed: boolean, parts: readonly ScriptedPart[], headAtMs = now + PEER_MS) => {
            const run = isSealed ? this.startRun(String(message.body), true) : undefined;
            return new ScriptedAnswer({
                clock,
                receiver: peer.node,
                head: makeAnswerHead(status, undefined, isSealed),
                headAtMs,
                parts,
                signal,
                onOver: () => {
                    if (run !== undefined) {
                        run.overAtMs = clock.now();
                    }
                },
            });
        };
        const whole = (text: string): readonly ScriptedPart[] => [
            { atMs: now + PEER_MS, content: Buffer.from(text) },
            { atMs: now + PEER_MS, content: "end" },
        ];
        const taken = (firstAtMs: number) => {
            const parts = this.peerParts(Number(message.lastEventId), firstAtMs);
            return script(200, true, parts, firstAtMs);
        };
        switch (this.settings.peer) {
            case PeerBehavior.None:
            case PeerBehavior.Takes:
                return taken(now + PEER_MS);
            case PeerBehavior.Silent:
                return taken(Math.max(now, this.silentUntilMs) + PEER_MS);
            case PeerBehavior.Late:
                return taken(now + LATE_PEER_MS);
            case PeerBehavior.Declines:
                return script(421, false, whole('{"error":"declined"}'));
            case PeerBehavior.Refuses:
                return script(503, false, whole('{"error":"refused"}'));
            case PeerBehavior.Fails:
                return script(500, true, whole("failed"));
            case PeerBehavior.Breaks:
                return script(200, true, [
                    { atMs: now + PEER_MS, content: Buffer.from("id: 1") },
                    { atMs: now + 2 * PEER_MS, content: "break" },
                ]);
            case PeerBehavior.BreaksAtOnce:
                return script(502, false, whole('{"error":"broken"}'));
        }
    }

    private peerParts(after: number, firstAtMs: number): readonly ScriptedPart[] {
        if (!this.settings.call.isStream) {
            return [{ atMs: firstAtMs, content: Buffer.from(SCRIPTED_BODY) }, { atMs: firstAtMs, content: "end" }];
        }
        const parts: ScriptedPart[] = [];
        for (let event = after + 1; event <= SCRIPTED_EVENTS; event += 1) {
            parts.push({ atMs: firstAtMs + (event - after - 1) * EVENT_MS, content: Buffer.from(formatScriptedEvent(event)) });
        }
        return [...parts, { atMs: parts.at(-1)?.atMs ?? firstAtMs, content: "end" }];
    }

    /**
     * Handles an error inside the node.
     *
     * @throws {Error} If the model expects none.
     */
    protected handleInternalError(callId: string, error: unknown): void {
        if (this.settings.failsInside !== true) {
            throw new Error(`call ${callId} failed inside the node`, { cause: error });
        }
    }

    private startRun(id: string, isAtPeer: boolean): ScriptedRun {
        const run = { id, isAtPeer, startedAtMs: this.clock.now(), overAtMs: undefined };
        this.runs.push(run);
        return run;
    }

    private makeHandler(): RelayHandler {
        const { clock, settings } = this;
        const random = new SeededRandom(1);
        const peers = new PeerTable(clock);
        const common = { clock, random, reportIntervalMs: () => 200, nodeCount: () => 1, onChange: () => undefined };
        const retryBudget = new RetryBudget(clock, { retryFraction: 0, minRetries: settings.retries ?? 5 });
        const demands = () => ({ own: scheduler.demand, peers: peers.demandOf(0) });
        const limits = new ServerLimits({ ...common, unreachableShare: () => 0, demands });
        const statements = new ServerStatements({ ...common, limits, brittle: new BrittleServers({ ...common, demands }) });
        const pool = new ServerPool(clock, peers, { statements });
        const scheduler: ServiceScheduler = new ServiceScheduler({
            ...common,
            service: SERVICE,
            failureDomain: "zone-a",
            mainServers: () => pool.openServers(SERVICE),
            peerDemand: () => peers.demandOf(0),
            candidates: () => pool.openServers(SERVICE),
            isOutOfReach: () => reach.isLost(SERVICE),
        });
        const reach = new ServerReach({
            clock,
            random,
            services: () => [SERVICE],
            openServers: service => pool.openServers(service),
            probe: async () => clock.sleep(1),
            onLost: () => {
                this.losses += 1;
                scheduler.dispatchWaiting();
            },
            onRegained: () => scheduler.dispatchWaiting(),
        });
        const directory = new NodeDirectory({
            log: new KeyedLogModel(clock),
            clock,
            random,
            node: "entry-1",
            failureDomain: "zone-a",
            cores: 1,
            address: () => "entry-1",
            onError: () => undefined,
            onRewrite: () => undefined,
        });
        const peerCount = settings.peer === PeerBehavior.None ? 0 : settings.peers ?? 1;
        for (let peer = 2; peer < 2 + peerCount; peer += 1) {
            directory.update(`entry-${peer}`, { address: `entry-${peer}`, failureDomain: "zone-a", cores: 1 });
        }
        for (let index = 0; index < settings.servers; index += 1) {
            pool.put(makeServer(index, clock.now()));
        }
        void this.maintain(reach, scheduler);
        return new RelayHandler({
            clock,
            random,
            quota: new WorkspaceQuota({ clock, isFirstStart: true, unreachableShare: () => 0 }),
            recorder: {
                record: record => this.records.push(record),
                logEvent: () => undefined,
                logError: (callId, error) => this.handleInternalError(callId, error),
            },
            configuration: () => ({
                version: 1,
                routes: new RouteTable([this.makeRoute()]),
                services: new Map(),
                limits: { maxHeaderBytes: 1e6, maxBodyBytes: 1e6, headerTimeoutMs: 1e6, idleTimeoutMs: 1e6 },
                hasWorkspaces: false,
                workspaceByKey: new Map(),
            }),
            relay: {
                client: new ScriptedClient((...call) => this.sendToServer(...call)),
                scheduler: () => scheduler,
                retryBudget: () => retryBudget,
                observer: settings.failsInside === true ? new FailingObserver() : new SilentObserver(),
                quarantine: new CallQuarantine({ ...common, serverCount: () => settings.servers }),
                statements,
                reach,
                detourPeers: new DetourPeers({ clock, random, failureDomain: "zone-a", directory, peers }),
                detourClient: new ScriptedDetourClient((peer, message, signal) => this.sendToPeer(peer, message, signal)),
                fingerprint: FINGERPRINT,
                stopDeadline: this.stopDeadline,
            },
        });
    }

    private async maintain(reach: ServerReach, scheduler: ServiceScheduler): Promise<void> {
        while (await this.clock.sleep(MAINTENANCE_MS, this.stopped.signal)) {
            reach.check();
            scheduler.dispatchWaiting();
        }
    }
}

/** Passes calls to the model's servers. */
class ScriptedClient extends RelayClient {
    constructor(override readonly send: RelayClient["send"]) {
        super();
    }

    override retain(): void {
        // The model keeps no connections.
    }
}

/** Passes calls to the model's peers. */
class ScriptedDetourClient extends DetourClient {
    constructor(override readonly send: DetourClient["send"]) {
        super();
    }
}

/** Formats one event of a stream. */
export function formatScriptedEvent(event: number): string {
    return `id: ${event}\ndata: piece ${event}\n\n`;
}

function makeServer(index: number, startedAtMs: number): RelayServer {
    return {
        id: `server-${index}`,
        service: SERVICE,
        address: `server-${index}`,
        failureDomain: "zone-a",
        version: "v1",
        slots: 1,
        isDraining: false,
        startedAtMs,
        sequence: 1,
        warmUpMs: 0,
    };
}
