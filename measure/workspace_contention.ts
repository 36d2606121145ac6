/**
 * Workspaces that send several times their usual load while a quarter of the engines is down.
 *
 * @module
 */

import type { Figures } from "./experiment.js";
import { type KindFigures, RelaySimulation, ShareRule } from "./relay_simulation.js";
import type { CallKind, ClampedLogNormal, RelayCase } from "./relay_workload.js";

/** Span of the hot load and of the outage, in milliseconds. */
const HOT_SPAN = { fromMs: 8_000, untilMs: 18_000 };

/** Relative sizes of the 16 workspaces. */
const WEIGHTS = [10, 7, 6, 4, 3, 3, 2, 2, 2, 1, 1, 1, 1, 0.5, 0.5, 0.5];

/** Longest pause within a stream that still counts as in time, in milliseconds. */
const MAX_PAUSE_MS = 250;

/** Worth of a late answer relative to one in time. */
const LATE_VALUE = 0.1;

function makeKind(
    rank: number,
    name: string,
    callsPerSecond: number,
    figures: { readonly prompt: number; readonly events: number; readonly objectiveMs: number; readonly value: number },
): CallKind {
    const prompt: ClampedLogNormal = { mean: figures.prompt, sigma: 0.9, max: 8 * figures.prompt };
    const events: ClampedLogNormal = { mean: figures.events, sigma: 1, max: 10 * figures.events };
    const { objectiveMs, value } = figures;
    return {
        name,
        rank,
        callsPerSecond,
        objectiveMs,
        maxPauseMs: MAX_PAUSE_MS,
        deadlineMs: 12_000,
        value,
        lateValue: value * LATE_VALUE,
        prompt,
        events,
    };
}

/** Fleet of 63 nodes and 63 engines of 7 slots. */
const FLEET: Omit<RelayCase, "name" | "workspaces" | "outage"> = {
    stepMs: 2.97,
    stepPerStreamMs: 0.05,
    firstStepMs: 10,
    promptTokensPerMs: 157,
    nodes: 63,
    engines: 63,
    slots: 7,
    tokensPerEvent: 8,
    reportAgeMs: 200,
    reportIntervalMs: 100,
    load: () => 1,
    kinds: [
        makeKind(0, "summary", 79, { prompt: 6_610, events: 48, objectiveMs: 819, value: 6 }),
        makeKind(1, "chat", 145, { prompt: 628, events: 36, objectiveMs: 308, value: 2.5 }),
        makeKind(2, "tag", 133, { prompt: 1_800, events: 3, objectiveMs: 410, value: 0.3 }),
    ],
};

/** Case with factors on the load of the largest workspaces during the hot span. */
interface ContentionCase {
    readonly name: string;
    readonly factors: readonly number[];
    readonly hasOutage: boolean;
}

const CASES: readonly ContentionCase[] = [
    { name: "calm", factors: [], hasOutage: false },
    { name: "quarter down", factors: [], hasOutage: true },
    { name: "one at 7x", factors: [7], hasOutage: false },
    { name: "one at 7x, quarter down", factors: [7], hasOutage: true },
    { name: "three at 4x, quarter down", factors: [4, 4, 4], hasOutage: true },
];

const RULES: readonly ShareRule[] = [ShareRule.None, ShareRule.Local, ShareRule.Reports];

function makeCase({ name, factors, hasOutage }: ContentionCase): RelayCase {
    const isHot = (atMs: number) => atMs >= HOT_SPAN.fromMs && atMs < HOT_SPAN.untilMs;
    return {
        ...FLEET,
        name,
        workspaces: WEIGHTS.map((weight, index) => ({
            name: `w${index}`,
            weight,
            load: atMs => isHot(atMs) ? factors[index] ?? 1 : 1,
        })),
        ...hasOutage && { outage: { ...HOT_SPAN, everyEngines: 4 } },
    };
}

function add(sum: KindFigures, figures: KindFigures): KindFigures {
    const added = { ...sum };
    for (const key of Object.keys(added) as (keyof KindFigures)[]) {
        added[key] += figures[key];
    }
    return added;
}

function describe(name: string, figures: readonly KindFigures[]): Record<string, number> {
    const [first, ...others] = figures;
    if (first === undefined) {
        return {};
    }
    const { calls, inTime, late, refused, failed, earnedValue, offeredValue } = others.reduce(add, first);
    return {
        [`${name} earned`]: earnedValue / offeredValue,
        [`${name} in time`]: inTime / calls,
        [`${name} late`]: late / calls,
        [`${name} refused`]: refused / calls,
        [`${name} failed`]: failed / calls,
    };
}

/** Simulates each case with each rule, and returns the outcomes of calls that arrive in the hot span. */
export async function runContention(seed: number, rules: readonly ShareRule[] = RULES): Promise<Figures> {
    const rows: Record<string, number | string>[] = [];
    for (const contention of CASES) {
        for (const rule of rules) {
            const { workspaces } = await new RelaySimulation(makeCase(contention), seed, rule, HOT_SPAN).run();
            const hotCount = Math.max(1, contention.factors.length);
            const byWorkspace = WEIGHTS.map((unused, index) => [...workspaces.get(`w${index}`)?.values() ?? []]);
            const usual = byWorkspace.slice(hotCount).flat();
            const hot = byWorkspace.slice(0, hotCount).flat();
            const all = [...hot, ...usual];
            const refusals = all.reduce((sum, figures) => sum + figures.refusals, 0);
            const refusalMs = all.reduce((sum, figures) => sum + figures.refusalMs, 0);
            rows.push({
                case: contention.name,
                rule,
                ...describe("usual", usual),
                ...describe("hot", hot),
                earned: all.reduce((sum, figures) => sum + figures.earnedValue, 0),
                "ms to refusal": refusals === 0 ? 0 : refusalMs / refusals,
            });
        }
    }
    return { "workspaces, calls of the hot span": rows };
}
