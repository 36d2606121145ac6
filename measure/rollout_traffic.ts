/**
 * Synthetic traffic to two versions of a pool, with faults of the new version and of the platform.
 *
 * Replaces the engines: latencies and failures are drawn at random at the interface where attempts are observed.
 *
 * @module
 */

import type { AttemptResult } from "../src/coordination/mod.js";
import type { RandomSource } from "../src/state/mod.js";

/** Fault of the new version. */
export enum VersionFault {
    None = "none",
    ImmediateErrors = "errors at once",
    ImmediateSlowdown = "slow at once",
    Delayed = "bad later",
    UnderLoad = "bad under load",
    OneRoute = "bad on one route",
    SlowOneClass = "2x slower on one engine class",
}

/** Rollout to simulate. */
export interface RolloutCase {
    readonly seed: number;
    readonly fault: VersionFault;
    /** Time from start to deadline, in milliseconds. */
    readonly durationMs: number;
    /** Time at which a {@linkcode VersionFault.Delayed} fault begins, in milliseconds after the start. */
    readonly faultAtMs: number;
    readonly callsPerSecond: number;
    /** Starts of traffic bursts, in milliseconds after the start. */
    readonly burstsAtMs: readonly number[];
    /** Start of a temporary slowdown of the whole platform, in milliseconds after the start. */
    readonly slowdownAtMs: number | undefined;
    /** Operation affected by a {@linkcode VersionFault.OneRoute} fault. */
    readonly faultyOperation: string;
    /** Engine class affected by a {@linkcode VersionFault.SlowOneClass} fault. */
    readonly faultyClass: string;
    /** Whether one failure domain is isolated from the log. */
    readonly domainIsolatedFromLog: boolean;
}

/** Durations of a burst and of a platform slowdown, in milliseconds. */
export const BURST_DURATION_MS = 20_000;
export const SLOWDOWN_DURATION_MS = 50_000;

/** Traffic during a burst, as a multiple of the normal rate. */
const BURST_TRAFFIC_FACTOR = 3;

/** Latency multiplier and failure rate during a platform slowdown. */
const SLOWDOWN_LATENCY_FACTOR = 2.2;
const SLOWDOWN_FAILURE_RATE = 0.03;

/** Failure rate of a good version. */
const BASE_FAILURE_RATE = 0.002;

/** Operations with their share of the calls and their time to first token, in milliseconds. */
export const OPERATIONS = [
    { name: "dossier-summary", callShare: 0.6, firstTokenMs: 300 },
    { name: "eligibility-flag", callShare: 0.3, firstTokenMs: 150 },
    { name: "payroll-extraction", callShare: 0.1, firstTokenMs: 500 },
] as const;

/** Engine classes with their latency multipliers. */
export const ENGINE_CLASSES = [{ name: "g3", factor: 1.6 }, { name: "g4", factor: 1 }, { name: "g5", factor: 0.7 }] as const;

/** Time between tokens on an engine with latency multiplier 1, in milliseconds, and number of tokens of an answer. */
const TOKEN_GAP_MS = 25;
const ANSWER_TOKENS = 40;

/** Backend servers of each version and engine class. */
const SERVERS_PER_CLASS = 3;

/** Running requests at a backend server at which its latencies are doubled. */
const LATENCY_DOUBLING_LOAD = 20;

/** Running requests at a backend server from which a {@linkcode VersionFault.UnderLoad} fault takes effect. */
const FAULT_LOAD_THRESHOLD = 12;

/** Pauses of a single backend server: mean interval and duration, in milliseconds, and latency multiplier. */
const MEAN_PAUSE_INTERVAL_MS = 120_000;
const PAUSE_DURATION_MS = 4_000;
const PAUSE_LATENCY_FACTOR = 3;

/** Latency multiplier and additional failure rate of a fault. */
const FAULT_LATENCY_FACTOR = 2;
const FAULT_FAILURE_RATE = 0.25;

/** Duration of a failed attempt, in milliseconds. */
const FAILED_ATTEMPT_MS = 80;

/** Attempt whose result is already drawn but which has not ended yet. */
export interface StartedAttempt {
    readonly result: AttemptResult;
    /** Time from dispatch to the end of the attempt, in milliseconds. */
    readonly durationMs: number;
    /** Whether the attempt was affected by the fault of the version. */
    readonly faulty: boolean;
    /** Releases the backend server; must be called when the attempt ends. */
    readonly end: () => void;
}

/** Backend server with its running requests and its next pause. */
interface SyntheticServer {
    readonly engineClass: typeof ENGINE_CLASSES[number];
    running: number;
    pauseAtMs: number;
}

/** Draws calls and the results of their attempts. */
export class SyntheticTraffic {
    private readonly servers = new Map<string, readonly SyntheticServer[]>();

    /**
     * @param rolloutCase Rollout to simulate.
     * @param random Random source of all draws.
     */
    constructor(private readonly rolloutCase: RolloutCase, private readonly random: RandomSource) {
        for (const version of ["old", "new"]) {
            this.servers.set(
                version,
                ENGINE_CLASSES.flatMap(engineClass =>
                    Array.from(
                        { length: SERVERS_PER_CLASS },
                        () => ({ engineClass, running: 0, pauseAtMs: this.drawNextPause(0) }),
                    )
                ),
            );
        }
    }

    /** Draws the number of calls in a step from a Poisson distribution. */
    drawCalls(elapsedMs: number, stepMs: number): number {
        const isBurst = this.rolloutCase.burstsAtMs.some(atMs => elapsedMs >= atMs && elapsedMs < atMs + BURST_DURATION_MS);
        const mean = this.rolloutCase.callsPerSecond * (isBurst ? BURST_TRAFFIC_FACTOR : 1) * stepMs / 1_000;
        let count = 0;
        for (let product = this.random.next(); product > Math.exp(-mean); product *= this.random.next()) {
            count += 1;
        }
        return count;
    }

    /** Draws the operation of a call. */
    drawOperation(): typeof OPERATIONS[number] {
        const draw = this.random.next();
        return draw < OPERATIONS[0].callShare ?
            OPERATIONS[0] :
            draw < 1 - OPERATIONS[2].callShare ?
            OPERATIONS[1] :
            OPERATIONS[2];
    }

    /** Starts an attempt on the less loaded of two randomly chosen backend servers of a version. */
    startAttempt(version: string, operation: typeof OPERATIONS[number], elapsedMs: number): StartedAttempt {
        const server = this.pickServer(version);
        const serverLoad = server.running;
        const faulty = version === "new" && this.isFaulty(operation.name, server, elapsedMs);
        const isSlowdown = this.isSlowdown(elapsedMs);
        const failureRate = (isSlowdown ? SLOWDOWN_FAILURE_RATE : BASE_FAILURE_RATE) +
            (faulty && this.faultCausesErrors ? FAULT_FAILURE_RATE : 0);
        const succeeds = this.random.next() >= failureRate;
        const factor = server.engineClass.factor * (isSlowdown ? SLOWDOWN_LATENCY_FACTOR : 1) *
            this.pauseLatencyFactor(server, elapsedMs) *
            (1 + serverLoad / LATENCY_DOUBLING_LOAD) * (faulty && !this.faultCausesErrors ? FAULT_LATENCY_FACTOR : 1);
        const firstTokenMs = operation.firstTokenMs * factor * this.drawLogNormal(0.35);
        const gapMs = TOKEN_GAP_MS * factor * this.drawLogNormal(0.15);
        server.running += 1;
        const end = () => {
            server.running -= 1;
        };
        const result: AttemptResult = {
            pool: "language-model",
            operation: operation.name,
            version,
            engineClass: server.engineClass.name,
            serverLoad,
            completed: succeeds,
            firstTokenMs: succeeds ? firstTokenMs : undefined,
            longestGapMs: succeeds ? 1.5 * gapMs : undefined,
        };
        return { result, durationMs: succeeds ? firstTokenMs + ANSWER_TOKENS * gapMs : FAILED_ATTEMPT_MS, faulty, end };
    }

    private get faultCausesErrors(): boolean {
        const { fault, seed } = this.rolloutCase;
        const failsOnEvenSeeds = fault === VersionFault.Delayed || fault === VersionFault.UnderLoad ||
            fault === VersionFault.OneRoute;
        return fault === VersionFault.ImmediateErrors || failsOnEvenSeeds && seed % 2 === 0;
    }

    private isFaulty(operation: string, server: SyntheticServer, elapsedMs: number): boolean {
        switch (this.rolloutCase.fault) {
            case VersionFault.None:
                return false;
            case VersionFault.ImmediateErrors:
            case VersionFault.ImmediateSlowdown:
                return true;
            case VersionFault.Delayed:
                return elapsedMs >= this.rolloutCase.faultAtMs;
            case VersionFault.UnderLoad:
                return server.running >= FAULT_LOAD_THRESHOLD;
            case VersionFault.OneRoute:
                return operation === this.rolloutCase.faultyOperation;
            case VersionFault.SlowOneClass:
                return server.engineClass.name === this.rolloutCase.faultyClass;
        }
    }

    private isSlowdown(elapsedMs: number): boolean {
        const { slowdownAtMs } = this.rolloutCase;
        return slowdownAtMs !== undefined && elapsedMs >= slowdownAtMs && elapsedMs < slowdownAtMs + SLOWDOWN_DURATION_MS;
    }

    private pauseLatencyFactor(server: SyntheticServer, elapsedMs: number): number {
        if (elapsedMs > server.pauseAtMs + PAUSE_DURATION_MS) {
            server.pauseAtMs = this.drawNextPause(elapsedMs);
        }
        return elapsedMs >= server.pauseAtMs ? PAUSE_LATENCY_FACTOR : 1;
    }

    private drawNextPause(afterMs: number): number {
        return afterMs - Math.log(1 - this.random.next()) * MEAN_PAUSE_INTERVAL_MS;
    }

    private pickServer(version: string): SyntheticServer {
        const servers = this.servers.get(version) ?? [];
        const first = servers[this.random.nextInt(servers.length)];
        const second = servers[this.random.nextInt(servers.length)];
        return first.running <= second.running ? first : second;
    }

    /** Draws a log-normal factor with median 1. */
    private drawLogNormal(deviation: number): number {
        const radius = Math.sqrt(-2 * Math.log(1 - this.random.next()));
        return Math.exp(deviation * radius * Math.cos(2 * Math.PI * this.random.next()));
    }
}
