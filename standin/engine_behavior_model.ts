/**
 * Model of backend servers that answer opaque calls, for tests under a virtual clock.
 *
 * @module
 */

import {
    type AnswerHead,
    AttemptAnswer,
    AttemptError,
    AttemptFault,
    type AttemptHead,
    type RelayCall,
    RelayClient,
} from "../src/protocol/relay/mod.js";
import type { Clock, RandomSource, RelayServer } from "../src/state/relay/mod.js";
import { type ServerLinkModel, ServerLinkState } from "./server_link_model.js";

/** Time that a message takes between a node and a server, in milliseconds. */
const ONE_WAY_MS = 1;

/** Time after which an attempt to connect fails, in milliseconds. */
const CONNECT_TIMEOUT_MS = 250;

/** Interval at which an exchange over silent links checks them again, in milliseconds. */
const SILENCE_CHECK_MS = 20;

/** Share of calls that find an idle connection when links fall silent. */
const IDLE_CONNECTION_SHARE = 0.5;

/** Time for which a brittle server is down after it fell over, in milliseconds. */
const FALL_MS = 4_000;

/** Milliseconds in a second. */
const MS_PER_SECOND = 1_000;

/** Time until a server answers with an error, in milliseconds. */
const ERROR_MS = 20;

/** Growth of a call's times with each other call at the server. */
const GROWTH_PER_CALL = 0.15;

/** Status of a server's own error. */
const ERROR_STATUS = 500;

/** Error with which a connection to a server that ended is closed. */
const CLOSED = new Error("other side closed");

/** Behaviour of the servers of one version, which a test may change at any time. */
export interface VersionBehavior {
    /** Fraction of calls that are answered with an error. */
    failureShare: number;
    /** Factor of the time to the first event. */
    firstEventFactor: number;
    /** Factor of the time between events. */
    intervalFactor: number;
}

/** Backend server in the model. */
export class ModelServer {
    /** Time at which the server accepts calls again, in milliseconds since the Unix epoch. */
    downUntilMs = 0;
    /** Attempts that have been received, in order. */
    readonly attempts: ModelAttempt[] = [];
    /** Calls a second from all nodes that the server states to accept; `undefined` if it states no limit. */
    callsPerSecond: number | undefined;
    /** Rest that the server asks for with each refusal, in milliseconds; it then refuses all calls. `undefined` if it does not. */
    restMs: number | undefined;
    /** Refusals in a second above which the server falls over, as it states in its answers; `undefined` if it is not brittle. */
    brittleRefusals: number | undefined;
    /** Time from which refusals make a brittle server fall over, in milliseconds since the Unix epoch. */
    brittleFromMs = 0;
    /** Times at which the server refused calls because it was full, in milliseconds since the Unix epoch. */
    readonly refusedAtMs: number[] = [];
    /** Times that the server has fallen over. */
    falls = 0;
    /** Times in which the server is cold, in milliseconds since the Unix epoch. */
    readonly coldTimes: { readonly fromMs: number; readonly untilMs: number }[] = [];
    /** Whether the server's entry, and the heads of its answers, tell how long it stays cold. */
    hasColdEntry = true;
    hasColdAnswers = false;
    /** Whether the server states in its answers that it is leaving. */
    isLeaving = false;
    /** Calls that arrived and refusals with a rest that were answered, by node. */
    readonly arrivals: NodeEvent[] = [];
    readonly rests: NodeEvent[] = [];
    /** Answers that stated that the server is leaving. */
    readonly leavingAnswers: NodeEvent[] = [];
    private readonly running = new Set<ModelAnswer>();

    /**
     * @param registration Entry of the server.
     * @param intervalMs Time between two events of a stream without load, in milliseconds.
     * @param behavior Behaviour of the server's version.
     */
    constructor(public registration: RelayServer, readonly intervalMs: number, readonly behavior: VersionBehavior) {}

    /** Calls that the server runs. */
    get runningCalls(): number {
        return this.running.size;
    }

    /** Entry that the server writes at a time, in milliseconds since the Unix epoch. */
    entryAt(nowMs: number): RelayServer {
        return { ...this.registration, warmUpMs: this.hasColdEntry ? this.coldMsAt(nowMs) : 0 };
    }

    /** Time for which the server stays cold at a time, both in milliseconds. */
    coldMsAt(nowMs: number): number {
        return Math.max(0, (this.coldTimes.at(-1)?.untilMs ?? 0) - nowMs);
    }

    /** Adds an answer to the running ones. */
    start(answer: ModelAnswer): void {
        this.running.add(answer);
    }

    /** Removes an answer that has ended. */
    finish(answer: ModelAnswer): void {
        this.running.delete(answer);
    }

    /** Ends the server and closes all its connections; it accepts calls again at a time in milliseconds since the Unix epoch. */
    crash(untilMs: number): void {
        this.downUntilMs = untilMs;
        for (const answer of this.running) {
            answer.fail(CLOSED);
        }
        this.running.clear();
    }

    /** Closes every second connection. */
    closeHalf(): void {
        for (const [index, answer] of [...this.running].entries()) {
            if (index % 2 === 0) {
                answer.fail(CLOSED);
                this.running.delete(answer);
            }
        }
    }
}

/** What happened between a server and a node. */
export interface NodeEvent {
    readonly node: string;
    readonly atMs: number;
}

/** Attempt as a server received it. */
export interface ModelAttempt {
    readonly call: RelayCall;
    readonly atMs: number;
    readonly server: ModelServer;
    /** Time at which the answer turned out bad: an error, or several times slower than the server; `undefined` if it did not. */
    badAtMs: number | undefined;
    /** Time at which the call crashed the server; `undefined` if it did not. */
    crashedAtMs: number | undefined;
}

/** Settings of a {@linkcode ModelClient}. */
export interface ModelClientSettings {
    /** Name of the node that sends the calls. */
    readonly node: string;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly servers: ReadonlyMap<string, ModelServer>;
    /** Links of the node to all servers. */
    readonly link: ServerLinkModel;
    /** Number of events of a call's answer; 0 for an answer that is not a stream. */
    readonly eventsOf: (call: RelayCall) => number;
    /** Whether a server that begins to answer the call crashes, and for how long, in milliseconds; 0 for a sound call. */
    readonly crashMs: (call: RelayCall) => number;
    /** Returns the events that a server writes before it crashes. */
    readonly crashEvents: () => number;
    /** Crashes a server for a time, in milliseconds. */
    readonly crash: (server: ModelServer, durationMs: number) => void;
}

/** Sends calls to servers of the model. */
export class ModelClient extends RelayClient {
    /** @param settings See {@linkcode ModelClientSettings}. */
    constructor(private readonly settings: ModelClientSettings) {
        super();
    }

    override send(server: RelayServer, call: RelayCall, attempt: AttemptHead, signal: AbortSignal): AttemptAnswer {
        return new ModelAnswer(this.settings, this.settings.servers.get(server.id), call, signal);
    }

    /** @returns Whether a new connection to a server is established. */
    async probe({ id }: RelayServer): Promise<boolean> {
        const { clock, link, servers } = this.settings;
        const server = servers.get(id);
        if (link.state === ServerLinkState.Silent) {
            await clock.sleep(CONNECT_TIMEOUT_MS);
            return false;
        }
        await clock.sleep(2 * ONE_WAY_MS);
        return link.state === ServerLinkState.Open && server !== undefined && clock.now() >= server.downUntilMs;
    }

    override retain(): void {
        // The model keeps no connections.
    }
}

/** Answer of a server of the model. */
class ModelAnswer extends AttemptAnswer {
    private readonly stopped = new AbortController();
    private failure: unknown;
    private events = 0;
    private attempt: ModelAttempt | undefined;

    constructor(
        private readonly settings: ModelClientSettings,
        private readonly server: ModelServer | undefined,
        private readonly call: RelayCall,
        private readonly signal: AbortSignal,
    ) {
        super();
        signal.addEventListener("abort", () => this.stopped.abort(), { once: true });
    }

    override async awaitHead(): Promise<AnswerHead> {
        const { clock, random, eventsOf } = this.settings;
        const { server, call } = this;
        await this.connect();
        if (server === undefined || clock.now() < server.downUntilMs) {
            throw new AttemptError(AttemptFault.NotRun, server?.registration.id ?? "", "connect", new Error("ECONNREFUSED"));
        }
        const event = { node: this.settings.node, atMs: clock.now() };
        server.arrivals.push(event);
        if (server.restMs !== undefined) {
            server.rests.push(event);
            return { ...this.makeHead(server, 503, true), rest: { text: String(server.restMs / 1_000), restMs: server.restMs } };
        }
        if (server.runningCalls >= server.registration.slots) {
            this.recordFull(server);
            return this.makeHead(server, 503, true);
        }
        this.attempt = { call, atMs: clock.now(), server, badAtMs: undefined, crashedAtMs: undefined };
        server.attempts.push(this.attempt);
        server.start(this);
        const { behavior } = server;
        if (random.next() < behavior.failureShare) {
            await this.wait(ERROR_MS);
            this.attempt.badAtMs = clock.now();
            server.finish(this);
            return this.makeRunHead(server, ERROR_STATUS);
        }
        if (behavior.firstEventFactor > 2 || behavior.intervalFactor > 2 && eventsOf(call) > 1) {
            void clock.sleep(server.intervalMs * 12).then(() => this.attempt && (this.attempt.badAtMs = clock.now()));
        }
        await this.wait(4 * server.intervalMs * behavior.firstEventFactor * this.loadFactor);
        if (this.settings.crashEvents() === 0) {
            await this.crashIfDue(server);
        }
        return this.makeRunHead(server, 200);
    }

    /** Crashes the server if the call crashes servers. */
    private async crashIfDue(server: ModelServer): Promise<void> {
        const durationMs = this.settings.crashMs(this.call);
        if (durationMs > 0 && this.attempt?.crashedAtMs === undefined) {
            if (this.attempt !== undefined) {
                this.attempt.crashedAtMs = this.settings.clock.now();
            }
            this.settings.crash(server, durationMs);
            await this.wait(ONE_WAY_MS);
        }
    }

    /** Counts a refusal; a brittle server falls over after too many in a second. */
    private recordFull(server: ModelServer): void {
        const now = this.settings.clock.now();
        server.refusedAtMs.push(now);
        const recent = server.refusedAtMs.filter(atMs => atMs > now - MS_PER_SECOND).length;
        const isBrittle = server.brittleRefusals !== undefined && now >= server.brittleFromMs;
        if (isBrittle && recent > (server.brittleRefusals ?? Infinity)) {
            server.refusedAtMs.length = 0;
            server.falls += 1;
            this.settings.crash(server, FALL_MS);
        }
    }

    /** Returns the head of the answer of a server that ran the call. */
    private makeRunHead(server: ModelServer, status: number): AnswerHead {
        if (server.isLeaving) {
            server.leavingAnswers.push({ node: this.settings.node, atMs: this.settings.clock.now() });
        }
        return this.makeHead(server, status, false);
    }

    private makeHead(server: ModelServer, status: number, isNotExecuted: boolean): AnswerHead {
        const coldMs = server.coldMsAt(this.settings.clock.now());
        const warmUp = server.hasColdAnswers && coldMs > 0 ? { text: String(coldMs), warmUpMs: coldMs } : undefined;
        return { ...makeHead(this.call, server, status, isNotExecuted), warmUp };
    }

    /** Finds or opens a connection as far as the links allow it. */
    private async connect(): Promise<void> {
        const { clock, random, link } = this.settings;
        const id = this.server?.registration.id ?? "";
        const isOld = link.state === ServerLinkState.NoNewConnections && link.hasOldConnection(id);
        const isRefused = link.state === ServerLinkState.Reset || link.state === ServerLinkState.NoNewConnections && !isOld;
        if (link.state === ServerLinkState.Silent && random.next() >= IDLE_CONNECTION_SHARE) {
            await clock.sleep(CONNECT_TIMEOUT_MS, this.stopped.signal);
            throw new AttemptError(AttemptFault.NotRun, id, "connect", new Error("connect timeout"));
        }
        link.start(this, id);
        await this.wait(2 * ONE_WAY_MS);
        if (isRefused) {
            link.finish(this, id);
            throw new AttemptError(AttemptFault.NotRun, id, "connect", new Error("ECONNREFUSED"));
        }
    }

    override async next(): Promise<Buffer | undefined> {
        const { server } = this;
        const total = this.settings.eventsOf(this.call);
        if (server !== undefined && this.events > 0 && this.events >= Math.min(total, this.settings.crashEvents())) {
            await this.crashIfDue(server);
        }
        if (server === undefined || this.events >= Math.max(1, total) || this.attempt?.server.runningCalls === 0) {
            server?.finish(this);
            return undefined;
        }
        if (this.events > 0) {
            await this.wait(server.intervalMs * server.behavior.intervalFactor * this.loadFactor);
        }
        this.events += 1;
        return Buffer.from(total === 0 ? "answer" : `id: ${this.events}\ndata: x\n\n`);
    }

    override recordRead(): void {
        // The model holds no memory.
    }

    override cancel(): void {
        this.server?.finish(this);
        this.settings.link.finish(this, this.server?.registration.id ?? "");
        this.stopped.abort();
    }

    /** Breaks the answer off. */
    fail(cause: unknown): void {
        this.failure = cause;
        this.stopped.abort();
    }

    private get loadFactor(): number {
        return 1 + GROWTH_PER_CALL * Math.max(0, (this.server?.runningCalls ?? 1) - 1);
    }

    private async wait(durationMs: number): Promise<void> {
        const { clock, link } = this.settings;
        await clock.sleep(durationMs, this.stopped.signal);
        while (link.state === ServerLinkState.Silent && !this.stopped.signal.aborted) {
            await clock.sleep(SILENCE_CHECK_MS, this.stopped.signal);
        }
        const id = this.server?.registration.id ?? "";
        if (this.failure !== undefined) {
            throw new AttemptError(AttemptFault.Unknown, id, "read the answer", this.failure);
        }
        if (this.signal.aborted) {
            this.server?.finish(this);
            throw new AttemptError(AttemptFault.Cancelled, id, "read the answer", this.signal.reason);
        }
    }
}

function makeHead(
    call: RelayCall,
    { brittleRefusals, callsPerSecond, isLeaving }: ModelServer,
    status: number,
    isNotExecuted: boolean,
): AnswerHead {
    return {
        status,
        callId: call.head.id,
        isSealed: true,
        isNotExecuted,
        isEncoded: false,
        isCloseDelimited: false,
        load: undefined,
        callLimit: callsPerSecond === undefined ? undefined : { text: String(callsPerSecond), callsPerSecond },
        rest: undefined,
        refusalLimit: brittleRefusals === undefined ?
            undefined :
            { text: String(brittleRefusals), refusalsPerSecond: brittleRefusals },
        warmUp: undefined,
        isLeaving,
        endToEnd: [],
    };
}
