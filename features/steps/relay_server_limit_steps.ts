/**
 * Steps about limits that servers state for the calls of all nodes, decision by decision and on a model of the fleet.
 *
 * @module
 */

import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { PlatformHeaders } from "../../platform/mod.js";
import { sumDemands } from "../../src/coordination/allotment/mod.js";
import { ServerLimits } from "../../src/coordination/relay/mod.js";
import { type AnswerHead, hashKey } from "../../src/protocol/relay/mod.js";
import { type RelayServer, SeededRandom } from "../../src/state/relay/mod.js";
import type { ModelServer } from "../../standin/engine_behavior_model.js";
import { type ModelTraffic, RelayFleetModel } from "../../standin/relay_fleet_model.js";
import { VirtualClock } from "../../standin/virtual_clock.js";
import type { Scenario } from "../support/world.js";

/** Time between two answers, and a time longer than a limit is remembered without a call, in milliseconds. */
const STEP_MS = 100;
const FORGOTTEN_MS = 660_000;

/** Header in which a server states its limit. */
const LIMIT_HEADER = "Server-Limit";

/** Seeds with which each case is played. */
const SEEDS = [1, 2, 3];

/** Time before servers state limits, time until the limits change, and time for which they hold, in milliseconds. */
const WARM_UP_MS = 4_000;
const CHANGE_MS = 8_000;
const PLAYED_MS = 28_000;

/** Time from which a stated limit must be kept, window in which calls are counted, and time until a node must know, in milliseconds. */
const KEPT_FROM_MS = 3_000;
const WINDOW_MS = 4_000;
const TOLD_MS = 500;

/** Time until a node is cut off, time for which it is, and time from which it must keep to its share, in milliseconds. */
const CUT_AFTER_MS = 6_000;
const CUT_MS = 6_000;
const CUT_KNOWN_MS = 3_000;

/** Calls in a window that are allowed, as a multiple of what the limit allows, and in addition. */
const ALLOWED_FACTOR = 1.5;
const ALLOWED_CALLS = 5;

/** Servers, of which those with the shortest times between events come first. */
const TRAFFIC: ModelTraffic = {
    callsPerSecond: 50,
    mostEvents: 60,
    promptTokens: 1_800,
    deadlineMs: 12_000,
    intervalsMs: [14, 14, 14, 14, 14, 14, 25, 25, 25, 36, 36, 70, 100],
    slots: 11,
};

/** Limit that servers state from a time on; `undefined` if they state none. */
interface LimitPeriod {
    readonly fromMs: number;
    readonly callsPerSecond: number | undefined;
}

/** Play of a case with one seed. */
interface LimitPlay {
    readonly seed: number;
    readonly fleet: RelayFleetModel;
    readonly limited: readonly ModelServer[];
    readonly periods: LimitPeriod[];
    /** Time during which no calls came, in milliseconds. */
    pausedMs: number;
}

/** State of a scenario of this file. */
interface LimitScenario extends Scenario {
    nodeCount: number;
    callsPerSecond: number;
    plays: LimitPlay[];
    clock: VirtualClock;
    limits: ServerLimits;
    head: AnswerHead;
}

/** Server whose limit is tested. */
const SERVER: RelayServer = {
    id: "server",
    service: "service",
    address: "127.0.0.1:1",
    failureDomain: "domain-0",
    version: "v1",
    slots: 10,
    isDraining: false,
    startedAtMs: 1,
    sequence: 1,
    warmUpMs: 0,
};

When("an answer with the limit header {string} is read", function(this: LimitScenario, value: string) {
    this.head = readHead([LIMIT_HEADER, value]);
});

When("an answer with two limit headers is read", function(this: LimitScenario) {
    this.head = readHead([LIMIT_HEADER, "2", LIMIT_HEADER, "3"]);
});

Then(/^the limit of the answer is (.*)$/, function(this: LimitScenario, limit: string) {
    assert(this.head.callLimit !== undefined);
    assert.equal(this.head.callLimit.callsPerSecond, limit === "unreadable" ? undefined : Number(limit));
});

Then("the header is among those for the caller", function(this: LimitScenario) {
    assert(this.head.endToEnd.includes(LIMIT_HEADER));
});

Given("a node that knows of no limit", function(this: LimitScenario) {
    this.clock = new VirtualClock();
    this.limits = new ServerLimits({
        clock: this.clock,
        random: new SeededRandom(1),
        reportIntervalMs: () => STEP_MS,
        nodeCount: () => 1,
        unreachableShare: () => 0,
        demands: () => ({ own: sumDemands([]), peers: sumDemands([]) }),
        onChange: () => undefined,
    });
});

When(/^the node (got .*)$/, async function(this: LimitScenario, history: string) {
    const [first, second] = history.split(" and then ");
    await this.clock.advance(STEP_MS);
    const earlierMs = this.clock.now() - STEP_MS;
    record(this, first ?? "", this.clock.now());
    await this.clock.advance(STEP_MS);
    if (second === "none for 11 minutes") {
        await this.clock.advance(FORGOTTEN_MS);
    }
    else if (second !== undefined) {
        record(this, second, second.includes("earlier") ? earlierMs : this.clock.now());
    }
});

Then(/^it applies (\d+ a second|no limit)$/, function(this: LimitScenario, limit: string) {
    assert.equal(this.limits.callsPerSecond(SERVER), limit === "no limit" ? undefined : parseInt(limit, 10));
});

function record(scenario: LimitScenario, description: string, atMs: number): void {
    if (description.includes("end") || description.includes("report")) {
        const callsPerSecond = Number(/\d+/.exec(description)?.[0] ?? 0);
        const key = hashKey(`${SERVER.id}@${SERVER.startedAtMs}`);
        scenario.limits.merge([{ serverKey: key, callsPerSecond, isEnded: description.includes("end"), statedAtMs: atMs }]);
        return;
    }
    recordAnswer(scenario, description, atMs);
}

function recordAnswer({ limits }: LimitScenario, description: string, sentAtMs: number): void {
    const isRefusal = description.includes("refusal") || description.includes("another server");
    const status = description.includes("another server") ? 421 : isRefusal ? 503 : description.includes("error") ? 500 : 200;
    const limit = /with (?:the limit )?(\d+)/.exec(description)?.[1] ?? (description.includes("unreadable") ? "x" : undefined);
    const headers = [
        ...isRefusal ? ["Not-Executed", "1"] : description.includes("unsealed") ? [] : ["Response-Seal", "seal"],
        ...limit === undefined ? [] : [LIMIT_HEADER, limit],
    ];
    const server = description.includes("previous incarnation") ? { ...SERVER, startedAtMs: 0 } : SERVER;
    limits.recordAnswer(server, readHead(headers, status), sentAtMs);
}

function readHead(headers: readonly string[], status = 200): AnswerHead {
    return new PlatformHeaders().readAnswer(status, headers);
}

After(function(this: LimitScenario) {
    for (const { fleet } of this.plays ?? []) {
        fleet.stop();
    }
});

Given("{int} relay nodes that get {int} calls a second", function(this: LimitScenario, nodes: number, callsPerSecond: number) {
    this.nodeCount = nodes;
    this.callsPerSecond = callsPerSecond;
    this.plays = [];
});

When(
    /^(\d+) of 13 servers state a limit of ([\d.]+) calls a second and (.*)$/,
    { timeout: 300_000 },
    async function(this: LimitScenario, limited: string, limit: string, trouble: string) {
        for (const seed of SEEDS) {
            const fleet = new RelayFleetModel({ ...TRAFFIC, callsPerSecond: this.callsPerSecond }, this.nodeCount, seed);
            fleet.addVersion("v1");
            const play = { seed, fleet, limited: fleet.serversOf("v1").slice(0, Number(limited)), periods: [], pausedMs: 0 };
            this.plays.push(play);
            await fleet.run(WARM_UP_MS);
            state(play, Number(limit));
            await playTrouble(play, trouble, this.nodeCount);
            fleet.stop();
        }
    },
);

Then(
    "from 3 s after the statement, none of these servers gets more than one and a half times its limit and 5 calls in any 4 s",
    function(this: LimitScenario) {
        for (const { seed, limited, periods } of this.plays) {
            const statedMs = periods[0]?.fromMs ?? 0;
            for (const { attempts } of limited) {
                for (const { atMs: endMs } of attempts.filter(({ atMs }) => atMs >= statedMs + KEPT_FROM_MS)) {
                    const startMs = Math.max(endMs - WINDOW_MS, statedMs + TOLD_MS);
                    const calls = attempts.filter(({ atMs }) => atMs > startMs && atMs <= endMs).length;
                    const most = ALLOWED_FACTOR * highestLimit(periods, endMs - WINDOW_MS - TOLD_MS, endMs) * WINDOW_MS / 1_000 +
                        ALLOWED_CALLS;
                    assert(calls <= most, `seed ${seed}: ${calls} calls in the 4 s to ${endMs - statedMs} ms, allowed ${most}`);
                }
            }
        }
    },
);

Then("these servers get at least 8 tenths of the calls that they accept", function(this: LimitScenario) {
    for (const { seed, fleet, limited, periods, pausedMs } of this.plays) {
        const fromMs = (periods[0]?.fromMs ?? 0) + KEPT_FROM_MS;
        const accepted = limited.length * countAccepted(periods, fromMs, fleet.clock.now() - pausedMs);
        const calls = limited.flatMap(({ attempts }) => attempts.filter(({ atMs }) => atMs >= fromMs)).length;
        assert(calls >= 0.8 * accepted, `seed ${seed}: ${calls} calls, accepted ${accepted}`);
    }
});

Then(
    "from 3 s after the cut began, the node sends at most twice its share of what these servers accept and a call to each",
    function(this: LimitScenario) {
        for (const { seed, limited, periods } of this.plays) {
            const cutMs = (periods[0]?.fromMs ?? 0) + CUT_AFTER_MS;
            const fromMs = cutMs + CUT_KNOWN_MS;
            const untilMs = cutMs + CUT_MS;
            const arrivals = limited.flatMap(server => server.arrivals);
            const calls = arrivals.filter(({ node, atMs }) => node === "node-0" && atMs >= fromMs && atMs < untilMs).length;
            const share = limited.length * countAccepted(periods, fromMs, untilMs) / this.nodeCount;
            assert(calls <= 2 * share + limited.length, `seed ${seed}: ${calls} calls, its share is ${share.toFixed(1)}`);
        }
    },
);

Then("these servers get more than twice as many calls from 3 s after the end", function(this: LimitScenario) {
    for (const { seed, fleet, limited, periods } of this.plays) {
        const [stated, ended] = periods;
        const fromMs = (ended?.fromMs ?? 0) + KEPT_FROM_MS;
        const accepted = limited.length * (stated?.callsPerSecond ?? 0) * (fleet.clock.now() - fromMs) / 1_000;
        const calls = limited.flatMap(({ attempts }) => attempts.filter(({ atMs }) => atMs >= fromMs)).length;
        assert(calls > 2 * accepted, `seed ${seed}: ${calls} calls, accepted before ${accepted}`);
    }
});

Then(
    "9 in 10 calls are answered, or refused within {int} ms with a time to return",
    function(this: LimitScenario, withinMs: number) {
        for (const { seed, fleet } of this.plays) {
            const handled = fleet.outcomes.filter(({ call, status, isComplete, retryAfterMs, endedAtMs }) => {
                const isRefused = status === 503 && retryAfterMs !== undefined && endedAtMs <= call.arrivedAtMs + withinMs;
                return status === 200 && isComplete || isRefused;
            });
            assert(
                handled.length >= 0.9 * fleet.outcomes.length,
                `seed ${seed}: ${handled.length} of ${fleet.outcomes.length} calls`,
            );
        }
    },
);

Then("at least half of the calls are answered", function(this: LimitScenario) {
    for (const { seed, fleet } of this.plays) {
        const answered = fleet.outcomes.filter(({ status, isComplete }) => status === 200 && isComplete);
        assert(
            answered.length >= fleet.outcomes.length / 2,
            `seed ${seed}: ${answered.length} of ${fleet.outcomes.length} calls`,
        );
    }
});

/** Makes the limited servers of a play state a limit from now on. */
function state({ fleet, limited, periods }: LimitPlay, callsPerSecond: number | undefined): void {
    periods.push({ fromMs: fleet.clock.now(), callsPerSecond });
    for (const server of limited) {
        server.callsPerSecond = callsPerSecond;
    }
}

async function playTrouble(play: LimitPlay, trouble: string, nodeCount: number): Promise<void> {
    const { fleet } = play;
    const changedLimit = /(?:falls|rises) to (\d+)/.exec(trouble)?.[1];
    const endMs = fleet.clock.now() + PLAYED_MS;
    if (changedLimit !== undefined || trouble.startsWith("it ends")) {
        await fleet.run(CHANGE_MS);
        state(play, changedLimit === undefined ? undefined : Number(changedLimit));
    }
    else if (trouble.startsWith("all calls come to one node")) {
        fleet.chooseNode = () => 0;
        await fleet.run(4_000);
        fleet.chooseNode = () => fleet.random.nextInt(nodeCount);
    }
    else if (trouble.startsWith("eight in ten")) {
        fleet.chooseNode = () => fleet.random.next() < 0.8 ? 0 : fleet.random.nextInt(nodeCount);
    }
    else if (trouble.startsWith("calls pause")) {
        await fleet.run(8_000);
        fleet.trafficFactor = 1e-6;
        play.pausedMs = 3_000;
        await fleet.run(play.pausedMs);
        fleet.trafficFactor = 3;
        await fleet.run(4_000);
        fleet.trafficFactor = 1;
    }
    else if (trouble.startsWith("servers fail")) {
        Object.assign(fleet.behaviors.get("v1") ?? {}, { failureShare: 0.25 });
    }
    else if (trouble === "all nodes restart at once") {
        await fleet.run(CHANGE_MS);
        fleet.restartNodes(0, nodeCount);
    }
    else if (trouble.startsWith("a third of the reports")) {
        fleet.reportLoss = 1 / 3;
    }
    else if (trouble.startsWith("all nodes restart")) {
        for (let node = 0; node < nodeCount; node += 1) {
            await fleet.run(PLAYED_MS / nodeCount);
            fleet.restartNodes(node, 1);
        }
    }
    else if (trouble.startsWith("a node is cut off")) {
        await fleet.run(CUT_AFTER_MS);
        fleet.setIsolated(0, true);
        await fleet.run(CUT_MS);
        fleet.setIsolated(0, false);
    }
    await fleet.run(Math.max(0, endMs - fleet.clock.now()));
}

/** @returns Highest limit that was stated in a span of time. */
function highestLimit(periods: readonly LimitPeriod[], fromMs: number, untilMs: number): number {
    let highest = 0;
    for (const [index, { fromMs: statedMs, callsPerSecond }] of periods.entries()) {
        const endMs = periods[index + 1]?.fromMs ?? Infinity;
        if (statedMs <= untilMs && endMs >= fromMs) {
            highest = Math.max(highest, callsPerSecond ?? Infinity);
        }
    }
    return highest;
}

/** @returns Calls that one server accepts in a span of time. */
function countAccepted(periods: readonly LimitPeriod[], fromMs: number, untilMs: number): number {
    let calls = 0;
    for (const [index, { fromMs: statedMs, callsPerSecond }] of periods.entries()) {
        const endMs = Math.min(untilMs, periods[index + 1]?.fromMs ?? Infinity);
        calls += (callsPerSecond ?? 0) * Math.max(0, endMs - Math.max(fromMs, statedMs)) / 1_000;
    }
    return calls;
}
