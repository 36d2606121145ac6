/**
 * Steps for the statistical evidence on versions.
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

/** Odds ratios of the two hypotheses that the test compares. */
const ODDS_RATIOS = { tolerated: 1.5, bad: 4 };

/** Tolerance for rounding errors of floating-point sums. */
const TOLERANCE = 1e-9;

/** Start of the evidence, in milliseconds since the Unix epoch. */
const START_MS = 1_800_000_000_000;

/** Duration of the evidence, and interval between two calls of a node, in milliseconds. */
const EVIDENCE_DURATION_MS = 40_000;
const CALL_INTERVAL_MS = 50;

/** Evidence that one node shares at one time. */
interface NodeReport {
    readonly origin: string;
    readonly slices: readonly NodeSlice[];
}

const strataByScenario = new WeakMap<
    Scenario,
    Pick<ContingencyTable, "candidateCount" | "controlCount"> & { readonly bad: number }
>();
const reportsByScenario = new WeakMap<Scenario, readonly NodeReport[]>();
const mergedFindings = new WeakMap<Scenario, readonly string[]>();

Given(
    "a stratum with {int} attempts on the new version, {int} on the old one and {int} bad attempts in total",
    function(this: Scenario, candidateCount: number, controlCount: number, bad: number) {
        strataByScenario.set(this, { candidateCount, controlCount, bad });
    },
);

Then(
    "the expected likelihood ratio is 1 at the tolerated odds ratio and below 1 at an odds ratio of 1",
    function(this: Scenario) {
        assert.ok(
            Math.abs(expectedLikelihoodRatio(this, ODDS_RATIOS.tolerated) - 1) < TOLERANCE,
            `${expectedLikelihoodRatio(this, ODDS_RATIOS.tolerated)}`,
        );
        assert.ok(expectedLikelihoodRatio(this, 1) < 1);
    },
);

Given(
    "evidence of {int} nodes over 40 seconds in which the new version {}",
    function(this: Scenario, nodeCount: number, behaviour: string) {
        const reports: NodeReport[] = [];
        for (let node = 0; node < nodeCount; node++) {
            reports.push(...generateReports(`entry-${node}`, behaviour, new SeededRandom(node + 1)));
        }
        reportsByScenario.set(this, reports);
    },
);

When("it is merged in order, in reverse order, and with every report repeated", function(this: Scenario) {
    const reports = reportsByScenario.get(this) ?? [];
    mergedFindings.set(this, [reports, [...reports].reverse(), reports.flatMap(report => [report, report])].map(evaluateReports));
});

Then("all findings are the same", function(this: Scenario) {
    const [first, ...others] = mergedFindings.get(this) ?? [];
    assert.deepEqual(others, others.map(() => first));
});

Then("the new version raises an alarm: {word}", function(this: Scenario, alarm: string) {
    const findings = JSON.parse((mergedFindings.get(this) ?? [])[0]) as { readonly alarmRatio: number }[];
    assert.equal(findings.some(finding => finding.alarmRatio >= 1), alarm === "yes");
});

/** Returns the mean likelihood ratio over all splits of the bad attempts, weighted by their probability at an odds ratio. */
function expectedLikelihoodRatio(scenario: Scenario, oddsRatio: number): number {
    const { candidateCount, controlCount, bad } = strataByScenario.get(scenario) ??
        { candidateCount: 0, controlCount: 0, bad: 0 };
    let weightedSum = 0;
    let totalWeight = 0;
    for (let candidateBad = Math.max(0, bad - controlCount); candidateBad <= Math.min(candidateCount, bad); candidateBad++) {
        const table = { candidateCount, controlCount, candidateBad, controlBad: bad - candidateBad };
        const logWeight = logBinomialCoefficient(candidateCount, candidateBad) +
            logBinomialCoefficient(controlCount, bad - candidateBad) +
            candidateBad * Math.log(oddsRatio) - logBinomialCoefficient(candidateCount + controlCount, bad);
        totalWeight += Math.exp(logWeight);
        weightedSum += Math.exp(logWeight + logLikelihoodRatio(table, ODDS_RATIOS));
    }
    return weightedSum / totalWeight;
}

function logBinomialCoefficient(total: number, chosen: number): number {
    let logarithm = 0;
    for (let index = 1; index <= chosen; index++) {
        logarithm += Math.log((total - chosen + index) / index);
    }
    return logarithm;
}

/** Generates the reports of one node, one per second, from a random sequence of calls. */
function generateReports(origin: string, behaviour: string, random: SeededRandom): readonly NodeReport[] {
    const evidence = new LocalEvidence({ candidate: "new", control: "old" }, random);
    const reports: NodeReport[] = [];
    for (let elapsedMs = 0; elapsedMs < EVIDENCE_DURATION_MS; elapsedMs += CALL_INTERVAL_MS) {
        const isCandidate = random.next() < 0.2;
        const slow = isCandidate && behaviour === "is three times slower" ||
            elapsedMs > EVIDENCE_DURATION_MS / 2 && behaviour.includes("platform");
        const fails = random.next() < (isCandidate && behaviour.startsWith("fails") ? 1 / 3 : 0.01);
        const latencyMs = 200 * (slow ? 3 : 1) * (0.7 + 0.6 * random.next());
        const call = { pool: "language-model", operation: "dossier-summary", engineClass: "g4", serverLoad: 2 };
        const version = isCandidate ? "new" : "old";
        const outcome = { completed: !fails, firstTokenMs: fails ? undefined : latencyMs, longestGapMs: undefined };
        evidence.record({ ...call, ...outcome, version }, START_MS + elapsedMs, 0.2);
        if (elapsedMs % 1_000 === 0) {
            reports.push({ origin, slices: evidence.recentSlices(START_MS + elapsedMs) });
        }
    }
    return reports;
}

/** Merges reports and returns the findings as JSON text, in the order of their keys. */
function evaluateReports(reports: readonly NodeReport[]): string {
    const monitor = new EvidenceMonitor(EVIDENCE_DURATION_MS);
    for (const { origin, slices } of reports) {
        monitor.put(origin, slices);
    }
    const findings = [...monitor.evaluate(START_MS).entries()].sort(([left], [right]) => left < right ? -1 : 1);
    return JSON.stringify(findings.map(([, finding]) => finding));
}
