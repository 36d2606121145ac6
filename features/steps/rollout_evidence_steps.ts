/**
 * Steps about the evidence on versions.
 *
 * @module
 */

import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import {
    type ContingencyTable,
    EvidenceMonitor,
    LocalEvidence,
    logLikelihoodRatio,
    type NodeSlice,
} from "../../src/coordination/mod.js";
import { SeededRandom } from "../../src/state/mod.js";
import type { Scenario } from "../support/world.js";

/** Odds that are compared. */
const ODDS = { tolerated: 1.5, bad: 4 };

/** Largest error of a sum of floating-point numbers. */
const TOLERANCE = 1e-9;

/** Time at which the evidence begins, in milliseconds since the Unix epoch. */
const START_MS = 1_800_000_000_000;

/** Length of the evidence, and time between two calls of a node, in milliseconds. */
const LENGTH_MS = 40_000;
const CALL_INTERVAL_MS = 50;

/** What one node shares. */
interface SharedSlices {
    readonly origin: string;
    readonly slices: readonly NodeSlice[];
}

const strata = new WeakMap<Scenario, Pick<ContingencyTable, "candidateCount" | "controlCount"> & { readonly bad: number }>();
const shared = new WeakMap<Scenario, readonly SharedSlices[]>();
const merged = new WeakMap<Scenario, readonly string[]>();

Given(
    "a stratum with {int} attempts on the new version, {int} on the old one and {int} bad in all",
    function(this: Scenario, candidateCount: number, controlCount: number, bad: number) {
        strata.set(this, { candidateCount, controlCount, bad });
    },
);

Then("the expected ratio is 1 at the tolerated odds and below 1 at even odds", function(this: Scenario) {
    assert.ok(Math.abs(expectedRatio(this, ODDS.tolerated) - 1) < TOLERANCE, `${expectedRatio(this, ODDS.tolerated)}`);
    assert.ok(expectedRatio(this, 1) < 1);
});

Given(
    "evidence of {int} nodes over 40 seconds in which the new version {}",
    function(this: Scenario, nodeCount: number, behaviour: string) {
        const nodes: SharedSlices[] = [];
        for (let node = 0; node < nodeCount; node++) {
            nodes.push(...gather(`entry-${node}`, behaviour, new SeededRandom(node + 1)));
        }
        shared.set(this, nodes);
    },
);

When("it is merged in order, backwards, and with every report twice", function(this: Scenario) {
    const reports = shared.get(this) ?? [];
    merged.set(this, [reports, [...reports].reverse(), reports.flatMap(report => [report, report])].map(merge));
});

Then("all findings are the same", function(this: Scenario) {
    const [first, ...others] = merged.get(this) ?? [];
    assert.deepEqual(others, others.map(() => first));
});

Then("the new version is blamed: {word}", function(this: Scenario, blamed: string) {
    const findings = JSON.parse((merged.get(this) ?? [])[0]) as { readonly alarmRatio: number }[];
    assert.equal(findings.some(finding => finding.alarmRatio >= 1), blamed === "yes");
});

/** Sums the ratio over all divisions of the bad attempts, each with its probability at some odds. */
function expectedRatio(scenario: Scenario, odds: number): number {
    const { candidateCount, controlCount, bad } = strata.get(scenario) ?? { candidateCount: 0, controlCount: 0, bad: 0 };
    let sum = 0;
    let weights = 0;
    for (let candidateBad = Math.max(0, bad - controlCount); candidateBad <= Math.min(candidateCount, bad); candidateBad++) {
        const table = { candidateCount, controlCount, candidateBad, controlBad: bad - candidateBad };
        const logWeight = logChoose(candidateCount, candidateBad) + logChoose(controlCount, bad - candidateBad) +
            candidateBad * Math.log(odds) - logChoose(candidateCount + controlCount, bad);
        weights += Math.exp(logWeight);
        sum += Math.exp(logWeight + logLikelihoodRatio(table, ODDS));
    }
    return sum / weights;
}

function logChoose(total: number, chosen: number): number {
    let log = 0;
    for (let index = 1; index <= chosen; index++) {
        log += Math.log((total - chosen + index) / index);
    }
    return log;
}

function gather(origin: string, behaviour: string, random: SeededRandom): readonly SharedSlices[] {
    const evidence = new LocalEvidence({ candidate: "new", control: "old" }, random);
    const reports: SharedSlices[] = [];
    for (let elapsedMs = 0; elapsedMs < LENGTH_MS; elapsedMs += CALL_INTERVAL_MS) {
        const isNew = random.next() < 0.2;
        const slow = isNew && behaviour === "is three times slower" ||
            elapsedMs > LENGTH_MS / 2 && behaviour.includes("platform");
        const fails = random.next() < (isNew && behaviour.startsWith("fails") ? 1 / 3 : 0.01);
        const latencyMs = 200 * (slow ? 3 : 1) * (0.7 + 0.6 * random.next());
        const figures = { pool: "language-model", operation: "dossier-summary", engineClass: "g4", serverLoad: 2 };
        const version = isNew ? "new" : "old";
        const measured = { whole: !fails, firstTokenMs: fails ? undefined : latencyMs, longestGapMs: undefined };
        evidence.record({ ...figures, ...measured, version }, START_MS + elapsedMs, 0.2);
        if (elapsedMs % 1_000 === 0) {
            reports.push({ origin, slices: evidence.recentSlices(START_MS + elapsedMs) });
        }
    }
    return reports;
}

function merge(reports: readonly SharedSlices[]): string {
    const monitor = new EvidenceMonitor(LENGTH_MS);
    for (const { origin, slices } of reports) {
        monitor.put(origin, slices);
    }
    const findings = [...monitor.evaluate(START_MS).entries()].sort(([left], [right]) => left < right ? -1 : 1);
    return JSON.stringify(findings.map(([, finding]) => finding));
}
