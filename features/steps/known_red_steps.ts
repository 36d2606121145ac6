/**
 * Steps about the list of tests that are known to fail.
 *
 * @module
 */

import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { evaluateRun, type KnownFailure, parseKnownFailures, type RunSummary } from "../support/known_failures.js";
import type { Scenario } from "../support/world.js";

/** List of each scenario. */
const knownFailures = new WeakMap<Scenario, readonly KnownFailure[]>();

/** Verdict of each scenario. */
const summaries = new WeakMap<Scenario, RunSummary>();

Given(/^the list names (?:nothing|"([^"]*)")$/, function(this: Scenario, test: string | undefined) {
    const entry = `test: ${test}\ncommand: npm test\nseen: it is too slow\nissue: 4\n`;
    knownFailures.set(this, parseKnownFailures(test ? `# A comment.\n\n${entry}` : "# A comment.\n"));
});

When(/^test "([^"]*)" (passes|fails) and test "([^"]*)" (passes|fails)$/, function(
    this: Scenario,
    first: string,
    firstEnd: string,
    second: string,
    secondEnd: string,
) {
    const outcomes = [{ test: first, passed: firstEnd === "passes" }, { test: second, passed: secondEnd === "passes" }];
    summaries.set(this, evaluateRun(outcomes, knownFailures.get(this) ?? []));
});

Then("{int} tests pass and {int} fail", function(this: Scenario, passed: number, failed: number) {
    const verdict = summaries.get(this);
    assert.deepEqual([verdict?.passed, verdict?.failed], [passed, failed]);
});

Then("the verdict says {string}", function(this: Scenario, line: string) {
    const lines = summaries.get(this)?.lines ?? [];
    assert.equal(lines.length, line === "" ? 0 : 1);
    assert.ok(lines.join("\n").includes(line));
});

Then("an entry without its issue is refused with the field named", function() {
    assert.throws(
        () => parseKnownFailures("test: A: one\ncommand: npm test\nseen: it fails\n"),
        /"test: A: one" lacks the field "issue"/,
    );
});
