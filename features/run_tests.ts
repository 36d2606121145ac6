/**
 * Runs the tests and closes with their count.
 *
 * @module
 */

import { loadConfiguration, runCucumber } from "@cucumber/cucumber/api";
import type { Envelope, TestStepResult } from "@cucumber/messages";
import { readFile } from "node:fs/promises";
import { judge, parseKnownRed, type TestOutcome } from "./support/known_red.js";

/** File that lists tests known to fail. */
const KNOWN_RED_FILE = "KNOWN-RED.txt";

/** Collects the outcome of each scenario from the messages of a run. */
class OutcomeCollector {
    private readonly names = new Map<string, string>();
    private readonly pickles = new Map<string, string>();
    private readonly cases = new Map<string, string>();
    private readonly failedRuns = new Set<string>();
    private readonly runs = new Map<string, string>();

    /** Takes one message. */
    take(message: Envelope): void {
        if (message.gherkinDocument?.feature !== undefined) {
            this.names.set(message.gherkinDocument.uri ?? "", message.gherkinDocument.feature.name);
        }
        if (message.pickle !== undefined) {
            this.pickles.set(message.pickle.id, `${this.names.get(message.pickle.uri) ?? ""}: ${message.pickle.name}`);
        }
        if (message.testCase !== undefined) {
            this.cases.set(message.testCase.id, message.testCase.pickleId);
        }
        if (message.testCaseStarted !== undefined) {
            this.runs.set(message.testCaseStarted.id, message.testCaseStarted.testCaseId);
        }
        if (message.testStepFinished !== undefined && !isPassed(message.testStepFinished.testStepResult)) {
            this.failedRuns.add(message.testStepFinished.testCaseStartedId);
        }
    }

    /** Returns the outcome of each scenario. */
    list(): readonly TestOutcome[] {
        return [...this.runs].map(([run, testCase]) => ({
            test: this.pickles.get(this.cases.get(testCase) ?? "") ?? "",
            passed: !this.failedRuns.has(run),
        }));
    }
}

function isPassed(result: TestStepResult): boolean {
    return String(result.status) === "PASSED";
}

const collector = new OutcomeCollector();
const { runConfiguration } = await loadConfiguration({
    provided: {
        paths: process.argv.length > 2 ? process.argv.slice(2) : ["features/**/*.feature"],
        import: ["dist/features/support/*.js", "dist/features/steps/*.js"],
        format: ["progress"],
        publish: false,
        retry: 0,
    },
});
await runCucumber(runConfiguration, {}, message => collector.take(message));
const known = process.argv.length > 2 ? [] : parseKnownRed(await readFile(KNOWN_RED_FILE, "utf8"));
const verdict = judge(collector.list(), known);
for (const line of verdict.lines) {
    process.stdout.write(`${line}\n`);
}
process.stdout.write(`${verdict.passed} passed, ${verdict.failed} failed\n`);
process.exit(verdict.failed > 0 || verdict.passed === 0 ? 1 : 0);
