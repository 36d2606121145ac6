/**
 * Steps about snapshots, which preserve the configuration beyond the log's retention.
 *
 * @module
 */

import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import {
    CONFIGURATION_STREAM,
    type ConfigurationSnapshot,
    encodeConfigurationRecord,
    encodeSnapshot,
    SNAPSHOT_STREAM,
} from "../../src/protocol/mod.js";
import { ConfigurationFleet, type ConfigurationNode } from "../../standin/configuration_fleet.js";
import { makeRankChange } from "../support/configuration_changes.js";
import type { Scenario } from "../support/world.js";

/** Milliseconds in an hour. */
const MS_PER_HOUR = 3_600_000;

/** Milliseconds in a year. */
const MS_PER_YEAR = 365 * 24 * MS_PER_HOUR;

/** Time within which a change reaches the nodes that can read the log, in milliseconds. */
const CHANGE_PROPAGATION_MS = 4_000;

/** Fleet of each scenario. */
const fleets = new WeakMap<Scenario, ConfigurationFleet>();

After(async function(this: Scenario) {
    await fleets.get(this)?.stop();
});

Given(
    "{int} configuration nodes on a log that retains records for {int} hours",
    async function(this: Scenario, count: number, hours: number) {
        const fleet = new ConfigurationFleet({ retentionMs: hours * MS_PER_HOUR });
        fleets.set(this, fleet);
        for (let index = 0; index < count; index += 1) {
            fleet.addNode();
        }
        const firstRecord = { id: "first", madeAgainst: -1, author: "operator", atMs: 0, changes: [makeRankChange("desk", 0)] };
        await fleet.clock.runUntil(fleet.log.append(CONFIGURATION_STREAM, encodeConfigurationRecord(firstRecord)));
        await fleet.clock.advance(CHANGE_PROPAGATION_MS);
    },
);

When("the node is stopped {int} s after its start, and 15 minutes pass", async function(this: Scenario, seconds: number) {
    const fleet = fleetOf(this);
    await fleet.clock.advance(seconds * 1_000 - CHANGE_PROPAGATION_MS);
    await stopAllNodes(fleet);
    await fleet.clock.advance(MS_PER_HOUR / 4);
});

Then("the log holds no snapshot", async function(this: Scenario) {
    const fleet = fleetOf(this);
    const page = await fleet.clock.runUntil(fleet.log.read(SNAPSHOT_STREAM, 0));
    assert.equal(page.records.length, 0);
});

Given("one of them sets tier {string} to rank {int}", async function(this: Scenario, tier: string, rank: number) {
    const fleet = fleetOf(this);
    const [node] = fleet.nodes;
    const { version } = node.view.published;
    const proposal = { id: `${tier}-${rank}`, madeAgainst: version, author: "operator", changes: [makeRankChange(tier, rank)] };
    const result = await fleet.clock.runUntil(node.follower.propose(proposal));
    assert.equal(result.outcome, "accepted", result.problems.join());
    await fleet.clock.advance(CHANGE_PROPAGATION_MS);
});

When("the change to rank {int} of tier {string} is retried on the new node", async function(
    this: Scenario,
    rank: number,
    tier: string,
) {
    const fleet = fleetOf(this);
    await fleet.clock.advance(CHANGE_PROPAGATION_MS);
    const node = fleet.nodes.at(-1) as ConfigurationNode;
    const madeAgainst = node.view.published.version;
    const proposal = { id: `${tier}-${rank}`, madeAgainst, author: "operator", changes: [makeRankChange(tier, rank)] };
    assert.equal((await fleet.clock.runUntil(node.follower.propose(proposal))).outcome, "accepted");
    const record = encodeConfigurationRecord({ ...proposal, atMs: 0 });
    await fleet.clock.runUntil(fleet.log.append(CONFIGURATION_STREAM, record));
});

Given("the log holds a snapshot that is dated a year ahead", async function(this: Scenario) {
    const fleet = fleetOf(this);
    const snapshot = snapshotOf(fleet.nodes[0]);
    await appendSnapshot(fleet, encodeSnapshot({ ...snapshot, atMs: snapshot.atMs + MS_PER_YEAR }));
});

Given("the log of the configuration nodes gets a record of a later format", async function(this: Scenario) {
    const { clock, log } = fleetOf(this);
    await clock.runUntil(log.append(CONFIGURATION_STREAM, Buffer.from(JSON.stringify({ format: 2 }))));
    await clock.advance(CHANGE_PROPAGATION_MS);
});

Given("one configuration node gets no answer from log and peers", function(this: Scenario) {
    const fleet = fleetOf(this);
    const node = fleet.nodes[2];
    node.log.faults.hang = true;
    fleet.setIsolated(node.vm, true);
});

When("that configuration node is healed", async function(this: Scenario) {
    const fleet = fleetOf(this);
    const node = fleet.nodes[2];
    node.log.heal();
    // The node stays isolated from its peers, so it can catch up only from the log.
    await fleet.clock.advance(15_000);
});

When(
    /^(\d+) hours pass for the configuration nodes( without a further snapshot)?$/,
    async function(this: Scenario, hours: string, withoutSnapshot: string | undefined) {
        const fleet = fleetOf(this);
        if (withoutSnapshot) {
            await stopAllNodes(fleet);
        }
        await fleet.clock.advance(Number(hours) * MS_PER_HOUR);
    },
);

When("a configuration node starts without peers", function(this: Scenario) {
    fleetOf(this).addNode({ isolated: true });
});

When(/^two configuration nodes write a snapshot at once, (.*)$/, async function(this: Scenario, order: string) {
    const fleet = fleetOf(this);
    const [first, second] = fleet.nodes.map(snapshotOf);
    switch (order) {
        case "both up to the same offset":
            await appendSnapshot(fleet, encodeSnapshot(first));
            await appendSnapshot(fleet, encodeSnapshot(second));
            return;
        case "the one that covers less committed last": {
            const document = { ...first.configuration.document, tiers: [{ name: "desk", rank: 0 }] };
            await appendSnapshot(fleet, encodeSnapshot(first));
            await appendSnapshot(
                fleet,
                encodeSnapshot({ configuration: { version: 0, document }, nextOffset: 1, applied: [], atMs: first.atMs }),
            );
            return;
        }
        case "a malformed one committed last":
            await appendSnapshot(fleet, encodeSnapshot(first));
            await appendSnapshot(fleet, Buffer.from("no snapshot"));
            return;
        default:
            throw new Error(`Cannot write snapshots: order "${order}" is unknown`);
    }
});

Then("the log keeps no record of the configuration stream", async function(this: Scenario) {
    const { clock, log } = fleetOf(this);
    const page = await clock.runUntil(log.read(CONFIGURATION_STREAM, 0));
    assert.deepEqual(page.records, []);
    assert.ok(page.endOffset > 0);
});

Then(
    "all configuration nodes have tier {string} at rank {int} within {int} seconds",
    async function(this: Scenario, tier: string, rank: number, seconds: number) {
        const fleet = fleetOf(this);
        await fleet.clock.advance(seconds * 1_000);
        assert.deepEqual(fleet.nodes.map(node => node.view.tier(tier)?.rank), fleet.nodes.map(() => rank));
    },
);

Then("{int} to {int} snapshots were written", async function(this: Scenario, min: number, max: number) {
    const { clock, log } = fleetOf(this);
    const { endOffset } = await clock.runUntil(log.read(SNAPSHOT_STREAM, 0));
    assert.ok(endOffset >= min && endOffset <= max, `${endOffset} snapshots were written`);
});

Then("the new configuration node has no configuration after {int} seconds", async function(this: Scenario, seconds: number) {
    const fleet = fleetOf(this);
    await fleet.clock.advance(seconds * 1_000);
    assert.equal(fleet.nodes.at(-1)?.follower.isConfigured, false);
});

Then("the new configuration node has a warning {string}", function(this: Scenario, kind: string) {
    const events = fleetOf(this).nodes.at(-1)?.ring.list() ?? [];
    assert.equal(events.filter(event => event.kind === kind && event.warning).length, 1);
});

function fleetOf(scenario: Scenario): ConfigurationFleet {
    const fleet = fleets.get(scenario);
    assert.ok(fleet, "no step has started configuration nodes");
    return fleet;
}

function snapshotOf(node: ConfigurationNode): ConfigurationSnapshot {
    const snapshot = node.follower.stateMachine.snapshot();
    assert.ok(snapshot);
    return snapshot;
}

async function appendSnapshot({ clock, log }: ConfigurationFleet, data: Uint8Array): Promise<void> {
    await clock.runUntil(log.append(SNAPSHOT_STREAM, data));
}

/** Stops all nodes and waits until their tasks have ended. */
async function stopAllNodes(fleet: ConfigurationFleet): Promise<void> {
    for (const node of fleet.nodes) {
        node.stop();
    }
    await fleet.clock.runUntil(Promise.all(fleet.nodes.map(node => node.done)));
}
