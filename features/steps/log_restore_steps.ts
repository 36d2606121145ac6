/**
 * Steps about a restore of the platform's log from an older copy, under a virtual clock.
 *
 * @module
 */

import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { KeyedLogModel } from "../../standin/keyed_log_model.js";
import { VirtualClock } from "../../standin/virtual_clock.js";
import { FollowingNode, makeServerEntry } from "../support/following_node.js";
import { makeConfiguration } from "../support/relay_fixture.js";
import type { Scenario } from "../support/world.js";

/** Time in which nodes read what was written, in milliseconds. */
const SETTLE_MS = 2_500;

/** Time for which the log is away before it is restored, in milliseconds. */
const OUTAGE_MS = 300;

/** Number of nodes in scenarios with several. */
const NODE_COUNT = 3;

/** Key of the rollout in the operator's and the state topic. */
const ROLLOUT_KEY = "rollout/service";

/** State of a scenario of this file. */
interface RestoreScenario extends Scenario {
    clock: VirtualClock;
    platformLog: KeyedLogModel;
    nodes: readonly FollowingNode[];
    restoredAtMs: number;
}

After(async function(this: RestoreScenario) {
    for (const node of this.nodes ?? []) {
        await node.stop();
    }
});

Given("a node with configuration 1 in force", async function(this: RestoreScenario) {
    startNodes(this, 1);
    writeConfiguration(this, 1);
    await this.clock.advance(SETTLE_MS);
    this.platformLog.copy();
});

Given("3 nodes with a rollout to version v2", async function(this: RestoreScenario) {
    startNodes(this, NODE_COUNT);
    await this.clock.advance(SETTLE_MS);
    this.platformLog.copy();
    orderRollout(this, "v2");
    await this.clock.advance(SETTLE_MS);
});

Given("3 nodes that start 59 s after the recorded start of a rollout of 60 s", function(this: RestoreScenario) {
    createNodes(this, NODE_COUNT);
    orderRollout(this, "v2");
    this.platformLog.put("keyed.moves", "service", { offset: 0, startedAtMs: this.clock.now() - 59_000 });
    for (const node of this.nodes) {
        node.start();
    }
});

Then("the rollout is completed within {int} ms", async function(this: RestoreScenario, limitMs: number) {
    await this.clock.advance(limitMs);
    const [state] = this.platformLog.values("keyed.status", ROLLOUT_KEY).slice(-1);
    assert.deepEqual(state, { State: "completed", Target: "v2" });
});

Given("3 nodes whose addresses are missing from the copy", async function(this: RestoreScenario) {
    startNodes(this, NODE_COUNT);
    await this.clock.advance(SETTLE_MS);
});

When("the node has read more than the copy holds", async function(this: RestoreScenario) {
    writeConfiguration(this, 2);
    await this.clock.advance(SETTLE_MS);
    await restoreLog(this);
});

When("the node has read as much as the copy holds", async function(this: RestoreScenario) {
    writeConfiguration(this, 2);
    await this.clock.advance(SETTLE_MS);
    this.platformLog.copy();
    await restoreLog(this);
});

When("the node has read less than the copy holds", async function(this: RestoreScenario) {
    this.platformLog.isDown = true;
    await this.clock.advance(SETTLE_MS);
    writeConfiguration(this, 2);
    this.platformLog.copy();
    await restoreLog(this);
});

When("the log has given out the node's offsets again before the node reads", async function(this: RestoreScenario) {
    writeConfiguration(this, 2);
    writeConfiguration(this, 3);
    await this.clock.advance(SETTLE_MS);
    this.platformLog.isDown = true;
    await this.clock.advance(SETTLE_MS);
    this.platformLog.restore();
    writeConfiguration(this, 5);
    this.platformLog.put("keyed.op", "another-key", {});
    this.platformLog.isDown = false;
});

When("the log is restored twice in a row", async function(this: RestoreScenario) {
    writeConfiguration(this, 2);
    await this.clock.advance(SETTLE_MS);
    await restoreLog(this);
    await this.clock.advance(SETTLE_MS);
    await restoreLog(this);
});

When("a late answer of the old era follows one of the new", async function(this: RestoreScenario) {
    writeConfiguration(this, 2);
    await this.clock.advance(SETTLE_MS);
    await restoreLog(this);
    await this.clock.advance(SETTLE_MS);
    this.platformLog.answersLate = true;
});

Then("configuration {int} is in force", async function(this: RestoreScenario, version: number) {
    await this.clock.advance(SETTLE_MS);
    for (const node of this.nodes) {
        assert.equal(node.follower.configuration?.version, version);
    }
});

Then("configuration 9 is in force within {int} ms of its writing", async function(this: RestoreScenario, limitMs: number) {
    writeConfiguration(this, 9);
    await this.clock.advance(limitMs);
    for (const node of this.nodes) {
        assert.equal(node.follower.configuration?.version, 9);
        assert.deepEqual(node.versions, [...node.versions].sort((left, right) => left - right));
        assert.equal(node.eraChanges, this.platformLog.restores);
    }
});

When(
    "the log is restored and a server is missing from the copy and does not register again",
    async function(this: RestoreScenario) {
        this.platformLog.put("keyed.servers", "s", makeServerEntry("ready", 1));
        await this.clock.advance(SETTLE_MS);
        await restoreLog(this);
    },
);

When(
    "the log is restored and a server is missing from the copy and registers again after 1 s",
    async function(this: RestoreScenario) {
        this.platformLog.put("keyed.servers", "s", makeServerEntry("ready", 1));
        await this.clock.advance(SETTLE_MS);
        await restoreLog(this);
        void this.clock.sleep(1_000).then(() => this.platformLog.put("keyed.servers", "s", makeServerEntry("ready", 2)));
    },
);

When("the log is restored and a server that had left before is in the copy", async function(this: RestoreScenario) {
    this.platformLog.put("keyed.servers", "s", makeServerEntry("ready", 1));
    await this.clock.advance(SETTLE_MS);
    this.platformLog.copy();
    this.platformLog.put("keyed.servers", "s", undefined);
    await this.clock.advance(SETTLE_MS);
    await restoreLog(this);
});

When("the log is restored and a server that is draining is ready in the copy", async function(this: RestoreScenario) {
    this.platformLog.put("keyed.servers", "s", makeServerEntry("ready", 1));
    await this.clock.advance(SETTLE_MS);
    this.platformLog.copy();
    this.platformLog.put("keyed.servers", "s", makeServerEntry("draining", 2));
    await this.clock.advance(SETTLE_MS);
    await restoreLog(this);
});

Then("the server is {string} {int} ms after the restore", async function(this: RestoreScenario, state: string, afterMs: number) {
    await this.clock.advance(this.restoredAtMs + afterMs - this.clock.now());
    assert.equal(this.nodes[0]?.serverState("s"), state);
});

When("the log is restored and the rollout is missing its final state in the copy", async function(this: RestoreScenario) {
    this.platformLog.copy();
    await settleRollout(this);
    await restoreLog(this);
});

When("the log is restored and the rollout is missing from the copy and is ordered again", async function(this: RestoreScenario) {
    await settleRollout(this);
    await restoreLog(this);
    this.platformLog.put("keyed.op", "another-key", {});
    orderRollout(this, "v2");
});

Then("no node starts the rollout anew", async function(this: RestoreScenario) {
    await this.clock.advance(2 * SETTLE_MS);
    for (const node of this.nodes) {
        assert.deepEqual(node.startedRollouts, ["v2"]);
    }
});

Then("the log holds the state {string} once more", function(this: RestoreScenario, state: string) {
    const states = this.platformLog.values("keyed.status", ROLLOUT_KEY).map(value => (value as { readonly State: string }).State);
    assert.equal(states.at(-1), state);
    assert.equal(states.filter(candidate => candidate === state).length, 1);
});

When(
    "the rollout is replaced by one to version v3 and the log is restored to a copy from before",
    async function(this: RestoreScenario) {
        this.platformLog.copy();
        orderRollout(this, "v3");
        await this.clock.advance(SETTLE_MS);
        await restoreLog(this);
    },
);

Then("every node still follows the rollout to version v3", async function(this: RestoreScenario) {
    await this.clock.advance(SETTLE_MS);
    orderRollout(this, "v3");
    await this.clock.advance(SETTLE_MS);
    for (const node of this.nodes) {
        assert.deepEqual(node.startedRollouts, ["v2", "v3"]);
    }
});

When("the log is restored", async function(this: RestoreScenario) {
    await restoreLog(this);
});

Then(
    "each node registers again once, at least {int} ms apart",
    async function(this: RestoreScenario, minIntervalMs: number) {
        await this.clock.advance(2 * SETTLE_MS);
        const times = this.nodes.flatMap(node => node.rejoinedAtMs).sort((left, right) => left - right);
        assert.equal(times.length, NODE_COUNT);
        for (const [index, node] of this.nodes.entries()) {
            assert.equal(node.rejoinedAtMs.length, 1);
            assert.equal(this.platformLog.values("keyed.nodes", `node-${index + 1}`).length, 1);
        }
        for (const [index, timeMs] of times.slice(1).entries()) {
            assert(timeMs - (times[index] ?? 0) >= minIntervalMs, `nodes registered at ${times.join(", ")}`);
        }
    },
);

function startNodes(scenario: RestoreScenario, count: number): void {
    createNodes(scenario, count);
    for (const node of scenario.nodes) {
        node.start();
    }
}

function createNodes(scenario: RestoreScenario, count: number): void {
    scenario.clock = new VirtualClock();
    scenario.platformLog = new KeyedLogModel(scenario.clock);
    scenario.nodes = Array.from(
        { length: count },
        (unused, index) => new FollowingNode(scenario.platformLog, scenario.clock, index + 1),
    );
}

async function restoreLog(scenario: RestoreScenario): Promise<void> {
    scenario.platformLog.isDown = true;
    await scenario.clock.advance(OUTAGE_MS);
    scenario.platformLog.restore();
    scenario.platformLog.isDown = false;
    scenario.restoredAtMs = scenario.clock.now();
}

function writeConfiguration(scenario: RestoreScenario, version: number): void {
    scenario.platformLog.put("keyed.op", "config", makeConfiguration(version, ["key"]));
}

function orderRollout(scenario: RestoreScenario, version: string): void {
    scenario.platformLog.put("keyed.op", ROLLOUT_KEY, { Service: "service", Target: version, DurationS: 60 });
}

/** Rolls the rollout back, as a peer would, and waits until all nodes know. */
async function settleRollout(scenario: RestoreScenario): Promise<void> {
    scenario.platformLog.put("keyed.status", ROLLOUT_KEY, { State: "rolled_back", Target: "v2" });
    await scenario.clock.advance(SETTLE_MS);
}
