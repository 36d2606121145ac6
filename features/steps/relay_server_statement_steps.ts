/**
 * Steps about what servers state about themselves, on a model of the fleet.
 *
 * @module
 */

import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { PlatformHeaders } from "../../platform/mod.js";
import { sumDemands } from "../../src/coordination/allotment/mod.js";
import { BrittleServers, ServerLimits, ServerStatements } from "../../src/coordination/relay/mod.js";
import { type AnswerHead, hashKey } from "../../src/protocol/relay/mod.js";
import { type RelayServer, SeededRandom } from "../../src/state/relay/mod.js";
import type { ModelServer } from "../../standin/engine_behavior_model.js";
import { type ModelTraffic, RelayFleetModel } from "../../standin/relay_fleet_model.js";
import { ServerLinkState } from "../../standin/server_link_model.js";
import { VirtualClock } from "../../standin/virtual_clock.js";
import type { Scenario } from "../support/world.js";

/** Header in which a server asks for rest. */
const REST_HEADER = "Retry-After";

/** Header in which a server says that it leaves. */
const LEAVING_HEADER = "Server-Leaving";

/** Time for which a server that leaves answers nothing, in milliseconds. */
const SILENCE_MS = 540_000;

/** Server whose statements are read one by one. */
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

/** Seeds with which each case is played. */
const SEEDS = [1, 2];

/** Times before the servers' statements, of the statements, and after them, in milliseconds. */
const WARM_UP_MS = 4_000;
const STATED_MS = 12_000;
const AFTER_MS = 6_000;

/** Time of a further trouble after the beginning of the statements, and how long it lasts, in milliseconds. */
const TROUBLE_AT_MS = 4_000;
const TROUBLE_MS = 2_000;

/** Time after which a rest must be kept, time after which a server that leaves gets no calls, and calls within a rest that are allowed. */
const KEPT_FROM_MS = 500;
const LEFT_AFTER_MS = 2_000;
const ALLOWED_CALLS = 2;

/** Time for which servers say that they are brittle, and time from which refusals make them fall over, in milliseconds. */
const BRITTLE_MS = 15_000;
const BRITTLE_FROM_MS = 3_000;

/** Time until an answer is received and reported to all nodes, in milliseconds. */
const REPORTED_MS = 1_000;

const TRAFFIC: ModelTraffic = {
    callsPerSecond: 90,
    mostEvents: 40,
    promptTokens: 1_800,
    deadlineMs: 12_000,
    intervalsMs: [14, 14, 14, 14, 14, 14, 25, 25, 25, 36, 36, 70, 100],
    slots: 11,
};

/** Play of a case with one seed. */
interface StatementPlay {
    readonly seed: number;
    readonly fleet: RelayFleetModel;
    readonly servers: readonly ModelServer[];
    readonly fromMs: number;
    untilMs: number;
    /** Servers that some node takes for brittle although they have answered a call since they stopped being so. */
    readonly brittleAfterwards?: number;
}

/** State of a scenario of this file. */
interface StatementScenario extends Scenario {
    head: AnswerHead;
    nodeCount: number;
    callsPerSecond: number;
    restMs: number;
    plays: StatementPlay[];
    clock: VirtualClock;
    statements: ServerStatements;
    server: RelayServer;
}

When("an answer with the rest header {string} is read", function(this: StatementScenario, value: string) {
    this.head = new PlatformHeaders().readAnswer(503, [REST_HEADER, value]);
});

When("an answer with two rest headers is read", function(this: StatementScenario) {
    this.head = new PlatformHeaders().readAnswer(503, [REST_HEADER, "2", REST_HEADER, "3"]);
});

Then(/^the rest of the answer is (.*)$/, function(this: StatementScenario, rest: string) {
    assert(this.head.rest !== undefined);
    assert.equal(this.head.rest.restMs, rest === "unreadable" ? undefined : parseInt(rest, 10));
});

Given("a node that knows of no statement", function(this: StatementScenario) {
    this.clock = new VirtualClock();
    this.server = SERVER;
    const settings = {
        clock: this.clock,
        random: new SeededRandom(1),
        reportIntervalMs: () => REPORTED_MS,
        nodeCount: () => 1,
        unreachableShare: () => 0,
        demands: () => ({ own: sumDemands([]), peers: sumDemands([]) }),
        onChange: () => undefined,
    };
    const limits = new ServerLimits(settings);
    this.statements = new ServerStatements({ ...settings, limits, brittle: new BrittleServers(settings) });
});

When(
    /^a server (says that it is|is reported to be) leaving(.*)$/,
    async function(this: StatementScenario, way: string, then: string) {
        const now = this.clock.now();
        if (way === "is reported to be") {
            this.statements.mergeLeaving([{ serverKey: hashKey(`${SERVER.id}@${SERVER.startedAtMs}`), statedAtMs: now }]);
        }
        else {
            const head = new PlatformHeaders().readAnswer(200, ["Response-Seal", "seal", LEAVING_HEADER, "1"]);
            this.statements.recordAnswer(SERVER, head, now);
        }
        if (then.includes("9 minutes")) {
            await this.clock.advance(SILENCE_MS);
            // Reports are made all the time, and forget what is outdated.
            this.statements.reportedLeaving();
        }
        else if (then.includes("starts again")) {
            this.server = { ...SERVER, startedAtMs: now };
        }
    },
);

Then(/^the node takes the server for (leaving|not leaving)$/, function(this: StatementScenario, state: string) {
    assert.equal(this.statements.isLeaving(this.server), state === "leaving");
});

After(function(this: StatementScenario) {
    for (const { fleet } of this.plays ?? []) {
        fleet.stop();
    }
});

Given(
    "{int} relay nodes before 13 servers that get {int} streams a second",
    function(this: StatementScenario, nodes: number, callsPerSecond: number) {
        this.nodeCount = nodes;
        this.callsPerSecond = callsPerSecond;
        this.plays = [];
    },
);

When(
    /^(\d+) servers turn all calls away for 12 s and ask for (\d+) s of rest, and (.*)$/,
    { timeout: 300_000 },
    async function(this: StatementScenario, count: string, seconds: string, trouble: string) {
        this.restMs = Number(seconds) * 1_000;
        await play(this, Number(count), trouble, (server, isOn) => {
            server.restMs = isOn ? this.restMs : undefined;
        });
    },
);

When(
    /^(\d+) servers say for 12 s that they are leaving while their entries do not, and (.*)$/,
    { timeout: 300_000 },
    async function(this: StatementScenario, count: string, trouble: string) {
        await play(this, Number(count), trouble, (server, isOn) => {
            // A server that has left accepts no calls, so it goes on saying so.
            server.isLeaving ||= isOn;
        });
    },
);

When(
    /^13 servers say for 15 s that they fall over after (\d+) refusals in a second, and do so from 3 s on$/,
    { timeout: 300_000 },
    async function(this: StatementScenario, refusals: string) {
        for (const seed of SEEDS) {
            const fleet = new RelayFleetModel({ ...TRAFFIC, callsPerSecond: this.callsPerSecond }, this.nodeCount, seed);
            const brittle = new Map<string, Set<number>>();
            fleet.onChange = (node, text, { key }) => {
                const keys = brittle.get(node) ?? new Set();
                brittle.set(node, keys);
                if (text === "server: brittle") {
                    keys.add(Number(key));
                }
                else if (text === "server: no longer brittle") {
                    keys.delete(Number(key));
                }
            };
            fleet.addVersion("v1");
            await fleet.run(WARM_UP_MS);
            const servers = fleet.serversOf("v1");
            const fromMs = fleet.clock.now();
            for (const server of servers) {
                server.brittleRefusals = Number(refusals);
                server.brittleFromMs = fromMs + BRITTLE_FROM_MS;
            }
            await fleet.run(BRITTLE_MS);
            const untilMs = fleet.clock.now();
            for (const server of servers) {
                server.brittleRefusals = undefined;
            }
            await fleet.run(BRITTLE_FROM_MS);
            const answeredBeforeMs = fleet.clock.now() - REPORTED_MS;
            const answered = servers.filter(({ arrivals }) => {
                return arrivals.some(({ atMs }) => atMs > untilMs && atMs < answeredBeforeMs);
            });
            const keys = answered.map(({ registration }) => hashKey(`${registration.id}@${registration.startedAtMs}`));
            const brittleAfterwards = keys.filter(key => [...brittle.values()].some(known => known.has(key))).length;
            fleet.stop();
            this.plays.push({ seed, fleet, servers, fromMs, untilMs, brittleAfterwards });
        }
    },
);

Then("they fall over at most {int} times", function(this: StatementScenario, most: number) {
    for (const { seed, servers } of this.plays) {
        const falls = servers.reduce((sum, server) => sum + server.falls, 0);
        assert(falls <= most, `seed ${seed}: ${falls} falls`);
    }
});

Then("at least {int} calls in 100 are answered in this time", function(this: StatementScenario, least: number) {
    for (const { seed, fleet, fromMs, untilMs } of this.plays) {
        const calls = fleet.outcomes.filter(({ call }) => call.arrivedAtMs >= fromMs && call.arrivedAtMs < untilMs - AFTER_MS);
        const answered = calls.filter(({ status, isComplete }) => status === 200 && isComplete).length;
        assert(answered >= calls.length * least / 100, `seed ${seed}: ${answered} of ${calls.length}`);
    }
});

Then(
    "no node takes a server for brittle 3 s after that if the server has answered a call by then",
    function(this: StatementScenario) {
        for (const { seed, brittleAfterwards } of this.plays) {
            assert.equal(brittleAfterwards, 0, `seed ${seed}`);
        }
    },
);

async function play(
    scenario: StatementScenario,
    count: number,
    trouble: string,
    change: (server: ModelServer, isOn: boolean) => void,
): Promise<void> {
    for (const seed of SEEDS) {
        const fleet = new RelayFleetModel({ ...TRAFFIC, callsPerSecond: scenario.callsPerSecond }, scenario.nodeCount, seed);
        fleet.addVersion("v1");
        await fleet.run(WARM_UP_MS);
        const servers = fleet.serversOf("v1").slice(0, count);
        const current = { seed, fleet, servers, fromMs: fleet.clock.now(), untilMs: 0 };
        scenario.plays.push(current);
        for (const server of servers) {
            change(server, true);
        }
        await fleet.run(TROUBLE_AT_MS);
        cause(fleet, servers, trouble);
        await fleet.run(STATED_MS - TROUBLE_AT_MS);
        for (const server of servers) {
            change(server, false);
        }
        current.untilMs = fleet.clock.now();
        await fleet.run(AFTER_MS);
        fleet.stop();
    }
}

function cause(fleet: RelayFleetModel, servers: readonly ModelServer[], trouble: string): void {
    switch (trouble) {
        case "nothing else happens":
            return;
        case "the servers' entries are missing for a while":
            for (const server of servers) {
                fleet.loseEntry(server, TROUBLE_MS);
            }
            return;
        case "a node reaches no server and hands its calls on":
            fleet.setServerLinks(0, ServerLinkState.Reset);
            return;
        case "four nodes restart 4 s later":
            fleet.restartNodes(0, 4);
            return;
        default:
            assert.fail(`unknown trouble: ${trouble}`);
    }
}

Then(
    "no server gets more than two calls from a node between half a second after it asked for rest and the end of the rest",
    function(this: StatementScenario) {
        for (const { seed, fleet, servers } of this.plays) {
            assert(servers.some(({ rests }) => rests.length > 0), `seed ${seed}: no server asked for rest`);
            for (const { rests, arrivals, registration } of servers) {
                for (const { node, atMs } of rests) {
                    const within = arrivals.filter(arrival => {
                        return arrival.node === node && arrival.atMs > atMs + KEPT_FROM_MS && arrival.atMs < atMs + this.restMs;
                    });
                    const text = `seed ${seed}: ${within.length} calls from ${node} at ${registration.id} within a rest`;
                    assert(within.length <= ALLOWED_CALLS, `${text}, ${fleet.outcomes.length} calls in all`);
                }
            }
        }
    },
);

Then(
    "from 1 s on, 9 in 10 calls are refused, within 100 ms unless a rest ends within their wait of {int} ms",
    function(this: StatementScenario, waitMs: number) {
        for (const { seed, fleet, servers, fromMs, untilMs } of this.plays) {
            const calls = fleet.outcomes.filter(({ call }) => call.arrivedAtMs >= fromMs + 1_000 && call.arrivedAtMs < untilMs);
            const refused = calls.filter(({ call, node, status, endedAtMs }) => {
                const { arrivedAtMs } = call;
                const endsInWait = firstRestEndMs(servers, `node-${node}`, arrivedAtMs, this.restMs) < arrivedAtMs + waitMs;
                const limitMs = arrivedAtMs + (endsInWait ? waitMs : 0) + 100;
                return status === 503 && endedAtMs <= limitMs;
            });
            assert(refused.length >= 0.9 * calls.length, `seed ${seed}: ${refused.length} of ${calls.length}`);
        }
    },
);

Then(
    "9 in 10 of these are told a time to return that is not before the first rest ends",
    function(this: StatementScenario) {
        for (const { seed, fleet, servers, fromMs, untilMs } of this.plays) {
            const refused = fleet.outcomes.filter(({ call, status }) => {
                return status === 503 && call.arrivedAtMs >= fromMs + 1_000 && call.arrivedAtMs < untilMs;
            });
            const told = refused.filter(({ node, retryAfterMs, endedAtMs }) => {
                return endedAtMs + (retryAfterMs ?? 0) >= firstRestEndMs(servers, `node-${node}`, endedAtMs, this.restMs);
            });
            assert(told.length >= 0.9 * refused.length, `seed ${seed}: ${told.length} of ${refused.length}`);
        }
    },
);

/** Returns the end of the first rest that a node knows of, in milliseconds since the Unix epoch. */
function firstRestEndMs(servers: readonly ModelServer[], node: string, atMs: number, restMs: number): number {
    return Math.min(...servers.map(({ rests }) => {
        const latest = rests.filter(rest => rest.node === node && rest.atMs <= atMs).at(-1);
        return latest === undefined ? -Infinity : latest.atMs + restMs;
    }));
}

Then("each of them gets calls in the second that begins 4 s after it accepts calls again", function(this: StatementScenario) {
    for (const { seed, servers, untilMs } of this.plays) {
        const fromMs = untilMs + 4_000;
        for (const { arrivals, registration } of servers) {
            const calls = arrivals.filter(({ atMs }) => atMs >= fromMs && atMs < fromMs + 1_000).length;
            assert(calls > 0, `seed ${seed}: no call at ${registration.id}`);
        }
    }
});

Then("none of these servers gets a call later than 2 s after its first such answer", function(this: StatementScenario) {
    for (const { seed, servers } of this.plays) {
        for (const { arrivals, leavingAnswers, registration } of servers) {
            const [first] = leavingAnswers;
            assert(first !== undefined, `seed ${seed}: ${registration.id} has not said that it is leaving`);
            const late = arrivals.filter(({ atMs }) => atMs > first.atMs + LEFT_AFTER_MS).length;
            assert.equal(late, 0, `seed ${seed}: ${late} calls at ${registration.id}`);
        }
    }
});
