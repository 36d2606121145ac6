/**
 * Steps about servers that bear few calls while they are cold, statement by statement and on a model of the fleet.
 *
 * @module
 */

import { After, type DataTable, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { PlatformHeaders } from "../../platform/mod.js";
import { sumDemands } from "../../src/coordination/allotment/mod.js";
import { ColdRules, ColdServers, FleetShare, incarnationKey } from "../../src/coordination/relay/mod.js";
import type { AnswerHead } from "../../src/protocol/relay/mod.js";
import { type RelayServer, type RelayService, SeededRandom } from "../../src/state/relay/mod.js";
import type { ModelServer } from "../../standin/engine_behavior_model.js";
import { FLEET_SERVICE, type ModelTraffic, RelayFleetModel } from "../../standin/relay_fleet_model.js";
import { VirtualClock } from "../../standin/virtual_clock.js";
import type { Scenario } from "../support/world.js";

/** Header in which a server states how long it stays cold. */
const WARM_UP_HEADER = "Cold-Ms";

/** Seeds with which each case is played. */
const SEEDS = [1, 2];

/** Time for which a server is cold after a start, in milliseconds, and calls per second that it sustains then. */
const COLD_MS = 3_000;
const COLD_CALLS_PER_SECOND = 18;

/** Time between two replacements of servers, and time for which a replaced one is down, in milliseconds. */
const ROUND_MS = 4_500;
const DOWN_MS = 1_200;

/** Time from the return of a server until its entry tells, and time until all nodes know of an answer, in milliseconds. */
const ENTRY_DELAY_MS = 1_500;
const TOLD_MS = 500;

/** Calls that take a seventh of a second each, at servers that are all alike. */
const TRAFFIC: ModelTraffic = {
    callsPerSecond: 200,
    mostEvents: 6,
    promptTokens: 600,
    deadlineMs: 3_000,
    intervalsMs: Array.from({ length: 14 }, () => 14),
    slots: 12,
};

const BURST_FACTOR = 3.5;

const SERVICE: RelayService = {
    name: FLEET_SERVICE,
    maxConnections: 256,
    engine: undefined,
    coldStart: { durationMs: COLD_MS, callsPerSecond: COLD_CALLS_PER_SECOND },
};

/** Time in which a server is cold and nodes can know of it. */
interface ColdSpan {
    readonly server: ModelServer;
    readonly fromMs: number;
    readonly untilMs: number;
}

/** State of a scenario of this file. */
interface ColdScenario extends Scenario {
    head: AnswerHead;
    clock: VirtualClock;
    cold: ColdServers;
    server: RelayServer;
    coldFleets: RelayFleetModel[];
    coldPlays: { readonly seed: number; readonly spans: readonly ColdSpan[] }[];
}

When("an answer with the warm-up header {string} is read", function(this: ColdScenario, value: string) {
    this.head = readHead(200, value);
});

Then(/^the warm-up of the answer is (.*)$/, function(this: ColdScenario, time: string) {
    assert.equal(this.head.warmUp?.warmUpMs, time === "unreadable" ? undefined : Number(time));
});

Given(/^a node and a service whose (servers are cold|cold servers) .*$/, function(this: ColdScenario, rule: string) {
    this.clock = new VirtualClock();
    const rules = new ColdRules({ overage: 1.5, slack: 5 });
    rules.apply(rule === "cold servers" ? [] : [SERVICE]);
    this.cold = new ColdServers({
        node: "node",
        clock: this.clock,
        random: new SeededRandom(1),
        reportIntervalMs: () => 100,
        nodeCount: () => 1,
        unreachableShare: () => 0,
        demands: () => ({ own: sumDemands([]), peers: sumDemands([]) }),
        rule: service => rules.find(service),
        serverCount: () => 40,
        onChange: () => undefined,
    });
    this.server = {
        id: "server",
        service: FLEET_SERVICE,
        address: "127.0.0.1:1",
        failureDomain: "domain-0",
        version: "v1",
        slots: 12,
        isDraining: false,
        startedAtMs: this.clock.now(),
        sequence: 1,
        warmUpMs: 0,
    };
});

When(/^at these times in milliseconds (.*) happens$/, async function(this: ColdScenario, events: string) {
    const startMs = this.server.startedAtMs;
    for (const text of events.split(", ")) {
        const [, atMs, event = ""] = /^(\d+) (.*)$/.exec(text) ?? [];
        await this.clock.advance(startMs + Number(atMs) - this.clock.now());
        applyEvent(this, event);
        this.cold.mayReceive(this.server);
    }
});

Then(/^the server is (cold|warm) at (\d+) ms$/, async function(this: ColdScenario, state: string, atMs: string) {
    await this.clock.advance(this.server.startedAtMs + Number(atMs) - this.clock.now());
    assert.equal(this.cold.isCold(this.server), state === "cold");
    assert.equal(this.cold.allowance(this.server) !== undefined, state === "cold");
});

Then("the node reports no cold server and no calls to one", function(this: ColdScenario) {
    assert.deepEqual([...this.cold.statements.reported(), ...this.cold.ownTotals()], []);
});

Then(/^a node that hears <heard> of <listed> nodes counts <share> of them as unreachable$/, (table: DataTable) => {
    for (const { heard, listed, share } of table.hashes()) {
        const fleetShare = new FleetShare({
            peers: { reachablePeers: Number(heard) - 1, unreachableShare: () => 0 },
            listedNodes: () => listed === "unknown" ? undefined : Number(listed),
        });
        assert.equal(fleetShare.unreachable.toFixed(3), Number(share).toFixed(3));
    }
});

function applyEvent(scenario: ColdScenario, event: string): void {
    const { cold, clock } = scenario;
    const value = / of (\S+)$/.exec(event)?.[1];
    const statedAtMs = clock.now() - (event.startsWith("late") ? 1_000 : 0);
    if (event.startsWith("entry")) {
        scenario.server = { ...scenario.server, warmUpMs: value === "none" ? undefined : Number(value) };
        cold.statements.recordEntry(scenario.server);
    }
    else if (event === "reset" || event === "no connection") {
        cold.statements.recordBroken(scenario.server, event === "no connection");
    }
    else if (event.includes("report")) {
        const isSuspected = /reset|refutation/.test(event);
        const coldMs = event.endsWith("reset") ? 60_000 : event.endsWith("refutation") ? 0 : Number(value);
        const coldUntilMs = coldMs === 0 ? 0 : clock.now() + coldMs;
        const serverKey = incarnationKey(scenario.server);
        cold.statements.merge([{ serverKey, coldUntilMs, isSuspected, hasEnded: false, statedAtMs, nodeKey: 1 }]);
    }
    else {
        const isRefusal = event.startsWith("refusal");
        const status = isRefusal ? 503 : event.startsWith("misdirected") ? 421 : event.endsWith("error") ? 500 : 200;
        const headers = isRefusal ? ["Not-Executed", "1"] : event.startsWith("unsealed") ? [] : ["Response-Seal", "seal"];
        cold.statements.recordAnswer(scenario.server, readHead(status, value, headers), statedAtMs);
    }
}

function readHead(status: number, warmUp: string | undefined, headers: readonly string[] = []): AnswerHead {
    return new PlatformHeaders().readAnswer(status, [...headers, ...warmUp === undefined ? [] : [WARM_UP_HEADER, warmUp]]);
}

After(function(this: ColdScenario) {
    for (const fleet of this.coldFleets ?? []) {
        fleet.stop();
    }
});

Given("61 relay nodes before servers that sustain 18 calls a second while they are cold", async function(this: ColdScenario) {
    this.coldPlays = [];
    this.coldFleets = SEEDS.map(seed => new RelayFleetModel(TRAFFIC, 61, seed));
    for (const fleet of this.coldFleets) {
        fleet.coldRules.apply([SERVICE]);
        fleet.addVersion("v1");
        await fleet.run(4_000);
        fleet.trafficFactor = BURST_FACTOR;
        await fleet.run(1_000);
    }
});

When(/^six ((?:servers )?(?:are|turn|end) .*)$/, { timeout: 600_000 }, async function(this: ColdScenario, trouble: string) {
    for (const [index, fleet] of this.coldFleets.entries()) {
        this.coldPlays.push({ seed: SEEDS[index] ?? 0, spans: await play(fleet, trouble) });
        fleet.stop();
    }
});

Then("no cold server gets more than {int} calls in any one second", function(this: ColdScenario, most: number) {
    for (const { seed, spans } of this.coldPlays) {
        const largest = Math.max(...spans.map(span => largestSecond(arrivalsIn(span))));
        assert(largest <= most, `seed ${seed}: ${largest} calls in a second`);
    }
});

Then("cold servers get at least {float} of the calls that they sustain", function(this: ColdScenario, least: number) {
    for (const { seed, spans } of this.coldPlays) {
        const calls = spans.reduce((sum, span) => sum + arrivalsIn(span).length, 0);
        const sustained = spans.reduce((sum, { fromMs, untilMs }) => sum + COLD_CALLS_PER_SECOND * (untilMs - fromMs) / 1_000, 0);
        assert(calls >= least * sustained, `seed ${seed}: ${calls} calls, sustained ${sustained}`);
    }
});

/** @returns Times in which servers were cold. */
async function play(fleet: RelayFleetModel, trouble: string): Promise<readonly ColdSpan[]> {
    const spans: ColdSpan[] = [];
    const servers = fleet.serversOf("v1");
    const downMs = Number(/for (\d+) ms/.exec(trouble)?.[1] ?? DOWN_MS);
    if (trouble.endsWith("cut off")) {
        const cutNodes = trouble.includes("third") ? 20 : 1;
        for (let node = 0; node < cutNodes; node += 1) {
            fleet.setIsolated(3 * node, true);
        }
    }
    fleet.reportLoss = trouble.endsWith("lost") ? 1 / 3 : 0;
    for (let round = 0; round < 2; round += 1) {
        if (trouble.includes("pause")) {
            fleet.trafficFactor = 1e-6;
            await fleet.run(ROUND_MS);
        }
        for (const server of [0, 1, 2, 3, 4, 5].map(index => servers[(6 * round + index) % servers.length] as ModelServer)) {
            if (trouble.startsWith("turn")) {
                spans.push(turnCold(fleet, server, trouble));
                continue;
            }
            fleet.crash(server, downMs, COLD_MS, trouble.startsWith("end") ? ENTRY_DELAY_MS : 0);
            const fromMs = fleet.clock.now() + downMs;
            spans.push({ server, fromMs, untilMs: fromMs + COLD_MS });
        }
        await fleet.run(DOWN_MS + TOLD_MS);
        fleet.trafficFactor = BURST_FACTOR;
        if (trouble.includes("restart")) {
            fleet.restartNodes(0, 61);
        }
        await fleet.run(ROUND_MS - DOWN_MS - TOLD_MS);
    }
    return spans;
}

/** Makes a server cold without a new start, as its entry or its answers tell. */
function turnCold(fleet: RelayFleetModel, server: ModelServer, trouble: string): ColdSpan {
    const fromMs = fleet.clock.now();
    const hasAnswers = trouble.includes("answers");
    const untilMs = fromMs + COLD_MS;
    server.coldTimes.push({ fromMs, untilMs });
    server.hasColdAnswers = hasAnswers;
    server.hasColdEntry = !hasAnswers;
    fleet.putEntry(server);
    return { server, fromMs: hasAnswers ? fromMs + TOLD_MS : fromMs, untilMs };
}

function arrivalsIn({ server, fromMs, untilMs }: ColdSpan): readonly number[] {
    return server.arrivals.map(({ atMs }) => atMs).filter(atMs => atMs >= fromMs && atMs < untilMs);
}

/** @returns Most arrivals in any one second. */
function largestSecond(arrivals: readonly number[]): number {
    const counts = arrivals.map(fromMs => arrivals.filter(atMs => atMs >= fromMs && atMs < fromMs + 1_000).length);
    return Math.max(0, ...counts);
}
