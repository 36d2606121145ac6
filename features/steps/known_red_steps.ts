/**
 * Steps for the list of known test failures.
 *
 * @module
 */

import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { evaluateRun, type KnownFailure, parseKnownFailures, type RunSummary } from "../support/known_failures.js";
import type { Scenario } from "../support/world.js";

/** Entries of the list by scenario. */
const knownFailures = new WeakMap<Scenario, readonly KnownFailure[]>();

/** Summaries of the evaluated runs by scenario. */
const summaries = new WeakMap<Scenario, RunSummary>();

Given(/^the list contains (?:nothing|"([^"]*)"( as unsteady)?)$/, function(
    this: Scenario,
    test: string | undefined,
    unsteady: string | undefined,
) {
    const field = unsteady ? "unsteady: 2 of 5 runs\n" : "";
    const entry = `test: ${test}\ncommand: npm test\nseen: it is too slow\nissue: 4\n${field}`;
    knownFailures.set(this, parseKnownFailures(test ? `# A comment.\n\n${entry}` : "# A comment.\n"));
});

When(/^test "([^"]*)" (passes|fails) and test "([^"]*)" (passes|fails)$/, function(
    this: Scenario,
    first: string,
    firstOutcome: string,
    second: string,
    secondOutcome: string,
) {
    const outcomes = [{ test: first, passed: firstOutcome === "passes" }, { test: second, passed: secondOutcome === "passes" }];
    summaries.set(this, evaluateRun(outcomes, knownFailures.get(this) ?? []));
});

Then("{int} tests pass and {int} fail", function(this: Scenario, passed: number, failed: number) {
    const summary = summaries.get(this);
    assert.deepEqual([summary?.passed, summary?.failed], [passed, failed]);
});

Then("the summary says {string}", function(this: Scenario, line: string) {
    const lines = summaries.get(this)?.lines ?? [];
    assert.equal(lines.length, line === "" ? 0 : 1);
    assert.ok(lines.join("\n").includes(line));
});

Then("an entry without its issue is rejected with an error that names the field", function() {
    assert.throws(
        () => parseKnownFailures("test: A: one\ncommand: npm test\nseen: it fails\n"),
        /"test: A: one" lacks the field "issue"/,
    );
});
