/**
 * Experiment: duration of one scheduling decision with full windows and queues.
 *
 * @module
 */

import { build, type Histogram } from "hdr-histogram-js";
import { type Assignment, DispatchResult, type PoolScheduler, SchedulingCounts } from "../src/coordination/mod.js";
import { EventRing, HybridClock, PrefixIndex, SeededRandom } from "../src/state/mod.js";
import { makeCall, makePoolScheduler, makeServers } from "../standin/scheduling_fixtures.js";
import { VirtualClock } from "../standin/virtual_clock.js";
import type { Experiment, Report } from "./experiment.js";

/** Numbers of engines in the pool; each is measured. */
const ENGINE_COUNTS = [10, 100, 500, 1_900];

/** Number of calls that wait in the queue during the measurement. */
const WAITING_CALLS = 9_900;

/** Number of decisions before the measurement, while the just-in-time compiler optimizes the code. */
const WARM_UP_DECISIONS = 3_000;

/** Number of decisions that are measured. */
const MEASURED_DECISIONS = 10_000;

/** Number of workspaces that the calls belong to. */
const WORKSPACE_COUNT = 800;

/** Number of documents that prompts start with, and prefix blocks in each. */
const DOCUMENT_COUNT = 500;
const BLOCKS_PER_DOCUMENT = 31;

/** Nanoseconds in a microsecond, and microseconds in a millisecond. */
const NS_PER_US = 1_000;
const US_PER_MS = 1_000;

/** Number of tiers that the calls belong to. */
const RANK_COUNT = 4;

/** Durations of the two kinds of decision, in nanoseconds. */
interface DecisionTimes {
    readonly engines: number;
    readonly arrival: Histogram;
    readonly dispatch: Histogram;
}

/** Measures the decision on arrival of a call and on release of a server's capacity, with 10 to 1,900 engines. */
export const schedulingDecisionsExperiment: Experiment = {
    name: "scheduling-decisions",
    summary: "Time of one scheduling decision with up to 1,900 engines and 10,000 waiting calls.",
    run: async seed => {
        const times: DecisionTimes[] = [];
        for (const engines of ENGINE_COUNTS) {
            times.push(await new DecisionBenchmark(engines, seed).run());
        }
        return toReport(seed, times);
    },
};

function toReport(seed: number, times: readonly DecisionTimes[]): Report {
    const rows = times.map(({ engines, arrival, dispatch }) => ({
        "engines": engines,
        "arrival p50 us": toUs(arrival, 50),
        "arrival p99 us": toUs(arrival, 99),
        "release and dispatch p50 us": toUs(dispatch, 50),
        "release and dispatch p99 us": toUs(dispatch, 99),
    }));
    const last = times[times.length - 1];
    const slope = (toUs(last.dispatch, 99) - toUs(times[0].dispatch, 99)) / (last.engines - times[0].engines);
    return {
        scenario: "scheduling-decisions",
        seed,
        baseline: { note: "none: the naive scheduler decides nothing" },
        current: { decisions: rows, "slope of release and dispatch p99, ns per engine": slope * NS_PER_US },
        targets: [
            { name: "arrival p99 with 1900 engines, us", measured: toUs(last.arrival, 99), comparison: "at most", bound: 200 },
            {
                name: "release and dispatch p99 with 1900 engines, us",
                measured: toUs(last.dispatch, 99),
                comparison: "at most",
                bound: 200,
            },
        ],
    };
}

/** Pool with full windows and a full queue, in which calls end and arrive alternately. */
class DecisionBenchmark {
    private readonly clock = new VirtualClock();
    private readonly random: SeededRandom;
    private readonly pool: PoolScheduler;
    private readonly running: Assignment[] = [];
    private readonly arrival = build({ numberOfSignificantValueDigits: 3 });
    private readonly dispatch = build({ numberOfSignificantValueDigits: 3 });
    private callCount = 0;

    constructor(private readonly engines: number, seed: number) {
        this.random = new SeededRandom(seed);
        const prefixes = new PrefixIndex(this.clock);
        const servers = makeServers(engines);
        for (let document = 0; document < DOCUMENT_COUNT; document++) {
            prefixes.store(servers[this.random.nextInt(engines)].vm.id, blocksOf(document));
        }
        const ring = new EventRing("entry-1", new HybridClock(this.clock), { maxEvents: 1_000 });
        const observer = new SchedulingCounts(ring);
        this.pool = makePoolScheduler({ clock: this.clock, random: this.random, observer, servers, prefixes });
    }

    async run(): Promise<DecisionTimes> {
        while (this.pool.queue.size < WAITING_CALLS) {
            this.addCall();
        }
        await this.clock.advance(1);
        for (let index = 0; index < WARM_UP_DECISIONS; index++) {
            await this.runCycle();
        }
        this.arrival.reset();
        this.dispatch.reset();
        for (let index = 0; index < MEASURED_DECISIONS; index++) {
            await this.runCycle();
        }
        return { engines: this.engines, arrival: this.arrival, dispatch: this.dispatch };
    }

    private async runCycle(): Promise<void> {
        const [ended] = this.running.splice(this.random.nextInt(this.running.length), 1);
        const startMs = performance.now();
        ended.release(DispatchResult.Completed);
        recordElapsed(this.dispatch, startMs);
        while (this.pool.queue.size < WAITING_CALLS) {
            this.addCall();
        }
        await this.clock.advance(1);
    }

    private addCall(): void {
        this.callCount += 1;
        const call = makeCall({
            id: `call-${this.callCount}`,
            rank: this.random.nextInt(RANK_COUNT),
            workspace: `workspace-${this.random.nextInt(WORKSPACE_COUNT)}`,
            promptTokens: 2_000,
            prefixBlocks: blocksOf(this.random.nextInt(DOCUMENT_COUNT)),
            nowMs: this.clock.now(),
        });
        const signal = new AbortController().signal;
        const startMs = performance.now();
        const assigned = this.pool.assign(call, { signal, excludedServers: new Set() });
        recordElapsed(this.arrival, startMs);
        assigned.then(assignment => this.running.push(assignment), () => undefined);
    }
}

function blocksOf(document: number): readonly string[] {
    return Array.from({ length: BLOCKS_PER_DOCUMENT }, (value, index) => `document-${document}-${index}`);
}

function recordElapsed(histogram: Histogram, startMs: number): void {
    histogram.recordValue(Math.max(1, Math.round((performance.now() - startMs) * US_PER_MS * NS_PER_US)));
}

function toUs(histogram: Histogram, percentile: number): number {
    return histogram.getValueAtPercentile(percentile) / NS_PER_US;
}
