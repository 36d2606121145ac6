/**
 * Fixtures for tests of single scheduling decisions.
 *
 * @module
 */

import { CostModel, PoolScheduler, type SchedulingObserver, WaitingCall } from "../src/coordination/mod.js";
import type { AcceptedCall } from "../src/protocol/mod.js";
import {
    BackendServer,
    type Clock,
    LoadView,
    PrefixIndex,
    type RandomSource,
    Semantics,
    VmRole,
    VmState,
} from "../src/state/mod.js";

/** Time from acceptance to the deadline of a call, in milliseconds. */
const ANSWER_TIMEOUT_MS = 3_600_000;

/** Settings of {@linkcode makeCall}. */
export interface TestCallSettings {
    readonly id: string;
    readonly rank?: number;
    readonly workspace?: string;
    readonly promptTokens?: number;
    readonly prefixBlocks?: readonly string[];
    readonly nowMs: number;
}

/** Creates an accepted call. */
export function makeCall(settings: TestCallSettings): AcceptedCall {
    const { id, rank = 0, workspace = "clinic", promptTokens = 100, prefixBlocks = [], nowMs } = settings;
    const tier = { name: `tier-${rank}`, rank };
    return {
        incoming: {
            id,
            method: "POST",
            path: "/v1/chat/completions",
            query: "",
            bearerKey: undefined,
            idempotencyKey: undefined,
            operationName: "operation",
            contentType: "application/json",
            body: Buffer.alloc(16),
            abortController: new AbortController(),
        },
        workspace: { name: workspace, keyHash: "" },
        operation: {
            name: "operation",
            tier: tier.name,
            pool: "pool",
            semantics: Semantics.Repeatable,
            promise: { answerMs: ANSWER_TIMEOUT_MS },
            routes: [],
        },
        tier,
        acceptedAtMs: nowMs,
        deadlineMs: nowMs + ANSWER_TIMEOUT_MS,
        promptTokens,
        maxOutputTokens: 16,
        streamed: true,
        prefixBlocks,
    };
}

/** Creates a waiting call that may start until its deadline. */
export function makeWaitingCall(settings: TestCallSettings): WaitingCall {
    const call = makeCall(settings);
    return new WaitingCall({
        call,
        assignSettings: { signal: new AbortController().signal, excludedServers: new Set() },
        cost: new CostModel().estimate(call, 0),
        arrivedAtMs: settings.nowMs,
        latestStartMs: call.deadlineMs,
    });
}

/** Creates backend servers `engine-1`, `engine-2` and so on. */
export function makeServers(count: number): readonly BackendServer[] {
    return Array.from({ length: count }, (value, index) =>
        new BackendServer({
            id: `engine-${index + 1}`,
            role: VmRole.Backend,
            address: `127.0.0.1:${index + 1}`,
            failureDomain: "domain",
            state: VmState.Live,
            pool: "pool",
        }));
}

/** Settings of {@linkcode makePoolScheduler}. */
export interface TestPoolSettings {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly observer: SchedulingObserver;
    readonly servers: readonly BackendServer[];
    readonly prefixes?: PrefixIndex;
}

/** Creates the scheduler of one pool with tiers of ranks 0 to 3. */
export function makePoolScheduler(settings: TestPoolSettings): PoolScheduler {
    const { clock, random, observer, servers } = settings;
    const scheduler = new PoolScheduler({
        pool: "pool",
        isService: false,
        node: "entry-1",
        clock,
        random,
        costs: new CostModel(),
        prefixes: settings.prefixes ?? new PrefixIndex(clock),
        load: new LoadView(),
        observer,
        ranks: () => [0, 1, 2, 3],
        onClaim: () => undefined,
    });
    scheduler.servers.reconcile(servers);
    return scheduler;
}
