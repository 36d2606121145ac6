/**
 * Steps for the authentication of operators.
 *
 * @module
 */

import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { setTimeout as sleep } from "node:timers/promises";
import { OperatorClient, OperatorError } from "../../src/cli/mod.js";
import { SettingsError } from "../../src/daemon/mod.js";
import { hashKey } from "../../standin/deployment.js";
import { makeRankChange, recordVersions, versionsBefore } from "../support/configuration_changes.js";
import {
    operatorServerOf,
    parseSettingsWithOperators,
    startOperatorServer,
    stopOperatorServer,
} from "../support/operator_server.js";
import type { Scenario } from "../support/world.js";

/** Errors of parsing settings by scenario. */
const settingsErrors = new WeakMap<Scenario, unknown>();

After(function(this: Scenario) {
    stopOperatorServer(this);
});

Given("a daemon's operator services over gRPC", async function(this: Scenario) {
    await startOperatorServer(this);
});

When(/^an operator with (?:no key|the key "([^"]*)") asks it to (.*)$/, async function(
    this: Scenario,
    key: string | undefined,
    call: string,
) {
    recordVersions(this);
    const operatorServer = operatorServerOf(this);
    const client = new OperatorClient(operatorServer.address, key ?? undefined);
    const recordError = (error: unknown) => {
        operatorServer.lastError = error;
    };
    let finished = false;
    const done = sendOperatorCall(this, client, call).catch(recordError).finally(() => {
        finished = true;
        client.close();
    });
    while (!finished) {
        await this.fleet.clock.advance(10);
        await sleep(1);
    }
    await done;
});

When(/^settings are read whose operators are (.*)$/, function(this: Scenario, operators: string) {
    const [ana, bela] = ["ana", "bela"].map(name => ({ name, keyHash: hashKey(name) }));
    const lists: Readonly<Record<string, readonly object[]>> = {
        "an empty list": [],
        "two with the same name": [ana, { ...bela, name: "ana" }],
        "two with the same key": [ana, { ...bela, keyHash: ana.keyHash }],
        "one whose hash is the plain key": [{ ...ana, keyHash: "ana-key" }],
    };
    assert.ok(operators in lists, `operators "${operators}" are unknown`);
    try {
        parseSettingsWithOperators(JSON.stringify(lists[operators]));
    }
    catch (error) {
        settingsErrors.set(this, error);
    }
});

Then("the call fails as unauthenticated and has no effect", async function(this: Scenario) {
    const { lastError } = operatorServerOf(this);
    assert.ok(lastError instanceof OperatorError && lastError.isUnauthenticated, String(lastError));
    await this.fleet.clock.advance(4_000);
    assert.equal(this.fleet.log.appendCount, 1);
    assert.deepEqual(this.fleet.nodes.map(node => node.view.current.version), versionsBefore.get(this));
});

Then("neither the error nor the timeline contains the key", function(this: Scenario) {
    const texts = [
        String(operatorServerOf(this).lastError),
        ...this.fleet.nodes.flatMap(node => node.ring.list().map(event => event.text)),
    ];
    assert.ok(!texts.some(text => text.includes("wrong-key")));
});

Then("the timeline names the operator {string}", function(this: Scenario, operator: string) {
    assert.equal(operatorServerOf(this).lastError, undefined);
    const events = this.fleet.nodes[0].ring.list();
    assert.ok(events.some(event => event.kind === "inForce" && event.text.includes(`by ${operator} `)));
});

Then("the settings are rejected with a problem that names {string}", function(this: Scenario, field: string) {
    const error = settingsErrors.get(this);
    assert.ok(error instanceof SettingsError);
    assert.ok(error.problems.some(problem => problem.includes(`"${field}"`)), error.message);
});

async function sendOperatorCall(scenario: Scenario, client: OperatorClient, call: string): Promise<void> {
    switch (call) {
        case "change the configuration": {
            const madeAgainst = scenario.fleet.nodes[0].view.published.version;
            await client.changeConfiguration({ id: "change", madeAgainst, changes: JSON.stringify([makeRankChange("desk", 5)]) });
            return;
        }
        case "read the configuration":
            await client.readConfiguration();
            return;
        case "read the status":
            await client.readStatus();
            return;
        case "read the timeline":
            for await (
                const event of client.readTimeline({
                    requestId: "",
                    rollout: "",
                    peer: "",
                    sinceMs: 0,
                    untilMs: 0,
                    follow: false,
                })
            ) {
                assert.ok(!event, "an event was sent");
            }
            return;
        default:
            throw new Error(`Cannot call: "${call}" is unknown`);
    }
}
