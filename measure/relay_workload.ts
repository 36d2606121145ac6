/**
 * Calls of the relay's experiments: kinds with long-tailed sizes, at loads that vary in time.
 *
 * @module
 */

import type { RandomSource } from "../src/state/relay/mod.js";

/** Kind of call. */
export interface CallKind {
    readonly name: string;
    readonly rank: number;
    readonly perSecond: number;
    readonly objectiveMs: number;
    readonly maxPauseMs: number;
    readonly deadlineMs: number;
    readonly worth: number;
    readonly lateWorth: number;
    readonly prompt: LongTail;
    readonly events: LongTail;
}

/** Log-normal figure that is cut at ten times its mean. */
export interface LongTail {
    readonly mean: number;
    /** Standard deviation of the logarithm. */
    readonly sigma: number;
    readonly most: number;
}

/** Fleet and calls of one experiment. */
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
    /** Age of what a node knows of the others' calls, in milliseconds; 0 when it knows them at any moment. */
    readonly reportAgeMs: number;
    /** Time between reports, in milliseconds. */
    readonly reportIntervalMs: number;
    readonly kinds: readonly CallKind[];
    /** Factor on the calls a second at a time since the start, in milliseconds. */
    readonly load: (atMs: number) => number;
}

/** One call. */
export interface WorkloadCall {
    readonly id: number;
    readonly kind: CallKind;
    readonly atMs: number;
    readonly node: number;
    readonly promptTokens: number;
    readonly outputTokens: number;
    readonly outputEstimate: number;
    /** Worth of an answer in time; grows with the call's size. */
    readonly worth: number;
    readonly lateWorth: number;
}

/** Standard deviation of the logarithm of a caller's estimate against the truth. */
const ESTIMATE_SIGMA = 0.5;

/** Callers for each node; nodes differ in how many callers they have. */
const CALLERS_PER_NODE = 3.5;

/** Part of a call's worth that does not grow with its size. */
const FIXED_WORTH = 0.3;

/** Most worth of a call as a multiple of its kind's. */
const MAX_WORTH_FACTOR = 4;

/** Weight of an output token against one of the prompt in the size of a call. */
const OUTPUT_WEIGHT = 10;

/** Makes the calls of a case, in order of time. */
export function makeCalls(relayCase: RelayCase, durationMs: number, random: RandomSource): readonly WorkloadCall[] {
    const { kinds, nodes, tokensPerEvent, load } = relayCase;
    const callers = Array.from({ length: Math.ceil(nodes * CALLERS_PER_NODE) }, () => random.nextInt(nodes));
    const calls: WorkloadCall[] = [];
    for (const kind of kinds) {
        const meanSize = kind.prompt.mean + OUTPUT_WEIGHT * kind.events.mean * tokensPerEvent;
        let atMs = 0;
        for (;;) {
            atMs += -Math.log(1 - random.next()) * 1_000 / (kind.perSecond * load(atMs));
            if (atMs >= durationMs) {
                break;
            }
            const promptTokens = Math.round(drawLongTail(kind.prompt, random));
            const outputTokens = Math.ceil(drawLongTail(kind.events, random)) * tokensPerEvent;
            const size = promptTokens + OUTPUT_WEIGHT * outputTokens;
            const factor = Math.min(MAX_WORTH_FACTOR, FIXED_WORTH + (1 - FIXED_WORTH) * size / meanSize);
            calls.push({
                id: calls.length,
                kind,
                atMs,
                node: callers[random.nextInt(callers.length)] ?? 0,
                promptTokens,
                outputTokens,
                outputEstimate: outputTokens * Math.exp(ESTIMATE_SIGMA * drawNormal(random)),
                worth: kind.worth * factor,
                lateWorth: kind.lateWorth * factor,
            });
        }
    }
    return calls.sort((left, right) => left.atMs - right.atMs);
}

function drawLongTail({ mean, sigma, most }: LongTail, random: RandomSource): number {
    return Math.min(most, mean * Math.exp(sigma * drawNormal(random) - sigma * sigma / 2));
}

function drawNormal(random: RandomSource): number {
    return Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());
}

/** Longest pause of a stream in time, in milliseconds. */
const MAX_PAUSE_MS = 300;

const EXTRACT_PROMPT: LongTail = { mean: 690, sigma: 0.9, most: 3_310 };
const DOSSIER_PROMPT: LongTail = { mean: 6_670, sigma: 1, most: 54_600 };
const FLAG_PROMPT: LongTail = { mean: 1_860, sigma: 1, most: 6_870 };

function makeKinds(perSecond: readonly number[], events: readonly number[], sigma: number): readonly CallKind[] {
    const [dossiers = 0, extracts = 0, flags = 0] = perSecond;
    const tails = events.map(mean => ({ mean, sigma, most: 10 * mean }));
    const [dossierEvents, extractEvents, flagEvents] = tails;
    return [
        {
            maxPauseMs: MAX_PAUSE_MS,
            name: "dossier",
            rank: 0,
            perSecond: dossiers,
            objectiveMs: 500,
            deadlineMs: 12_000,
            worth: 6.5,
            lateWorth: 1.9,
            prompt: DOSSIER_PROMPT,
            events: dossierEvents ?? DOSSIER_PROMPT,
        },
        {
            maxPauseMs: MAX_PAUSE_MS,
            name: "extract",
            rank: 1,
            perSecond: extracts,
            objectiveMs: 300,
            deadlineMs: 10_000,
            worth: 2.6,
            lateWorth: 0.78,
            prompt: EXTRACT_PROMPT,
            events: extractEvents ?? DOSSIER_PROMPT,
        },
        {
            maxPauseMs: MAX_PAUSE_MS,
            name: "flag",
            rank: 2,
            perSecond: flags,
            objectiveMs: 300,
            deadlineMs: 2_500,
            worth: 0.25,
            lateWorth: 0.074,
            prompt: FLAG_PROMPT,
            events: flagEvents ?? DOSSIER_PROMPT,
        },
    ];
}

const ENGINE = { stepMs: 3.55, stepPerStreamMs: 0.0462, firstStepMs: 26, promptTokensPerMs: 157 };

/** Load of a day with two bursts. */
function burstLoad(atMs: number): number {
    if (atMs >= 4_000 && atMs < 9_000) {
        return 1.7;
    }
    return atMs >= 14_000 && atMs < 16_500 ? 2.1 : 1;
}

/** Large fleet: reports by way of aggregators. */
const LARGE_FLEET: Omit<RelayCase, "name" | "load"> = {
    ...ENGINE,
    nodes: 91,
    engines: 42,
    slots: 11,
    tokensPerEvent: 9,
    reportAgeMs: 200,
    reportIntervalMs: 100,
    kinds: makeKinds([125, 115, 254], [42, 32, 2.5], 1.4),
};

/** Small fleet: each node reports to every other. */
const SMALL_FLEET: Omit<RelayCase, "name" | "load"> = {
    ...ENGINE,
    nodes: 6,
    engines: 6,
    slots: 19,
    tokensPerEvent: 5,
    reportAgeMs: 200,
    reportIntervalMs: 200,
    kinds: makeKinds([22.5, 31.7, 38.6], [76, 58, 4.5], 1.2),
};

/** Fleets of 91 and 6 nodes, calm and with bursts. */
export const RELAY_CASES: readonly RelayCase[] = [
    { ...LARGE_FLEET, name: "91 nodes, calm", load: () => 1 },
    { ...LARGE_FLEET, name: "91 nodes, bursts", load: burstLoad },
    { ...SMALL_FLEET, name: "6 nodes, calm", load: () => 1 },
    { ...SMALL_FLEET, name: "6 nodes, bursts", load: burstLoad },
];
