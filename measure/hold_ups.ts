/**
 * Experiment: longest steps for which a relay node holds up its event loop.
 *
 * @module
 */

import { PlatformRecords } from "../platform/mod.js";
import { LogHealth, PeerTable, runInSteps, ServerCatalog, ServerPool, ServiceScheduler } from "../src/coordination/relay/mod.js";
import { checkReport, EMPTY_REPORT, hashKey, type KeyedRecord, PeerReport } from "../src/protocol/relay/mod.js";
import { type RelayRoute, SeededRandom, SystemClock } from "../src/state/relay/mod.js";
import type { Experiment, Report, Target } from "./experiment.js";

/** Microseconds in a millisecond. */
const MICROSECONDS_PER_MS = 1_000;

/** Longest step that a node may take, in milliseconds, as required by the users. */
const MAX_STEP_MS = 50;

/** Times that each step is taken; the first ones run before the code is optimized, as in a node that has just started. */
const REPETITIONS = 30;

/** Datagrams that the event loop reads from a socket before it runs timers and reads others. */
const DATAGRAMS_PER_TURN = 32;

/** Size of a fleet and its configuration. */
interface Scale {
    readonly routes: number;
    readonly workspaces: number;
    readonly servers: number;
    readonly nodes: number;
    readonly waitingCalls: number;
    /** Changes of the configuration that one read of the log returns. */
    readonly changes: number;
}

/** A small fleet, with which the steps at the full scale are compared. */
const SMALL_SCALE: Scale = { routes: 40, workspaces: 20, servers: 12, nodes: 9, waitingCalls: 10, changes: 5 };

const FULL_SCALE: Scale = { routes: 540, workspaces: 200, servers: 500, nodes: 191, waitingCalls: 500, changes: 40 };

/** Routes of configurations that are decoded alone: those of the small fleet, and 300 and 500 more. */
const ROUTES = [40, 340, 540];

/** Measures the longest step of each kind of work. */
export const holdUpsExperiment: Experiment = {
    name: "hold-ups",
    summary: "longest steps of a relay node: configurations, reports of peers, entries of servers and dispatch of waiting calls",
    run: runHoldUps,
};

/** @returns Processor time of this process, in milliseconds; unlike the time of day, it does not depend on other processes. */
function processorMs(): number {
    const { user, system } = process.cpuUsage();
    return (user + system) / MICROSECONDS_PER_MS;
}

/** Clock that measures the steps that end as their task waits. */
class StepClock extends SystemClock {
    longestMs = 0;
    private startedMs = processorMs();

    override async sleep(durationMs: number, signal?: AbortSignal): Promise<boolean> {
        this.endStep();
        const isOver = await super.sleep(durationMs, signal);
        this.startStep();
        return isOver;
    }

    /** Starts a step. */
    startStep(): void {
        this.startedMs = processorMs();
    }

    /** Ends a step. */
    endStep(): void {
        this.longestMs = Math.max(this.longestMs, processorMs() - this.startedMs);
    }
}

async function runHoldUps(seed: number): Promise<Report> {
    const current = await measureSteps(FULL_SCALE, seed);
    for (const routes of ROUTES) {
        const record = makeConfiguration({ ...FULL_SCALE, routes }, 1);
        current[`configuration of ${routes} routes (ms of processor time)`] = await longestMs(() => {
            new PlatformRecords().decodeConfiguration(record);
        });
    }
    const targets: Target[] = Object.entries(current).map(([name, measured]) => {
        return { name: `longest step: ${name}`, measured, comparison: "at most", bound: MAX_STEP_MS };
    });
    return { scenario: "hold-ups", seed, baseline: await measureSteps(SMALL_SCALE, seed), current, targets };
}

async function measureSteps(scale: Scale, seed: number): Promise<Record<string, number>> {
    const reports = Math.min(scale.nodes - 1, DATAGRAMS_PER_TURN);
    return {
        "read of changed configurations (ms of processor time)": await measureChanges(scale),
        "entries of all servers (ms of processor time)": await measureServers(scale),
        "report of this node (ms of processor time)": await measureOwnReport(scale),
        "reports of one turn (ms of processor time)": await measureReports(scale, reports),
        "dispatch of waiting calls (ms of processor time)": await measureDispatch(scale, seed, 1),
        "dispatches after the reports of one turn (ms of processor time)": await measureDispatch(scale, seed, reports),
    };
}

/** @returns Longest processor time of a step of some work, in milliseconds. */
async function longestMs(work: (clock: StepClock) => void | Promise<void>): Promise<number> {
    const clock = new StepClock();
    for (let repetition = 0; repetition < REPETITIONS; repetition += 1) {
        clock.startStep();
        await work(clock);
        clock.endStep();
    }
    return Math.round(clock.longestMs * 100) / 100;
}

function measureChanges(scale: Scale): Promise<number> {
    const records = new PlatformRecords();
    const page = Array.from({ length: scale.changes }, (unused, index) => makeConfiguration(scale, index + 1));
    return longestMs(clock =>
        runInSteps(page, clock, record => {
            records.decodeOrder(record);
            records.decodeConfiguration(record);
        })
    );
}

function measureServers({ servers }: Scale): Promise<number> {
    const records = new PlatformRecords();
    const entries = Array.from({ length: servers }, (unused, index) => makeServerEntry(index));
    return longestMs(async clock => {
        const pool = new ServerPool(clock, new PeerTable(clock));
        const health = new LogHealth(clock, { onLost: () => undefined, onRegained: () => undefined });
        const catalog = new ServerCatalog(clock, health, {
            onServerUpdated: server => pool.put(server),
            onServerRemoved: server => pool.remove(server.id),
        });
        await runInSteps(entries, clock, entry => {
            const server = records.decodeServer(entry);
            if (typeof server !== "string") {
                catalog.put(server);
            }
        });
    });
}

function measureOwnReport(scale: Scale): Promise<number> {
    return longestMs(() => {
        PeerReport.encode(makeReport(scale, 0)).finish();
    });
}

function measureReports(scale: Scale, reports: number): Promise<number> {
    const datagrams = Array.from(
        { length: reports },
        (unused, index) => PeerReport.encode(makeReport(scale, index + 1)).finish(),
    );
    return longestMs(clock => {
        const peers = new PeerTable(clock);
        for (const datagram of datagrams) {
            const report = PeerReport.decode(datagram);
            if (checkReport(report) === undefined) {
                peers.record(report);
            }
        }
    });
}

/** Measures dispatches that find no free slot and refuse no call. */
async function measureDispatch(scale: Scale, seed: number, dispatches: number): Promise<number> {
    const clock = new SystemClock();
    const pool = new ServerPool(clock, new PeerTable(clock));
    const records = new PlatformRecords();
    for (let index = 0; index < scale.servers; index += 1) {
        const server = records.decodeServer(makeServerEntry(index));
        if (typeof server !== "string") {
            pool.put({ ...server, slots: 1 });
        }
    }
    const service = "service-0";
    for (const state of pool.openServers(service)) {
        state.startCall(1);
    }
    const scheduler = new ServiceScheduler({
        service,
        failureDomain: "zone-0",
        clock,
        random: new SeededRandom(seed),
        candidates: () => pool.openServers(service),
        mainServers: () => pool.openServers(service),
        peerDemand: () => ({ inTimeCalls: 0, lateCalls: 0, arrivalsPerSecond: 0 }),
        reportIntervalMs: () => 0,
        nodeCount: () => scale.nodes,
        isOutOfReach: () => false,
    });
    const route = new PlatformRecords().decodeConfiguration(makeConfiguration(scale, 1))?.routes.routes[0];
    for (let call = 0; route !== undefined && call < scale.waitingCalls; call += 1) {
        startWait(scheduler, route, { id: `call-${call}`, nowMs: clock.now() });
    }
    const longest = await longestMs(() => {
        for (let dispatch = 0; dispatch < dispatches; dispatch += 1) {
            scheduler.dispatchWaiting();
        }
    });
    if (scheduler.waitingCalls !== scale.waitingCalls) {
        throw new Error(`Cannot measure a dispatch: ${scheduler.waitingCalls} of ${scale.waitingCalls} calls wait after it`);
    }
    return longest;
}

/** Call that waits without end. */
interface WaitingCall {
    readonly id: string;
    readonly nowMs: number;
}

function startWait(scheduler: ServiceScheduler, route: RelayRoute, { id, nowMs }: WaitingCall): void {
    scheduler.reserveSlot({
        id,
        route,
        workspaceRank: 0,
        arrivedAtMs: nowMs,
        deadlineAtMs: Infinity,
        waitLimits: { isCallerRetry: false, inTimeUntilMs: Infinity, giveUpAtMs: Infinity },
        promptTokens: 100,
        expectedEvents: 10,
        promptPartId: undefined,
        excludedServers: new Set(),
        mayLeave: () => false,
        signal: new AbortController().signal,
        isTooLateForStop: () => false,
    }).catch(() => undefined);
}

function makeConfiguration({ routes, workspaces, servers }: Scale, version: number): KeyedRecord {
    const services = Math.max(1, Math.ceil(servers / 20));
    const value = {
        Version: version,
        Routes: Array.from({ length: routes }, (unused, index) => ({
            Name: `route-${index}`,
            Host: `app-${index % 50}.example`,
            PathPrefix: `/v1/path-${index}/`,
            Kind: ["safe", "unsafe", "streaming"][index % 3],
            TimeoutMs: 5_000,
            TargetLatencyMs: 500,
            WeightedServices: [
                { Service: `service-${index % services}`, Weight: 3 },
                { Service: `service-${(index + 1) % services}`, Weight: 1 },
            ],
            MaxAttempts: 2,
        })),
        Services: Array.from({ length: services }, (unused, index) => ({ Name: `service-${index}`, MaxConnections: 100 })),
        Limits: { MaxHeaderBytes: 16_384, MaxBodyBytes: 1_000_000, HeaderTimeoutMs: 3_000, IdleTimeoutMs: 15_000 },
        Tenants: Array.from({ length: workspaces }, (unused, index) => ({
            Name: `workspace-${index}`,
            ApiKeys: [`key-${index}-a`, `key-${index}-b`],
            RatePerS: 10,
            Burst: 20,
        })),
    };
    return { key: "config", value: Buffer.from(JSON.stringify(value)), offset: version };
}

/** All servers are of one service, which makes the longest lists. */
function makeServerEntry(index: number): KeyedRecord {
    const value = {
        Service: "service-0",
        Address: `10.0.${index >> 8}.${index & 255}:8000`,
        Zone: `zone-${index % 3}`,
        Version: "v1",
        Slots: 8,
        State: "ready",
        Sequence: 1,
        born: 1_000,
        ColdRemainingMs: 0,
    };
    return { key: `server-${index}`, value: Buffer.from(JSON.stringify(value)), offset: index };
}

/** Makes a report of a node that has calls at all servers and tokens of all workspaces. */
function makeReport({ servers, workspaces }: Scale, node: number): PeerReport {
    const serverKeys = Array.from({ length: servers }, (unused, index) => hashKey(`server-${index}`));
    const bucketKeys = Array.from({ length: workspaces }, (unused, index) => hashKey(`workspace-${index}`));
    return {
        ...EMPTY_REPORT,
        node: `node-${node}`,
        failureDomain: `zone-${node % 3}`,
        cores: 1,
        startedAtMs: 1_000,
        sequence: 1,
        address: `10.1.0.${node}:7000`,
        serverKeys,
        serverCalls: serverKeys.map((key, index) => index % 4),
        bucketKeys,
        bucketTotals: bucketKeys.map((key, index) => 1_000 * index),
        demands: [{
            serviceKey: hashKey("service-0"),
            inTimeCalls: 3,
            lateCalls: 1,
            arrivalsPerSecond: 12,
            aboveShareCalls: 0,
            aboveShareArrivalsPerSecond: 0,
        }],
        heardNodes: 1,
    };
}
