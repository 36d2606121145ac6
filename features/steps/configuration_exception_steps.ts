/**
 * Steps about exceptions to configured values.
 *
 * @module
 */

import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { ChangeKind, explainPath, ItemList } from "../../src/state/mod.js";
import { awaitChanges, lastChangeResult, proposeChanges } from "../support/configuration_changes.js";
import type { Scenario } from "../support/world.js";

/** Time within which a change reaches every node, in milliseconds. */
const CHANGE_PROPAGATION_MS = 4_000;

Given(
    /^an exception sets "([^"]*)" to (\S+) because "([^"]*)"(?: for (\d+) seconds)?$/,
    async function(this: Scenario, path: string, value: string, reason: string, seconds: string | undefined) {
        const endsAtMs = !seconds ? undefined : this.fleet.clock.now() + Number(seconds) * 1_000;
        await setException(this, { path, value: JSON.parse(value) as string | number, reason, endsAtMs });
        await this.fleet.clock.advance(seconds ? 0 : CHANGE_PROPAGATION_MS);
    },
);

When("the operator {string} adds an exception that names {string} as its author", async function(
    this: Scenario,
    operator: string,
    author: string,
) {
    await setException(this, { path: "tiers/desk/rank", value: 7, reason: "a test", author }, operator);
    await this.fleet.clock.advance(CHANGE_PROPAGATION_MS);
});

When("an operator removes workspace {string}", async function(this: Scenario, key: string) {
    const removal = { kind: ChangeKind.Remove, list: ItemList.Workspaces, key };
    await awaitChanges(this, [proposeChanges(this.fleet.nodes[0], [removal], "removal")]);
});

Then(
    "the promise of {string} is {int} ms for {string} and {int} ms for {string} on every node",
    function(this: Scenario, operation: string, first: number, firstWorkspace: string, second: number, secondWorkspace: string) {
        for (const { view } of this.fleet.nodes) {
            const answerBoundsMs = [firstWorkspace, secondWorkspace].map(name =>
                view.operation(operation, name)?.promise.answerMs
            );
            assert.deepEqual(answerBoundsMs, [first, second]);
        }
    },
);

Then(
    "the exception of {string} is explained as expired, and the default {int} as in force",
    function(this: Scenario, path: string, value: number) {
        const { clock, nodes } = this.fleet;
        const { effective, sources } = explainPath(nodes[0].view.published.document, path, clock.now());
        assert.deepEqual(sources.map(source => source.expired), [true, false]);
        assert.deepEqual([effective?.value, effective?.exception], [value, undefined]);
    },
);

Then(/^the (?:exception|change) is refused with a problem that names "([^"]*)"$/, function(this: Scenario, named: string) {
    const { outcome, problems } = lastChangeResult(this);
    assert.equal(outcome, "invalid");
    assert.ok(problems.some(problem => problem.includes(named)), problems.join("\n"));
});

Then("the exception of {string} has the author {string} on every node", function(this: Scenario, path: string, author: string) {
    for (const { view } of this.fleet.nodes) {
        const exception = view.published.document.exceptions.find(each => each.path === path);
        assert.equal(exception?.author, author);
    }
});

Then(/^"([^"]*)" is explained as (\d+) from "([^"]*)"$/, function(this: Scenario, path: string, value: string, source: string) {
    const { clock, nodes } = this.fleet;
    const { effective } = explainPath(nodes[1].view.published.document, path, clock.now());
    assert.deepEqual([effective?.value, effective?.path], [Number(value), source]);
});

/** Exception as a client submits it. */
interface ExceptionDraft {
    readonly path: string;
    readonly value: string | number;
    readonly reason: string;
    readonly endsAtMs?: number;
    readonly author?: string;
}

async function setException(scenario: Scenario, draft: ExceptionDraft, operator = "operator"): Promise<void> {
    const changes = [{ kind: ChangeKind.Set, list: ItemList.Exceptions, item: draft }];
    await awaitChanges(scenario, [proposeChanges(scenario.fleet.nodes[0], changes, `exception ${draft.path}`, operator)]);
}
