/**
 * Steps about rollouts by relay nodes, on a model of nodes, servers and callers.
 *
 * @module
 */

import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { type ModelTraffic, RelayFleetModel } from "../../standin/relay_fleet_model.js";
import type { Scenario } from "../support/world.js";

/** Seeds with which each case is played. */
const SEEDS = [1, 2, 3];

/** Number of nodes that lose the log: half of six. */
const NODES_WITHOUT_LOG = 3;

/** Time before the order in which the nodes measure the old version, in milliseconds. */
const WARM_UP_MS = 6_000;

/** Time from the order to its deadline, in milliseconds. */
const DURATION_MS = 15_000;

/** Time after the deadline for which a case is played, in milliseconds. */
const AFTERMATH_MS = 8_000;

/** Bounds of a bad version: share and number of calls until the deadline, bad answers, and time after the last of these. */
const MAX_SHARE = 0.1;
const SLACK_CALLS = 50;
const MAX_BAD_ANSWERS = 50;
const ROLLBACK_MS = 5_000;

/** Time for which a crashed server is down, in milliseconds. */
const CRASH_MS = 3_700;

/** Interval at which connections are closed, in milliseconds. */
const CLOSE_INTERVAL_MS = 300;

/** Traffic by the kind of answers. */
const TRAFFIC: Readonly<Record<string, ModelTraffic>> = {
    "streams": {
        callsPerSecond: 90,
        mostEvents: 80,
        promptTokens: 1_800,
        deadlineMs: 12_000,
        intervalsMs: [14, 14, 14, 14, 14, 14, 25, 25, 25, 36, 36, 70, 100],
        slots: 11,
    },
    "whole answers": {
        callsPerSecond: 33,
        mostEvents: 0,
        promptTokens: 0,
        deadlineMs: 2_500,
        intervalsMs: [10, 11, 12, 14],
        slots: 6,
    },
};

/** Change of the model at a time, in milliseconds since the order. */
interface Change {
    readonly atMs: number;
    readonly apply: (fleet: RelayFleetModel) => void;
}

/** State of a scenario of this file. */
interface RolloutScenario extends Scenario {
    traffic: ModelTraffic;
    fleets: RelayFleetModel[];
    orderedAtMs: number;
    completedAtMs: Map<RelayFleetModel, number>;
    rolledBackAtMs: Map<RelayFleetModel, number>;
}

After(function(this: RolloutScenario) {
    for (const fleet of this.fleets ?? []) {
        fleet.stop();
    }
});

Given(/^(\d+) relay nodes before servers that send (.*)$/, function(this: RolloutScenario, nodes: string, kind: string) {
    this.traffic = TRAFFIC[kind];
    this.fleets = SEEDS.map(seed => new RelayFleetModel(this.traffic, Number(nodes), seed));
    this.completedAtMs = new Map();
    this.rolledBackAtMs = new Map();
});

When(/^a version is rolled out whose servers (.*)$/, { timeout: 300_000 }, async function(this: RolloutScenario, fault: string) {
    await rollOut(this, changesOf(fault));
});

When(/^a good version is rolled out and (.*)$/, { timeout: 300_000 }, async function(this: RolloutScenario, trouble: string) {
    await rollOut(this, changesOf(trouble));
});

Then("it is rolled back and gets no more calls than a bad version may get", function(this: RolloutScenario) {
    for (const [index, fleet] of this.fleets.entries()) {
        const name = `seed ${SEEDS[index]}`;
        const target = fleet.attemptsOf("v2");
        const all = [...target, ...fleet.attemptsOf("v1")];
        const orderedAtMs = this.orderedAtMs;
        const isBeforeDeadline = ({ atMs }: { atMs: number }) => atMs >= orderedAtMs && atMs <= orderedAtMs + DURATION_MS;
        const limit = MAX_SHARE * all.filter(isBeforeDeadline).length + SLACK_CALLS;
        const exposed = target.filter(isBeforeDeadline).length;
        const badAtMs = target.flatMap(attempt => attempt.badAtMs ?? []).sort((left, right) => left - right);
        const lastAllowedMs = (badAtMs[MAX_BAD_ANSWERS - 1] ?? Infinity) + ROLLBACK_MS;
        const late = target.filter(attempt => attempt.atMs > lastAllowedMs).length;
        assert(exposed <= limit, `${name}: ${exposed} calls until the deadline, ${limit} allowed`);
        assert.equal(late, 0, `${name}: ${late} calls after 5 s from the 50th bad answer, state ${fleet.rolloutState}`);
        assert.equal(fleet.rolloutState, "rolledBack", name);
    }
});

Then("it is completed in time", function(this: RolloutScenario) {
    for (const [index, fleet] of this.fleets.entries()) {
        const name = `seed ${SEEDS[index]}`;
        assert.equal(fleet.rolloutState, "completed", name);
        const completedMs = (this.completedAtMs.get(fleet) ?? Infinity) - this.orderedAtMs;
        assert(completedMs <= DURATION_MS, `${name}: completed after ${completedMs} ms`);
    }
});

Then("no node sends it calls later than 1 s after the rollback is recorded", function(this: RolloutScenario) {
    for (const [index, fleet] of this.fleets.entries()) {
        const lastAllowedMs = (this.rolledBackAtMs.get(fleet) ?? -Infinity) + 1_000;
        const late = fleet.attemptsOf("v2").filter(({ atMs }) => atMs > lastAllowedMs).length;
        assert.equal(late, 0, `seed ${SEEDS[index]}: ${late} calls`);
    }
});

/** Rolls out a version in each fleet and applies the changes; servers of the old version are stopped once it is completed. */
async function rollOut(scenario: RolloutScenario, changes: readonly Change[]): Promise<void> {
    for (const fleet of scenario.fleets) {
        fleet.addVersion("v1");
        await fleet.run(WARM_UP_MS);
        fleet.addVersion("v2");
        scenario.orderedAtMs = fleet.clock.now();
        fleet.order("v2", DURATION_MS);
        const pending = [...changes].sort((left, right) => left.atMs - right.atMs);
        while (fleet.clock.now() < scenario.orderedAtMs + DURATION_MS + AFTERMATH_MS) {
            while (pending.length > 0 && pending[0].atMs <= fleet.clock.now() - scenario.orderedAtMs) {
                pending.shift()?.apply(fleet);
            }
            await fleet.run(100);
            if (fleet.rolloutState === "rolledBack" && !scenario.rolledBackAtMs.has(fleet)) {
                scenario.rolledBackAtMs.set(fleet, fleet.clock.now());
            }
            if (fleet.rolloutState === "completed" && !scenario.completedAtMs.has(fleet)) {
                scenario.completedAtMs.set(fleet, fleet.clock.now());
                fleet.keepVersion("v2");
            }
        }
        fleet.stop();
    }
}

/** Returns the changes of a fault or trouble, whose parts are joined by `while`, `after` and `once`. */
function changesOf(text: string): readonly Change[] {
    const [fault, circumstance = ""] = text.split(/ (?=while |after |once )/);
    const fromMs = circumstance === "after 9 s" ? 9_000 : circumstance.startsWith("once") ? 13_000 : 0;
    return [...faultChanges(fault, fromMs), ...circumstanceChanges(circumstance)];
}

function faultChanges(fault: string, fromMs: number): readonly Change[] {
    const setTarget = (change: Partial<{ failureShare: number; firstEventFactor: number; intervalFactor: number }>) => [{
        atMs: fromMs,
        apply: (fleet: RelayFleetModel) => Object.assign(fleet.behaviors.get("v2") ?? {}, change),
    }];
    switch (fault) {
        case "nothing happens":
            return [];
        case "fail half of their calls":
            return setTarget({ failureShare: 0.5 });
        case "send their first event five times as late":
        case "answer five times as late":
            return setTarget({ firstEventFactor: 5 });
        case "send events three times as slowly":
            return setTarget({ intervalFactor: 3 });
        case "send events five times as slowly":
            return setTarget({ intervalFactor: 5 });
        case "close half of their connections":
            return Array.from({ length: (DURATION_MS + AFTERMATH_MS) / CLOSE_INTERVAL_MS }, (item, index) => ({
                atMs: index * CLOSE_INTERVAL_MS,
                apply: fleet => closeConnections(fleet, index),
            }));
        case "two of its servers crash":
            return [{ atMs: 4_000, apply: fleet => crash(fleet, ["v2-0", "v2-1"]) }];
        case "a server of each version crashes":
            return [{ atMs: 4_000, apply: fleet => crash(fleet, ["v2-0", "v1-0"]) }];
        case "all servers fail a quarter of their calls":
            return [{ atMs: 0, apply: fleet => failEverywhere(fleet, 0.25) }];
        case "twice as many calls come":
            return [
                { atMs: 4_000, apply: fleet => void (fleet.trafficFactor = 2) },
                { atMs: 10_000, apply: fleet => void (fleet.trafficFactor = 1) },
            ];
        case "four nodes restart":
            return [{ atMs: 6_000, apply: fleet => fleet.restartNodes(0, 4) }];
        case "a third of the nodes loses the log for 4 s":
            return [
                { atMs: 5_000, apply: fleet => fleet.setLogReachable(2, false) },
                { atMs: 9_000, apply: fleet => fleet.setLogReachable(2, true) },
            ];
        default:
            throw new Error(`Unknown fault: ${fault}`);
    }
}

function circumstanceChanges(circumstance: string): readonly Change[] {
    switch (circumstance) {
        case "while the log is down for half of the nodes":
            return [{ atMs: 600, apply: fleet => fleet.setLogReachable(NODES_WITHOUT_LOG, false) }];
        case "while all servers fail a quarter":
            return [{ atMs: 0, apply: fleet => failEverywhere(fleet, 0.25) }];
        case "while a node is cut off from its peers":
            return [{ atMs: 1_000, apply: fleet => fleet.setIsolated(0, true) }];
        case "while four nodes restart":
            return [{ atMs: 6_000, apply: fleet => fleet.restartNodes(0, 4) }];
        default:
            return [];
    }
}

function failEverywhere(fleet: RelayFleetModel, failureShare: number): void {
    for (const behavior of fleet.behaviors.values()) {
        behavior.failureShare = Math.max(behavior.failureShare, failureShare);
    }
}

function crash(fleet: RelayFleetModel, ids: readonly string[]): void {
    for (const id of ids) {
        fleet.servers.get(id)?.crash(fleet.clock.now() + CRASH_MS);
    }
}

function closeConnections(fleet: RelayFleetModel, index: number): void {
    const servers = fleet.serversOf("v2");
    servers[index % servers.length]?.crash(fleet.clock.now());
}
