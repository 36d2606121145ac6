/**
 * Workload of the relay experiments: kinds of call with long-tailed sizes and time-varying arrival rates.
 *
 * @module
 */

import type { RandomSource } from "../src/state/relay/mod.js";

/** Kind of call with its arrival rate, objectives and size distributions. */
export interface CallKind {
    readonly name: string;
    /** Priority; 0 is the highest. */
    readonly rank: number;
    readonly callsPerSecond: number;
    /** Latency objective of the first token, in milliseconds. */
    readonly objectiveMs: number;
    /** Longest acceptable pause in the stream, in milliseconds. */
    readonly maxPauseMs: number;
    readonly deadlineMs: number;
    /** Value of an answer in time to a call of mean size. */
    readonly value: number;
    /** Value of a late answer to a call of mean size. */
    readonly lateValue: number;
    /** Prompt length, in tokens. */
    readonly prompt: ClampedLogNormal;
    /** Length of the answer, in events of the stream. */
    readonly events: ClampedLogNormal;
}

/** Log-normal distribution whose samples are clamped to a maximum. */
export interface ClampedLogNormal {
    /** Mean before clamping. */
    readonly mean: number;
    /** Standard deviation of the logarithm. */
    readonly sigma: number;
    readonly max: number;
}

/** Workspace with its part of the calls. */
export interface WorkspaceTraffic {
    readonly name: string;
    /** Part of the calls, relative to the other workspaces. */
    readonly weight: number;
    /** Factor on the arrival rate, by the time since the start in milliseconds. */
    readonly load: (atMs: number) => number;
}

/** Outage of some of the engines. */
export interface EngineOutage {
    readonly fromMs: number;
    readonly untilMs: number;
    /** Every how many engines one is down. */
    readonly everyEngines: number;
}

/** Fleet and workload of one simulation. */
export interface RelayCase {
    readonly name: string;
    readonly nodes: number;
    readonly engines: number;
    readonly slots: number;
    readonly tokensPerEvent: number;
    readonly stepMs: number;
    readonly stepPerStreamMs: number;
    readonly firstStepMs: number;
    readonly promptTokensPerMs: number;
    /** Age of a node's information about its peers' calls, in milliseconds; 0 gives it perfect, current knowledge. */
    readonly reportAgeMs: number;
    /** Interval between reports, in milliseconds. */
    readonly reportIntervalMs: number;
    readonly kinds: readonly CallKind[];
    /** Factor on the arrival rate, by the time since the start in milliseconds. */
    readonly load: (atMs: number) => number;
    /** Workspaces; left out if all calls belong to the same one. */
    readonly workspaces?: readonly WorkspaceTraffic[];
    readonly outage?: EngineOutage;
}

/** One call of the workload. */
export interface WorkloadCall {
    readonly id: number;
    readonly kind: CallKind;
    readonly workspace: string;
    readonly atMs: number;
    /** Index of the node that the call arrives at. */
    readonly node: number;
    readonly promptTokens: number;
    readonly outputTokens: number;
    /** The caller's estimate of `outputTokens`. */
    readonly outputEstimate: number;
    /** Value of an answer in time; grows with the size of the call. */
    readonly value: number;
    /** Value of a late answer. */
    readonly lateValue: number;
}

/** Standard deviation of the logarithm of the ratio between a caller's estimate and the actual output length. */
const ESTIMATE_SIGMA = 0.5;

/** Mean number of callers per node; callers are assigned to nodes at random, so the nodes' loads differ. */
const CALLERS_PER_NODE = 3.5;

/** Share of a call's value that does not depend on its size. */
const FIXED_VALUE_SHARE = 0.3;

/** Maximum value of a call as a multiple of the value of its kind. */
const MAX_VALUE_FACTOR = 4;

/** Weight of an output token relative to a prompt token in the size of a call. */
const OUTPUT_TOKEN_WEIGHT = 10;

/** Generates the calls of a case in order of arrival. */
export function makeCalls(relayCase: RelayCase, durationMs: number, random: RandomSource): readonly WorkloadCall[] {
    const { kinds, nodes, tokensPerEvent, load } = relayCase;
    const callers = Array.from({ length: Math.ceil(nodes * CALLERS_PER_NODE) }, () => random.nextInt(nodes));
    const calls: WorkloadCall[] = [];
    const workspaces = relayCase.workspaces ?? [{ name: "all", weight: 1, load: () => 1 }];
    const weightSum = workspaces.reduce((sum, workspace) => sum + workspace.weight, 0);
    for (const [kind, workspace] of kinds.flatMap(each => workspaces.map(workspace => [each, workspace] as const))) {
        const callsPerSecond = kind.callsPerSecond * workspace.weight / weightSum;
        const meanSize = kind.prompt.mean + OUTPUT_TOKEN_WEIGHT * kind.events.mean * tokensPerEvent;
        let atMs = 0;
        for (;;) {
            atMs += -Math.log(1 - random.next()) * 1_000 / (callsPerSecond * load(atMs) * workspace.load(atMs));
            if (atMs >= durationMs) {
                break;
            }
            const promptTokens = Math.round(drawLogNormal(kind.prompt, random));
            const outputTokens = Math.ceil(drawLogNormal(kind.events, random)) * tokensPerEvent;
            const size = promptTokens + OUTPUT_TOKEN_WEIGHT * outputTokens;
            const valueFactor = Math.min(MAX_VALUE_FACTOR, FIXED_VALUE_SHARE + (1 - FIXED_VALUE_SHARE) * size / meanSize);
            calls.push({
                id: calls.length,
                kind,
                workspace: workspace.name,
                atMs,
                node: callers[random.nextInt(callers.length)] ?? 0,
                promptTokens,
                outputTokens,
                outputEstimate: outputTokens * Math.exp(ESTIMATE_SIGMA * drawNormal(random)),
                value: kind.value * valueFactor,
                lateValue: kind.lateValue * valueFactor,
            });
        }
    }
    return calls.sort((left, right) => left.atMs - right.atMs);
}

function drawLogNormal({ mean, sigma, max }: ClampedLogNormal, random: RandomSource): number {
    return Math.min(max, mean * Math.exp(sigma * drawNormal(random) - sigma * sigma / 2));
}

function drawNormal(random: RandomSource): number {
    return Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());
}

/** Longest pause within a stream that still counts as in time, in milliseconds. */
const MAX_PAUSE_MS = 300;

const EXTRACT_PROMPT: ClampedLogNormal = { mean: 690, sigma: 0.9, max: 3_310 };
const DOSSIER_PROMPT: ClampedLogNormal = { mean: 6_670, sigma: 1, max: 54_600 };
const FLAG_PROMPT: ClampedLogNormal = { mean: 1_860, sigma: 1, max: 6_870 };

function makeKinds(callsPerSecond: readonly number[], meanEvents: readonly number[], sigma: number): readonly CallKind[] {
    const [dossiers = 0, extracts = 0, flags = 0] = callsPerSecond;
    const eventDistributions = meanEvents.map(mean => ({ mean, sigma, max: 10 * mean }));
    const [dossierEvents, extractEvents, flagEvents] = eventDistributions;
    return [
        {
            maxPauseMs: MAX_PAUSE_MS,
            name: "dossier",
            rank: 0,
            callsPerSecond: dossiers,
            objectiveMs: 500,
            deadlineMs: 12_000,
            value: 6.5,
            lateValue: 1.9,
            prompt: DOSSIER_PROMPT,
            events: dossierEvents ?? DOSSIER_PROMPT,
        },
        {
            maxPauseMs: MAX_PAUSE_MS,
            name: "extract",
            rank: 1,
            callsPerSecond: extracts,
            objectiveMs: 300,
            deadlineMs: 10_000,
            value: 2.6,
            lateValue: 0.78,
            prompt: EXTRACT_PROMPT,
            events: extractEvents ?? DOSSIER_PROMPT,
        },
        {
            maxPauseMs: MAX_PAUSE_MS,
            name: "flag",
            rank: 2,
            callsPerSecond: flags,
            objectiveMs: 300,
            deadlineMs: 2_500,
            value: 0.25,
            lateValue: 0.074,
            prompt: FLAG_PROMPT,
            events: flagEvents ?? DOSSIER_PROMPT,
        },
    ];
}

const ENGINE_PROFILE = { stepMs: 3.55, stepPerStreamMs: 0.0462, firstStepMs: 26, promptTokensPerMs: 157 };

/** Load factor of a simulated day with two bursts. */
function burstLoadFactor(atMs: number): number {
    if (atMs >= 4_000 && atMs < 9_000) {
        return 1.7;
    }
    return atMs >= 14_000 && atMs < 16_500 ? 2.1 : 1;
}

/** Large fleet, in which reports travel through aggregators. */
const LARGE_FLEET: Omit<RelayCase, "name" | "load"> = {
    ...ENGINE_PROFILE,
    nodes: 91,
    engines: 42,
    slots: 11,
    tokensPerEvent: 9,
    reportAgeMs: 200,
    reportIntervalMs: 100,
    kinds: makeKinds([125, 115, 254], [42, 32, 2.5], 1.4),
};

/** Small fleet, in which each node reports to every other node. */
const SMALL_FLEET: Omit<RelayCase, "name" | "load"> = {
    ...ENGINE_PROFILE,
    nodes: 6,
    engines: 6,
    slots: 19,
    tokensPerEvent: 5,
    reportAgeMs: 200,
    reportIntervalMs: 200,
    kinds: makeKinds([22.5, 31.7, 38.6], [76, 58, 4.5], 1.2),
};

/** Fleets of 91 and 6 nodes, each with steady load and with bursts. */
export const RELAY_CASES: readonly RelayCase[] = [
    { ...LARGE_FLEET, name: "91 nodes, calm", load: () => 1 },
    { ...LARGE_FLEET, name: "91 nodes, bursts", load: burstLoadFactor },
    { ...SMALL_FLEET, name: "6 nodes, calm", load: () => 1 },
    { ...SMALL_FLEET, name: "6 nodes, bursts", load: burstLoadFactor },
];
