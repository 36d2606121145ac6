/**
 * Steps about configuration changes under faults of the log and of peers.
 *
 * @module
 */

import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { EntryNode } from "../../src/daemon/mod.js";
import { CONFIGURATION_STREAM, type configurationWire, encodeConfigurationRecord } from "../../src/protocol/mod.js";
import type { NodeLog } from "../../standin/node_log.js";
import { awaitChanges, changeResults, lastChangeResult, makeRankChange, proposeRank } from "../support/configuration_changes.js";
import type { Scenario } from "../support/world.js";

/** Node that each scenario has added. */
const addedNodes = new WeakMap<Scenario, EntryNode>();

/** Reply to the last configuration request from a peer, by scenario. */
const peerReplies = new WeakMap<Scenario, configurationWire.FetchConfigurationReply>();

/** Failure domain of added nodes. */
const ADDED_NODE_DOMAIN = "sul-a";

Given("the answers to the next {int} appends of {string} are lost", function(this: Scenario, count: number, node: string) {
    findNodeLog(this, node).faults.loseAnswers = count;
});

Given("{string} is cut off from the log", function(this: Scenario, node: string) {
    findNodeLog(this, node).faults.refuse = true;
});

Given("{string} gets no answer from the log", function(this: Scenario, node: string) {
    findNodeLog(this, node).faults.hang = true;
});

Given("{string} gets answers from the log after {int} seconds", function(this: Scenario, node: string, seconds: number) {
    findNodeLog(this, node).faults.delayMs = seconds * 1_000;
});

Given("{string} receives no version announcements from its peers", function(this: Scenario, node: string) {
    this.fleet.disseminationHub.setIsolated(node, true);
});

Given("{string} is cut off from its peers", function(this: Scenario, node: string) {
    this.fleet.disseminationHub.setIsolated(node, true);
    this.fleet.configurationHub.isolated.add(findAddress(this, node));
});

Given("an operator has changed tier {string} to rank {int}", async function(this: Scenario, tier: string, rank: number) {
    await awaitChanges(this, [proposeRank(this.fleet.nodes[0], tier, rank)]);
    assert.equal(lastChangeResult(this).outcome, "accepted");
    await this.fleet.clock.advance(1_000);
});

When("{string} is healed", async function(this: Scenario, node: string) {
    findNodeLog(this, node).heal();
    this.fleet.disseminationHub.setIsolated(node, false);
    this.fleet.configurationHub.isolated.delete(findAddress(this, node));
    await this.fleet.clock.advance(1_000);
});

When("{string} gets answers from the log again", function(this: Scenario, node: string) {
    findNodeLog(this, node).heal();
});

When("{int} seconds pass", async function(this: Scenario, seconds: number) {
    await this.fleet.clock.advance(seconds * 1_000);
});

When(
    "the log gets a change of tier {string} to rank {int} twice, with another change to rank {int} in between",
    async function(this: Scenario, tier: string, rank: number, otherRank: number) {
        const { clock, log, nodes } = this.fleet;
        const { version } = nodes[0].view.published;
        const base = { author: "operator", atMs: 0 };
        const repeated = encodeConfigurationRecord({
            ...base,
            id: "repeated",
            madeAgainst: version,
            changes: [makeRankChange(tier, rank)],
        });
        const offset = await clock.runUntil(log.append(CONFIGURATION_STREAM, repeated));
        const other = { ...base, id: "other", madeAgainst: offset, changes: [makeRankChange(tier, otherRank)] };
        await clock.runUntil(log.append(CONFIGURATION_STREAM, encodeConfigurationRecord(other)));
        await clock.runUntil(log.append(CONFIGURATION_STREAM, repeated));
    },
);

When("an operator makes the same change twice under one id", async function(this: Scenario) {
    const [node] = this.fleet.nodes;
    const proposal = {
        id: "same",
        madeAgainst: node.view.published.version,
        author: "operator",
        changes: [makeRankChange("desk", 5)],
    };
    const first = await this.fleet.clock.runUntil(node.configurationFollower.propose(proposal));
    const second = await this.fleet.clock.runUntil(node.configurationFollower.propose(proposal));
    await awaitChanges(this, [Promise.resolve(first), Promise.resolve(second)]);
});

When(/^a new node starts( that reaches no peer)?$/, async function(this: Scenario, isolated: string | undefined) {
    const { fleet } = this;
    const node = fleet.addNode(ADDED_NODE_DOMAIN);
    addedNodes.set(this, node);
    if (isolated) {
        fleet.disseminationHub.setIsolated(node.settings.node, true);
        fleet.configurationHub.isolated.add(findAddress(this, node.settings.node));
    }
    fleet.publishVmList();
    node.start();
});

When("a peer offers every node the snapshot of version 0", async function(this: Scenario) {
    const { fleet } = this;
    for (const node of fleet.nodes) {
        const { stateMachine: journal } = node.configurationFollower;
        const previousOffset = journal.nextOffset;
        journal.installSnapshot({ configuration: { version: 0, document: fleet.document }, nextOffset: 1, applied: [], atMs: 0 });
        assert.equal(journal.nextOffset, previousOffset);
        node.view.advance({ version: 0, document: fleet.document });
    }
});

When("a peer asks {string} for configuration from offset {int}", function(this: Scenario, node: string, fromOffset: number) {
    peerReplies.set(this, findNode(this, node).configurationFollower.replyToPeer({ node: "peer", fromOffset }));
});

Then("the peer is offered nothing", function(this: Scenario) {
    const reply = peerReplies.get(this);
    assert.deepEqual([reply?.nextOffset, reply?.records.length, reply?.snapshot.length], [0, 0, 0]);
});

Then("the refused operator is shown the other's change of {string}", function(this: Scenario, path: string) {
    const values = changeResults(this).flatMap(result => result.status === "fulfilled" ? [result.value] : []);
    const refused = values.filter(value => value.outcome === "conflict");
    const { version } = this.fleet.nodes[0].view.current;
    assert.equal(refused.length, 1);
    assert.equal(refused[0].others.length, 1, JSON.stringify(refused[0].others));
    assert.match(refused[0].others[0], new RegExp(`^version ${version} by operator: ~ ${path} .* -> `));
});

Then("the configuration stream changed the version once", async function(this: Scenario) {
    await this.fleet.clock.advance(4_000);
    for (const node of this.fleet.nodes) {
        const versions = versionsInForce(node);
        assert.equal(versions.length, 2, `${node.settings.node}: ${versions.join()}`);
    }
});

Then("the outcome of the repeated change is {string} on every node", function(this: Scenario, outcome: string) {
    for (const node of this.fleet.nodes) {
        assert.equal(node.configurationFollower.stateMachine.outcome("repeated")?.outcome, outcome);
    }
});

Then("both answers name the same version", function(this: Scenario) {
    const versions = changeResults(this).map(result => result.status === "fulfilled" ? result.value.version : undefined);
    assert.equal(versions.length, 2);
    assert.equal(versions[0], versions[1]);
    assert.equal(lastChangeResult(this).outcome, "accepted");
});

Then("the time line of {string} has an event {string}", function(this: Scenario, node: string, kind: string) {
    assert.ok(findNode(this, node).ring.list().some(event => event.kind === kind));
});

Then("no node ever went back to an older version", function(this: Scenario) {
    for (const node of this.fleet.nodes) {
        const versions = versionsInForce(node);
        assert.deepEqual(versions, [...versions].sort((left, right) => left - right));
        assert.equal(node.view.current.version, versions.at(-1));
    }
});

Then("the new node is configured within {int} seconds", async function(this: Scenario, seconds: number) {
    await this.fleet.clock.advance(seconds * 1_000);
    assert.ok(addedNodes.get(this)?.configured);
});

Then("the new node is not configured after {int} seconds", async function(this: Scenario, seconds: number) {
    await this.fleet.clock.advance(seconds * 1_000);
    assert.equal(addedNodes.get(this)?.configured, false);
});

Then("the new node reports {string}", function(this: Scenario, text: string) {
    const reason = addedNodes.get(this)?.configurationFollower.notReadyReason ?? "";
    assert.ok(reason.includes(text), reason);
});

function findNode(scenario: Scenario, id: string): EntryNode {
    const node = scenario.fleet.nodes.find(each => each.settings.node === id);
    assert.ok(node, `no node is named ${id}`);
    return node;
}

function findNodeLog(scenario: Scenario, node: string): NodeLog {
    const log = scenario.fleet.nodeLogs.get(node);
    assert.ok(log, `no node is named ${node}`);
    return log;
}

function findAddress(scenario: Scenario, node: string): string {
    const vm = scenario.fleet.entryVms.find(each => each.id === node);
    assert.ok(vm, `no node is named ${node}`);
    return vm.address;
}

/** Returns the versions that came into force on a node, in order, as recorded in its time line. */
function versionsInForce(node: EntryNode): readonly number[] {
    const events = node.ring.list().filter(event => event.kind === "inForce");
    return events.map(event => Number(/^Version (\d+)/.exec(event.text)?.[1]));
}
