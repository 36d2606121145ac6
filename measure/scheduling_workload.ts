/**
 * Workload of the scheduling experiment: short and long calls of four tiers, from workspaces of unequal size.
 *
 * @module
 */

import { type RandomSource, SeededRandom } from "../src/state/mod.js";
import type { Deployment } from "../standin/deployment.js";
import type { EngineProfile } from "../standin/engine_model.js";

/** Cost of one generated token, in prefilled tokens. */
const DECODE_TOKEN_WEIGHT = 10;

/** Characters in one token. */
const CHARACTERS_PER_TOKEN = 4;

/** Milliseconds in a second. */
const MS_PER_SECOND = 1_000;

/** Share of the calls that comes from each workspace; the first two are large. */
const WORKSPACE_SHARES = [0.4, 0.3, 0.1, 0.1, 0.1];

/** Kind of call with its share of the work and its sizes. */
interface CallKind {
    readonly operation: string;
    readonly tier: string;
    /** Share of the total work. */
    readonly share: number;
    /** Tokens at the start of the prompt that calls on the same document share. */
    readonly prefixTokens: number;
    /** Bounds of the tokens that follow the prefix and are unique to the call. */
    readonly minUniqueTokens: number;
    readonly maxUniqueTokens: number;
    readonly maxOutputTokens: number;
    /** Number of documents that the prefixes are taken from. */
    readonly documents: number;
}

/** Kinds of call; each tier accounts for a quarter of the work. */
const CALL_KINDS: readonly CallKind[] = [
    makeKind("dossier-summary", "desk", 0.17, [1_024, 256, 768, 160, 40]),
    makeKind("desk-question", "desk", 0.08, [0, 64, 256, 16, 1]),
    makeKind("eligibility-flag", "triage", 0.1, [0, 64, 384, 16, 1]),
    makeKind("case-review", "triage", 0.15, [768, 128, 512, 120, 40]),
    makeKind("letter-draft", "standard", 0.25, [512, 128, 512, 200, 20]),
    makeKind("payroll-extraction", "batch", 0.25, [512, 1_024, 2_560, 240, 20]),
];

/** Arrival of one call. */
export interface Arrival {
    readonly atMs: number;
    /** Index of the node that the load balancer selects. */
    readonly node: number;
    readonly operation: string;
    readonly tier: string;
    /** Index of the workspace that the call comes from. */
    readonly workspace: number;
    readonly body: Buffer;
    /** Mean work of the calls of this kind, in prefilled tokens. */
    readonly workTokens: number;
}

/**
 * Returns the maximum throughput of engines in prefilled tokens per second: with a full batch and a full prefill chunk in every
 * step.
 */
export function capacityOf(profiles: readonly EngineProfile[]): number {
    let tokensPerSecond = 0;
    for (const profile of profiles) {
        const decodeMs = profile.stepMs + profile.stepPerSequenceMs * profile.maxSequences;
        const prefillMs = profile.prefillChunkTokens / profile.prefillTokensPerSecond * MS_PER_SECOND;
        const tokens = profile.prefillChunkTokens + DECODE_TOKEN_WEIGHT * profile.maxSequences;
        tokensPerSecond += tokens / (decodeMs + prefillMs) * MS_PER_SECOND;
    }
    return tokensPerSecond;
}

/** Settings of the workload generator. */
export interface WorkloadSettings {
    readonly seed: number;
    readonly durationMs: number;
    readonly nodes: number;
    /** Maximum throughput of the engines, in prefilled tokens per second. */
    readonly capacityTokensPerSecond: number;
    /** Offered work as a multiple of the capacity, by tier and time. */
    readonly offeredLoad: (tier: string, atMs: number) => number;
}

/** Returns a deployment with the operations of the experiment; its pool has six engines of three speeds. */
export function toExperimentDeployment(deployment: Deployment): Deployment {
    const firstTokenMs = 720;
    const model = { pool: "language-model", semantics: "repeatable" };
    const operations = [
        { name: "dossier-summary", tier: "desk", promise: { firstTokenMs, betweenTokensMs: 36, answerMs: 30_000 }, ...model },
        { name: "desk-question", tier: "desk", promise: { firstTokenMs, betweenTokensMs: 36, answerMs: 5_000 }, ...model },
        { name: "eligibility-flag", tier: "triage", promise: { firstTokenMs, betweenTokensMs: 36, answerMs: 5_000 }, ...model },
        { name: "case-review", tier: "triage", promise: { firstTokenMs, betweenTokensMs: 36, answerMs: 30_000 }, ...model },
        { name: "letter-draft", tier: "standard", promise: { firstTokenMs: 2_000, answerMs: 30_000 }, ...model },
        { name: "payroll-extraction", tier: "batch", promise: { answerMs: 30_000 }, ...model },
    ];
    return { ...deployment, configuration: { ...deployment.configuration, operations } };
}

/** Generates the arrivals of a run in order of time. */
export function makeArrivals(settings: WorkloadSettings): readonly Arrival[] {
    const random = new SeededRandom(settings.seed);
    const arrivals = CALL_KINDS.flatMap((callKind, index) =>
        makeKindArrivals(callKind, new SeededRandom(settings.seed * 100 + index), settings)
    );
    arrivals.sort((left, right) => left.atMs - right.atMs);
    return arrivals.map(arrival => ({ ...arrival, node: random.nextInt(settings.nodes) }));
}

function makeKindArrivals(callKind: CallKind, random: RandomSource, settings: WorkloadSettings): readonly Arrival[] {
    const uniqueTokens = (callKind.minUniqueTokens + callKind.maxUniqueTokens) / 2;
    const tokens = callKind.prefixTokens + uniqueTokens + DECODE_TOKEN_WEIGHT * callKind.maxOutputTokens / 2;
    const arrivals: Arrival[] = [];
    let atMs = 0;
    while (atMs < settings.durationMs) {
        const perSecond = settings.capacityTokensPerSecond * callKind.share * settings.offeredLoad(callKind.tier, atMs) / tokens;
        atMs += -Math.log(1 - random.next()) / perSecond * MS_PER_SECOND;
        arrivals.push({
            atMs,
            node: 0,
            workTokens: tokens,
            operation: callKind.operation,
            tier: callKind.tier,
            workspace: drawWorkspace(random),
            body: makeBody(callKind, random, arrivals.length),
        });
    }
    return arrivals;
}

function drawWorkspace(random: RandomSource): number {
    let remainder = random.next();
    for (const [index, share] of WORKSPACE_SHARES.entries()) {
        remainder -= share;
        if (remainder < 0) {
            return index;
        }
    }
    return 0;
}

function makeBody(callKind: CallKind, random: RandomSource, count: number): Buffer {
    const document = random.nextInt(callKind.documents);
    const prefix = repeatToLength(`${callKind.operation} document ${document}. `, callKind.prefixTokens);
    const uniqueTokens = callKind.minUniqueTokens + random.nextInt(callKind.maxUniqueTokens - callKind.minUniqueTokens);
    const uniqueText = repeatToLength(`Question ${count} of ${callKind.operation}, ${random.nextInt(1_000_000)}. `, uniqueTokens);
    const messages = [{ role: "user", content: `${prefix}${uniqueText}` }];
    const body = { model: "default", stream: true, max_tokens: callKind.maxOutputTokens, messages };
    return Buffer.from(JSON.stringify(body));
}

function repeatToLength(text: string, tokens: number): string {
    const length = tokens * CHARACTERS_PER_TOKEN;
    return text.repeat(Math.ceil(length / text.length)).slice(0, length);
}

function makeKind(operation: string, tier: string, share: number, sizes: readonly number[]): CallKind {
    const [prefixTokens, minOwnTokens, maxOwnTokens, maxOutputTokens, documents] = sizes;
    return {
        operation,
        tier,
        share,
        prefixTokens,
        minUniqueTokens: minOwnTokens,
        maxUniqueTokens: maxOwnTokens,
        maxOutputTokens,
        documents,
    };
}
