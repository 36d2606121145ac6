/**
 * Steps about configuration changes and the validation of documents.
 *
 * @module
 */

import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { ChangeOutcome } from "../../src/coordination/mod.js";
import { checkDocument, CONFIGURATION_STREAM } from "../../src/protocol/mod.js";
import { ChangeKind, type ConfigurationDocument, ItemList, type Tier } from "../../src/state/mod.js";
import { awaitChanges, changeResults, proposeRank, recordVersions, versionsBefore } from "../support/configuration_changes.js";
import type { Scenario } from "../support/world.js";

/** Problems found in the document of each scenario. */
const documentProblems = new WeakMap<Scenario, readonly string[]>();

Given("the log is down", function(this: Scenario) {
    this.fleet.log.faults.down = true;
});

When(
    "an operator changes tier {string} to rank {int} against the version in force",
    async function(this: Scenario, tier: string, rank: number) {
        recordVersions(this);
        const [node] = this.fleet.nodes;
        await awaitChanges(this, [proposeRank(node, tier, rank)]);
    },
);

When("two operators change the configuration against the same version", async function(this: Scenario) {
    const [first, second] = this.fleet.nodes;
    await awaitChanges(this, [proposeRank(first, "desk", 4), proposeRank(second, "desk", 5)]);
});

When(/^the log gets a record that (.*)$/, async function(this: Scenario, flaw: string) {
    recordVersions(this);
    const { clock, log } = this.fleet;
    await clock.runUntil(log.append(CONFIGURATION_STREAM, Buffer.from(makeFlawedRecord(this.fleet.document, flaw))));
    await clock.advance(4_000);
});

When(/^a document is checked in which (.*)$/, function(this: Scenario, flaw: string) {
    documentProblems.set(this, checkDocument(makeFlawedDocument(this.fleet.document, flaw)).problems ?? []);
});

Then("the change is accepted", function(this: Scenario) {
    const [result] = changeResults(this);
    assert.ok(result.status === "fulfilled", String((result as PromiseRejectedResult).reason));
    assert.equal(result.value.outcome, ChangeOutcome.Accepted, result.value.problems.join());
});

Then("tier {string} has rank {int} on every node within {int} seconds", async function(
    this: Scenario,
    tier: string,
    rank: number,
    seconds: number,
) {
    await this.fleet.clock.advance(seconds * 1_000);
    for (const node of this.fleet.nodes) {
        assert.equal(node.view.tier(tier)?.rank, rank);
    }
});

Then("one change is accepted and the other names the version in force", function(this: Scenario) {
    const values = changeResults(this).map(result => result.status === "fulfilled" ? result.value : undefined);
    const accepted = values.filter(value => value?.outcome === ChangeOutcome.Accepted);
    const refused = values.filter(value => value?.outcome === ChangeOutcome.Conflict);
    assert.equal(accepted.length, 1);
    assert.equal(refused.length, 1);
    assert.match(refused[0]?.problems[0] ?? "", new RegExp(`version ${this.fleet.nodes[0].view.current.version}\\b`));
});

Then("the change fails with an error that names the log", function(this: Scenario) {
    const [result] = changeResults(this);
    assert.ok(result.status === "rejected");
    assert.match(String(result.reason), /Cannot append to stream configuration at log/);
});

Then("every node keeps the version in force", function(this: Scenario) {
    assert.deepEqual(this.fleet.nodes.map(node => node.view.current.version), versionsBefore.get(this));
});

Then("the time line of every node has an event {string}", function(this: Scenario, kind: string) {
    for (const node of this.fleet.nodes) {
        assert.ok(node.ring.list().some(event => event.kind === kind), node.settings.node);
    }
});

Then("the problems name {string} and {string}", function(this: Scenario, field: string, value: string) {
    const found = (documentProblems.get(this) ?? []).filter(problem => problem.includes(`"${field}"`));
    assert.equal(found.length, 1, JSON.stringify(documentProblems.get(this)));
    assert.ok(found[0].includes(value), found[0]);
});

function makeFlawedRecord(document: ConfigurationDocument, flaw: string): string {
    const [operation] = document.operations;
    const rankChange = { kind: ChangeKind.Set, list: ItemList.Tiers, item: { name: "desk", rank: 7 } };
    const record = { format: 1, id: "flawed", madeAgainst: 0, author: "operator", atMs: 0, changes: [rankChange] as unknown[] };
    const encodeChanges = (...changes: unknown[]) => JSON.stringify({ ...record, changes });
    switch (flaw) {
        case "is not JSON":
            return "{";
        case "has a later format":
            return JSON.stringify({ ...record, format: 2 });
        case "names an unknown tier":
            return encodeChanges({ kind: ChangeKind.Set, list: ItemList.Operations, item: { ...operation, tier: "nothing" } });
        case "removes a tier that is in use":
            return encodeChanges({ kind: ChangeKind.Remove, list: ItemList.Tiers, key: operation.tier });
        case "has an invalid change besides a valid one":
            return encodeChanges(rankChange, { kind: ChangeKind.Remove, list: ItemList.Tiers, key: "nothing" });
        case "forges the author of an exception": {
            const item = { path: "tiers/desk/rank", value: 9, reason: "forged", author: "somebody", madeAtMs: 0 };
            return encodeChanges({ kind: ChangeKind.Set, list: ItemList.Exceptions, item });
        }
        case "was made against an older version":
            return JSON.stringify({ ...record, madeAgainst: -1 });
        default:
            throw new Error(`Cannot make record: kind of flaw "${flaw}" is unknown`);
    }
}

function makeFlawedDocument(document: ConfigurationDocument, flaw: string): unknown {
    const [tier, ...tiers] = document.tiers;
    const [operation, ...operations] = document.operations;
    const [workspace, ...workspaces] = document.workspaces;
    const exception = { path: "tiers/desk/rank", value: 3, reason: "a test", author: "operator", madeAtMs: 0 };
    switch (flaw) {
        case "a tier has rank -1":
            return { ...document, tiers: [{ ...tier, rank: -1 }, ...tiers] };
        case 'an operation names the tier "nothing"':
            return { ...document, operations: [{ ...operation, tier: "nothing" }, ...operations] };
        case "two tiers have the same name":
            return { ...document, tiers: [tier, { name: tier.name, rank: 9 } satisfies Tier, ...tiers] };
        case 'a workspace has the key hash "abc"':
            return { ...document, workspaces: [{ ...workspace, keyHash: "abc" }, ...workspaces] };
        case "a promise has no answer bound":
            return { ...document, operations: [{ ...operation, promise: {} }, ...operations] };
        case "an exception has no reason":
            return { ...document, exceptions: [{ ...exception, reason: " " }] };
        case "an exception names no field":
            return { ...document, exceptions: [{ ...exception, path: "tiers/desk" }] };
        case "an exception overrides the semantics":
            return {
                ...document,
                exceptions: [{ ...exception, path: "operations/claim-filing/semantics", value: "repeatable" }],
            };
        case "an exception sets a rank of 99":
            return { ...document, exceptions: [{ ...exception, value: 99 }] };
        default:
            throw new Error(`Cannot make document: kind of flaw "${flaw}" is unknown`);
    }
}
