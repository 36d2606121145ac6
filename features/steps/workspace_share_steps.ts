/**
 * Steps about the shares of workspaces in the slots of a service, without a network and under a virtual clock.
 *
 * @module
 */

import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { parsePlatformSettings } from "../../platform/mod.js";
import {
    divideMaxMin,
    NO_LOAD,
    type ServiceLoads,
    UsualLoad,
    type WorkspaceLoad,
    WorkspaceShares,
} from "../../src/coordination/allotment/mod.js";
import { fromWorkspaceLoads, ReportSums, toWorkspaceLoads, withoutOwnPart } from "../../src/coordination/relay/mod.js";
import { EMPTY_REPORT, hashKey, PeerReport, type WorkspaceLoads } from "../../src/protocol/relay/mod.js";
import { VirtualClock } from "../../standin/virtual_clock.js";
import { SERVICE, ShareFleet } from "../support/share_fleet.js";
import type { Scenario } from "../support/world.js";

/** Time after which the calls of a scenario have ended, in milliseconds. */
const DRAIN_MS = 6_000;

/** Time for which callers send their usual load before anything happens, in milliseconds. */
const CALM_MS = 8_000;

/** Duration of a sample of the usual load, in milliseconds. */
const SAMPLE_MS = 500;

/** Nodes of one failure domain at the design size. */
const DOMAIN_NODES = 25;

/** State of a scenario of this file. */
interface ShareScenario extends Scenario {
    shares: readonly number[];
    usual: UsualLoad;
    shareFleet: ShareFleet;
    hot: readonly string[];
    loads: Map<number, WorkspaceLoad>;
    reported: ServiceLoads;
    isOn: boolean;
}

function listOf(text: string): readonly string[] {
    return text.split(", ");
}

When("{int} slots are divided among claims of {} slots with weights {}", function(
    this: ShareScenario,
    slots: number,
    demands: string,
    weights: string,
) {
    const weightList = listOf(weights).map(Number);
    const claims = new Map(listOf(demands).map((demand, key) => [key, { demand: Number(demand), weight: weightList[key] ?? 0 }]));
    const shares = divideMaxMin(slots, claims);
    this.shares = [...claims.keys()].map(key => Math.round(shares.get(key) ?? NaN));
});

Then("the shares are {}", function(this: ShareScenario, shares: string) {
    assert.deepEqual(this.shares, listOf(shares).map(Number));
});

When(
    /^a workspace holds (\d+) slots for (\d+) s, and then (\d+) slots for (\d+) s (while|until) slots are (free|short)(?: for a long time)?$/,
    function(
        this: ShareScenario,
        before: string,
        beforeS: string,
        after: string,
        afterS: string,
        relation: string,
        state: string,
    ) {
        let nowMs = 0;
        this.usual = new UsualLoad(nowMs);
        const hold = (slots: number, durationMs: number, isShort: boolean) => {
            for (const endMs = nowMs + durationMs; nowMs < endMs;) {
                nowMs += SAMPLE_MS;
                this.usual.recordHeld(slots, nowMs);
                this.usual.endSample(isShort);
            }
        };
        hold(Number(before), Number(beforeS) * 1_000, false);
        hold(Number(after), Number(afterS) * 1_000, relation === "while" && state === "short");
        if (relation === "until") {
            hold(Number(after), SAMPLE_MS, true);
        }
    },
);

Then("its usual load is between {float} and {float} slots", function(this: ShareScenario, least: number, most: number) {
    assert(this.usual.slots >= least && this.usual.slots <= most, `it is ${this.usual.slots}`);
});

Given(
    "8 nodes, of whose callers 8 workspaces send {int} calls a second each, while slots are free",
    async function(this: ShareScenario, rate: number) {
        this.shareFleet = new ShareFleet();
        for (let index = 0; index < 8; index += 1) {
            this.shareFleet.rates.set(`w${index}`, rate);
        }
        await this.shareFleet.run(CALM_MS);
        this.shareFleet.resetFigures();
    },
);

When(
    "a quarter of the servers stops and the workspaces {string} send {int} calls a second each",
    async function(this: ShareScenario, hot: string, rate: number) {
        this.hot = listOf(hot);
        this.shareFleet.stopQuarterOfServers();
        setRates(this.shareFleet, this.hot, rate);
        await this.shareFleet.run(2_000);
        this.shareFleet.resetFigures();
    },
);

When(
    /^(nothing else happens|one in three reports is lost|node 0 hears no other node|node 0 restarts)$/,
    function(this: ShareScenario, fault: string) {
        this.shareFleet.lossProbability = fault === "one in three reports is lost" ? 1 / 3 : 0;
        this.shareFleet.cutOffNode = fault === "node 0 hears no other node" ? 0 : undefined;
        if (fault === "node 0 restarts") {
            this.shareFleet.restartNode(0);
        }
    },
);

When("{int} s pass", async function(this: ShareScenario, seconds: number) {
    await this.shareFleet.run(seconds * 1_000);
});

When("{string} stop and {int} s pass", async function(this: ShareScenario, workspaces: string, seconds: number) {
    setRates(this.shareFleet, listOf(workspaces), 0);
    await this.shareFleet.run(seconds * 1_000);
    this.shareFleet.resetFigures();
});

When(
    /^"([^"]+)" sends? (\d+) calls a second(?: each again)? and (\d+) s pass$/,
    async function(this: ShareScenario, workspaces: string, rate: string, seconds: string) {
        setRates(this.shareFleet, listOf(workspaces), Number(rate));
        await this.shareFleet.run(Number(seconds) * 1_000);
        if (listOf(workspaces).length > 1) {
            this.shareFleet.resetFigures();
        }
    },
);

function setRates(fleet: ShareFleet, workspaces: readonly string[], rate: number): void {
    for (const workspace of workspaces) {
        fleet.rates.set(workspace, rate);
    }
}

/** Waits until the open calls have ended, without further calls, and sums the outcomes of workspaces. */
async function countServed(fleet: ShareFleet, workspaces: readonly string[]): Promise<{ served: number; inTime: number }> {
    const rates = new Map(fleet.rates);
    setRates(fleet, [...rates.keys()], 0);
    const figures = workspaces.map(workspace => fleet.of(workspace));
    const calls = figures.reduce((sum, each) => sum + each.calls, 0);
    await fleet.run(DRAIN_MS);
    for (const [workspace, rate] of rates) {
        fleet.rates.set(workspace, rate);
    }
    return {
        served: figures.reduce((sum, each) => sum + each.served, 0) / calls,
        inTime: figures.reduce((sum, each) => sum + each.inTime, 0) / calls,
    };
}

Then(
    "of the calls of the other workspaces at least {float} are served, and {float} in time",
    async function(this: ShareScenario, least: number, leastInTime: number) {
        const others = [...this.shareFleet.rates.keys()].filter(workspace => !this.hot.includes(workspace));
        const { served, inTime } = await countServed(this.shareFleet, others);
        assert(served >= least && inTime >= leastInTime, `${served} are served, ${inTime} in time`);
    },
);

Then(
    "of the calls of {string} at least {float} are served",
    async function(this: ShareScenario, workspaces: string, least: number) {
        const { served } = await countServed(this.shareFleet, listOf(workspaces));
        assert(served >= least, `${served} are served`);
    },
);

Then("all calls of {string} are served in time", async function(this: ShareScenario, workspace: string) {
    assert.equal((await countServed(this.shareFleet, [workspace])).inTime, 1);
});

Then(
    "more calls of {string} in its first class are served in time than twice those in its lowest class",
    async function(this: ShareScenario, workspace: string) {
        const { inTime } = await countServed(this.shareFleet, [`${workspace} rank 0`]);
        const { inTime: lowest } = await countServed(this.shareFleet, [`${workspace} rank 1`]);
        assert(inTime > 2 * lowest, `${inTime} and ${lowest}`);
    },
);

Then(
    "refused calls of {string} were refused within {int} ms on average, and asked to return after times that are {int} ms apart",
    function(this: ShareScenario, workspace: string, most: number, spread: number) {
        const { refusals, refusalMs, retryAfterMs } = this.shareFleet.of(workspace);
        assert(refusalMs / refusals <= most, `after ${refusalMs / refusals} ms`);
        const times = retryAfterMs.filter(timeMs => timeMs > 0);
        assert(Math.max(...times) - Math.min(...times) >= spread);
    },
);

Then("no node has reported loads of workspaces", function(this: ShareScenario) {
    assert.equal(this.shareFleet.largestLoadBytes, 0);
});

Given("{int} workspaces with calls at a node while slots are short", function(this: ShareScenario, count: number) {
    const shares = new WorkspaceShares({ service: SERVICE, clock: new VirtualClock(), onChange: () => undefined });
    this.loads = new Map();
    for (let index = 0; index < count; index += 1) {
        const key = hashKey(`w${index}`);
        const heldCalls = index % 20;
        this.loads.set(key, { ...NO_LOAD, heldCalls });
        shares.recordArrival(key, `w${index}`, true);
        for (let call = 0; call < heldCalls; call += 1) {
            shares.recordStart(key, false);
        }
    }
    shares.recordWaiting(hashKey("w0"));
    this.reported = shares.reported() ?? assert.fail("nothing is reported");
});

function bytesOf(workspaceLoads: readonly WorkspaceLoads[]): number {
    return PeerReport.encode({ ...EMPTY_REPORT, workspaceLoads }).finish().length;
}

Then("its report names at most {int} of them, the largest, in at most {int} bytes", function(
    this: ShareScenario,
    most: number,
    bytes: number,
) {
    const { workspaces } = this.reported;
    assert.equal(workspaces.size, Math.min(most, this.loads.size));
    const smallest = Math.min(...[...workspaces.values()].map(load => load.heldCalls));
    const larger = [...this.loads].filter(([key, load]) => load.heldCalls > smallest && !workspaces.has(key));
    assert.deepEqual(larger, []);
    const size = bytesOf([toWorkspaceLoads(hashKey(SERVICE), this.reported)]);
    assert(size <= bytes, `${size} bytes`);
});

/** Returns the reports of the nodes of a domain, and their sum. */
function sumReports(reported: ServiceLoads): { readonly sums: ReportSums; readonly sum: PeerReport } {
    const sums = new ReportSums(new VirtualClock());
    const workspaceLoads = [toWorkspaceLoads(hashKey(SERVICE), reported)];
    for (let node = 0; node < DOMAIN_NODES; node += 1) {
        sums.record(`node-${node}`, { ...EMPTY_REPORT, node: `node-${node}`, sequence: 1, heardNodes: 1, workspaceLoads });
    }
    return { sums, sum: { ...EMPTY_REPORT, ...sums.sum() } };
}

Then("the sum of 25 such reports names at most {int} of them, in at most {int} bytes", function(
    this: ShareScenario,
    most: number,
    bytes: number,
) {
    const { sum } = sumReports(this.reported);
    assert((sum.workspaceLoads[0]?.workspaceKeys.length ?? Infinity) <= most);
    assert.equal(sum.workspaceLoads[0]?.shortNodes, DOMAIN_NODES);
    assert(bytesOf(sum.workspaceLoads) <= bytes, `${bytesOf(sum.workspaceLoads)} bytes`);
});

Then("the sum without the part of one node is the sum of the others", function(this: ShareScenario) {
    const { sums, sum } = sumReports(this.reported);
    const { workspaceLoads: [message] } = withoutOwnPart({ ...sum, ownPart: sums.partOf("node-0") });
    const rest = message === undefined ? assert.fail("no loads are left") : fromWorkspaceLoads(message);
    assert.equal(rest.shortNodes, DOMAIN_NODES - 1);
    for (const [key, { heldCalls }] of this.reported.workspaces) {
        assert.equal(rest.workspaces.get(key)?.heldCalls, (DOMAIN_NODES - 1) * heldCalls);
    }
});

When("the settings of the platform name the contracts {}", function(this: ShareScenario, contracts: string) {
    const values: Readonly<Record<string, string>> = {
        "Contracts|json": contracts,
        "Listen.Front|json": '"127.0.0.1:1"',
        "Region|json": '"region"',
        "Zones|json": '{"name":"region"}',
    };
    const template = readFileSync("platform/settings.yaml", "utf8");
    const text = template
        .replace("{{Ip}}:{{InternalPorts.0}}", "127.0.0.1:2")
        .replace("{{Ip}}:9464", "127.0.0.1:3")
        .replace("{{Listen.Ready|json}}", '"127.0.0.1:4"')
        .replace("{{Platform.Address|json}}", '"127.0.0.1:5"')
        .replace("{{Bootstrap|json}}", "false")
        .replace(/\{\{(NodeName|Zone)\|json\}\}/g, '"name"')
        .replace(/\{\{((?:Limits|Bounds)\.\w+)\|json\}\}/g, (unused, name: string) => name.includes("Share") ? "0.5" : "200")
        .replace(/\{\{(.+?)\}\}/g, (unused, name: string) => values[name] ?? assert.fail(`unknown name ${name}`));
    this.isOn = parsePlatformSettings(text.replace("fraction: 200", "fraction: 0.2"), "settings.yaml").workspaceShares;
});

Then(/^shares of workspaces are (on|off)$/, function(this: ShareScenario, state: string) {
    assert.equal(this.isOn, state === "on");
});
