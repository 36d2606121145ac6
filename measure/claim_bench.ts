/**
 * Benchmark of claim strategies on a simulated log under the virtual clock.
 *
 * @module
 */

import { ClaimGuard, DispatchDecision } from "../src/coordination/mod.js";
import { type AcceptedCall, ClaimHandler, type claimWire, type LiveMember, type MemberView } from "../src/protocol/mod.js";
import { EventRing, HybridClock, SeededRandom, Semantics } from "../src/state/mod.js";
import { LogModel } from "../standin/log_model.js";
import { ClaimHub, LinkedClaimClient, LinkedLog, NodeLink } from "../standin/node_link.js";
import { VirtualClock } from "../standin/virtual_clock.js";
import { AppendEachClaim } from "./naive/append_each_claim.js";
import { type ClaimTables, HomeNodeClaim } from "./naive/home_node_claim.js";

/** Time from the start to the first call, in milliseconds; the run then crosses the boundary between two one-minute streams. */
const START_OFFSET_MS = 58_000;

/** Duration of one run, in milliseconds. */
const RUN_DURATION_MS = 4_000;

/** Service time of a backend server, in milliseconds. */
const SERVICE_TIME_MS = 5;

/** Time from acceptance to the deadline of a call, in milliseconds. */
const DEADLINE_MS = 10_000;

/** Fraction of calls that are repeated at once, at a node chosen at random. */
const RETRY_SHARE = 0.02;

/** Milliseconds in a second. */
const MS_PER_SECOND = 1_000;

/** Strategy for claiming keys. */
export enum ClaimStrategy {
    /** Group commit: combiners append the entries of several nodes together. */
    GroupCommit = "claims",
    /** One append to the log per claim. */
    AppendEach = "append each",
    /** In-memory table at the home node of each key, without the log. */
    HomeTable = "home table",
}

/** Settings of one benchmark run. */
export interface ClaimRunSettings {
    readonly strategy: ClaimStrategy;
    readonly nodes: number;
    readonly callsPerSecond: number;
    readonly seed: number;
    /** Round trip of one log call, in milliseconds. Defaults to 2. */
    readonly logCallMs?: number;
    /** Whether keys are UUIDv7, which carry their creation time, rather than UUIDv4. Defaults to `true`. */
    readonly datedKeys?: boolean;
    /** Delivery semantics of the calls. Defaults to {@linkcode Semantics.RunOnce}. */
    readonly semantics?: Semantics;
    /** Whether the last node has a stale member view that holds only half of the members. Defaults to `false`. */
    readonly staleNode?: boolean;
}

/** Results of one benchmark run. */
export interface ClaimRun {
    /** Calls per second that were granted their dispatch during the run. */
    readonly claimsPerSecond: number;
    readonly appendsPerSecond: number;
    readonly p50Ms: number;
    readonly p99Ms: number;
    /** Keys that were dispatched more than once. */
    readonly doubled: number;
    /** Keys that were never dispatched. */
    readonly refused: number;
    /** Calls between nodes per second. */
    readonly peerCallsPerSecond: number;
}

/** Claims a key at a node; resolves to whether the attempt may be dispatched. */
type ClaimFunction = (node: number, key: string, attempt: string) => Promise<boolean>;

/** Claims keys with Poisson arrivals and measures throughput, latency and double dispatches. */
export async function runClaims(settings: ClaimRunSettings): Promise<ClaimRun> {
    const clock = new VirtualClock();
    const random = new SeededRandom(settings.seed);
    const log = new LogModel(clock, { callMs: settings.logCallMs ?? 2 });
    const hub = new ClaimHub(clock);
    const claim = makeClaimFunction(settings, { clock, log, hub });
    await clock.advance(START_OFFSET_MS);
    const dispatches = new Map<string, number>();
    const latencies: number[] = [];
    const send = async (node: number, key: string, attempt: string) => {
        const startedAtMs = clock.now();
        if (!await claim(node, key, attempt)) {
            return;
        }
        latencies.push(clock.now() - startedAtMs);
        dispatches.set(key, (dispatches.get(key) ?? 0) + 1);
    };
    const calls: Promise<void>[] = [];
    const endAtMs = clock.now() + RUN_DURATION_MS;
    let count = 0;
    for (; clock.now() < endAtMs; count++) {
        const key = makeKey(settings.datedKeys ?? true, clock.now(), count);
        calls.push(send(random.nextInt(settings.nodes), key, `${count}`));
        if (random.next() < RETRY_SHARE) {
            calls.push(send(random.nextInt(settings.nodes), key, `${count}-repeat`));
        }
        await clock.advance(-Math.log(1 - random.next()) * MS_PER_SECOND / settings.callsPerSecond);
    }
    const appends = log.appendCount;
    const claimsInTime = latencies.length;
    await clock.runUntil(Promise.all(calls));
    latencies.sort((left, right) => left - right);
    return {
        claimsPerSecond: claimsInTime / (RUN_DURATION_MS / MS_PER_SECOND),
        appendsPerSecond: appends / (RUN_DURATION_MS / MS_PER_SECOND),
        p50Ms: percentile(latencies, 0.5),
        p99Ms: percentile(latencies, 0.99),
        doubled: [...dispatches.values()].filter(count => count > 1).length,
        refused: count - dispatches.size,
        peerCallsPerSecond: hub.calls / (RUN_DURATION_MS / MS_PER_SECOND),
    };
}

/** Components shared by all nodes of a run. */
interface RunContext {
    readonly clock: VirtualClock;
    readonly log: LogModel;
    readonly hub: ClaimHub;
}

function makeClaimFunction(settings: ClaimRunSettings, context: RunContext): ClaimFunction {
    const members = Array.from(
        { length: settings.nodes },
        (value, index) => ({ id: `entry-${index}`, address: `node-${index}` }),
    );
    const viewOf = (index: number) =>
        settings.staleNode && index === settings.nodes - 1 ? members.slice(settings.nodes / 2) : members;
    switch (settings.strategy) {
        case ClaimStrategy.AppendEach:
            return claimByAppend(members, context);
        case ClaimStrategy.HomeTable:
            return claimByHomeTable(members.map((member, index) => viewOf(index)), context);
        default:
            return claimByGroupCommit(members.map((member, index) => viewOf(index)), settings, context);
    }
}

function claimByGroupCommit(
    views: readonly (readonly LiveMember[])[],
    settings: ClaimRunSettings,
    { clock, log, hub }: RunContext,
): ClaimFunction {
    const guards = views.map((live, index) => {
        const link = new NodeLink(`node-${index}`);
        const node = `entry-${index}`;
        const guard = new ClaimGuard({
            node,
            clock,
            ring: new EventRing(node, new HybridClock(clock)),
            log: new LinkedLog(link, log, clock),
            members: new StaticMemberView(live),
            client: new LinkedClaimClient(link, hub, clock),
        });
        hub.join(link, new GuardClaimHandler(guard, clock));
        return guard;
    });
    const semantics = settings.semantics ?? Semantics.RunOnce;
    return async (node, key, attempt) => {
        const permit = guards[node].admit(makeCall(key, attempt, clock.now(), semantics));
        try {
            let decision = await permit.tryAcquire();
            while (decision === DispatchDecision.Pending) {
                await permit.awaitDecision(new AbortController().signal);
                decision = await permit.tryAcquire();
            }
        }
        catch {
            return false;
        }
        void clock.sleep(SERVICE_TIME_MS).then(() =>
            permit.complete({ status: 200, contentType: "text/plain", body: Buffer.from("done") })
        );
        return true;
    };
}

function claimByAppend(members: readonly LiveMember[], { clock, log }: RunContext): ClaimFunction {
    const nodes = members.map(({ id }) => new AppendEachClaim(id, log));
    return async (node, key, attempt) => {
        const isOwner = await nodes[node].claim(key, attempt);
        if (isOwner) {
            void clock.sleep(SERVICE_TIME_MS).then(() => nodes[node].complete(key));
        }
        return isOwner;
    };
}

function claimByHomeTable(views: readonly (readonly LiveMember[])[], { clock }: RunContext): ClaimFunction {
    const tables: ClaimTables = new Map();
    const nodes = views.map(view => new HomeNodeClaim(view, tables, clock));
    return (node, key) => nodes[node].claim(key);
}

/** Member view that never changes. */
class StaticMemberView implements MemberView {
    constructor(readonly live: readonly LiveMember[]) {}
}

/** Commits the entries that other nodes send to a claim guard. */
class GuardClaimHandler extends ClaimHandler {
    constructor(private readonly guard: ClaimGuard, private readonly clock: VirtualClock) {
        super();
    }

    override commit({ stream, entry, waitMs }: claimWire.CommitClaimRequest): Promise<claimWire.ClaimVerdict> {
        return this.guard.streams.open(stream).submit(entry as claimWire.ClaimEntry, this.clock.now() + waitMs);
    }

    override async listUnknown(): Promise<claimWire.ListUnknownReply> {
        return { calls: [] };
    }
}

function makeCall(key: string, attempt: string, nowMs: number, semantics: Semantics): AcceptedCall {
    return {
        incoming: {
            id: attempt,
            method: "POST",
            path: "/v1/services/payments-ledger/transfers",
            query: "",
            bearerKey: undefined,
            idempotencyKey: key,
            operationName: undefined,
            contentType: "application/json",
            body: Buffer.from("{}"),
            abortController: new AbortController(),
        },
        workspace: { name: "families", keyHash: "" },
        operation: {
            name: "fee-transfer",
            tier: "payment",
            pool: "payments-ledger",
            semantics,
            promise: { answerMs: DEADLINE_MS },
            routes: [],
        },
        tier: { name: "payment", rank: 1 },
        acceptedAtMs: nowMs,
        deadlineMs: nowMs + DEADLINE_MS,
        promptTokens: 0,
        maxOutputTokens: 0,
        streamed: false,
    };
}

function makeKey(dated: boolean, nowMs: number, count: number): string {
    const time = Math.floor(nowMs).toString(16).padStart(12, "0");
    return `${time.slice(0, 8)}-${time.slice(8)}-${dated ? 7 : 4}000-8000-${count.toString(16).padStart(12, "0")}`;
}

function percentile(sorted: readonly number[], share: number): number {
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
}
