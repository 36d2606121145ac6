/**
 * Steps about calls whose content crashes servers, on a model of nodes, servers and callers.
 *
 * @module
 */

import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { CallQuarantine, type CallTrait, traitsOf } from "../../src/coordination/relay/mod.js";
import { type CallSuspect, hashKey } from "../../src/protocol/relay/mod.js";
import { type RelayServer, SeededRandom, Semantics } from "../../src/state/relay/mod.js";
import { type ModelOutcome, type ModelTraffic, RelayFleetModel } from "../../standin/relay_fleet_model.js";
import { VirtualClock } from "../../standin/virtual_clock.js";
import type { Scenario } from "../support/world.js";

/** Seeds with which each case is played. */
const SEEDS = [1, 2, 3];

/** Time before the first call that crashes servers, and time for which such calls come, in milliseconds. */
const WARM_UP_MS = 4_000;
const PLAYED_MS = 32_000;

/** Time for which a crashed server is down, in milliseconds. */
const CRASH_MS = 3_000;

/** Crashes after which the bounds hold, attempts that may reach servers then, and the times from which the bounds hold. */
const MAX_CRASHES = 3;
const MAX_LATE_ATTEMPTS = 3;
const ATTEMPTS_FROM_MS = 3_000;
const SERVICE_FROM_MS = 8_000;

/** Time after which the caller of a failed call sends it again, once, in milliseconds. */
const CALLER_RETRY_MS = 200;

/** Bodies of calls that crash servers. */
const CRASHING_BODIES = ["crashing-1", "crashing-2"];

/** Share of the sound calls that come again and again with one of a few bodies. */
const POPULAR_SHARE = 0.3;
const POPULAR_BODIES = 20;

/** Calls of the model. */
const TRAFFIC: ModelTraffic = {
    callsPerSecond: 33,
    mostEvents: 0,
    promptTokens: 0,
    deadlineMs: 4_000,
    intervalsMs: [20, 20, 20, 20],
    slots: 6,
};

/** State of a scenario of this file. */
interface CrashingCallScenario extends Scenario {
    fleets: RelayFleetModel[];
    nodeCount: number;
    semantics: Semantics;
    clock: VirtualClock;
    quarantine: CallQuarantine;
}

After(function(this: CrashingCallScenario) {
    for (const fleet of this.fleets ?? []) {
        fleet.stop();
    }
});

Given(
    /^(\d+) relay nodes before four servers of (repeatable|unsafe) calls$/,
    function(this: CrashingCallScenario, nodes: string, kind: string) {
        this.nodeCount = Number(nodes);
        this.semantics = kind === "repeatable" ? Semantics.Repeatable : Semantics.DispatchOnce;
        this.fleets = [];
    },
);

When(
    /^a call that crashes servers comes ([\d.]+) times a second and (.*)$/,
    { timeout: 300_000 },
    async function(this: CrashingCallScenario, rate: string, trouble: string) {
        for (const seed of SEEDS) {
            const fleet = startFleet(this, seed);
            await fleet.run(WARM_UP_MS);
            await playCrashingCalls(fleet, Number(rate), trouble, this.nodeCount);
            fleet.stop();
        }
    },
);

When(
    /^only sound calls come, some of them often, and (.*)$/,
    { timeout: 300_000 },
    async function(this: CrashingCallScenario, trouble: string) {
        for (const seed of SEEDS) {
            const fleet = startFleet(this, seed);
            await fleet.run(WARM_UP_MS);
            for (let second = 0; second < PLAYED_MS / 1_000; second += 1) {
                disturb(fleet, trouble, second);
                await fleet.run(1_000);
            }
            fleet.stop();
        }
    },
);

Then("at most 3 of its attempts reach servers later than 3 s after the third crash", function(this: CrashingCallScenario) {
    for (const [index, fleet] of this.fleets.entries()) {
        for (const body of CRASHING_BODIES) {
            const attempts = fleet.attemptsOf("v1").filter(({ call }) => call.body.toString() === body);
            const thirdAtMs = crashTimes(fleet, body)[MAX_CRASHES - 1] ?? Infinity;
            const late = attempts.filter(({ atMs }) => atMs > thirdAtMs + ATTEMPTS_FROM_MS);
            const crashes = crashTimes(fleet, body).length;
            assert(late.length <= MAX_LATE_ATTEMPTS, `seed ${SEEDS[index]}: ${late.length} attempts, ${crashes} crashes`);
        }
    }
});

Then("{int} in {int} other calls are served from 8 s after the third crash", function(
    this: CrashingCallScenario,
    least: number,
    of: number,
) {
    for (const [index, fleet] of this.fleets.entries()) {
        const times = CRASHING_BODIES.flatMap(body => crashTimes(fleet, body).slice(0, MAX_CRASHES));
        const fromMs = Math.max(...times) + SERVICE_FROM_MS;
        const sound = fleet.outcomes.filter(({ call }) => call.arrivedAtMs >= fromMs && !isCrashing(call.body.toString()));
        const served = sound.filter(({ status }) => status === 200);
        assert(sound.length > 0, `seed ${SEEDS[index]}: no sound calls`);
        assert(served.length >= least / of * sound.length, `seed ${SEEDS[index]}: ${served.length} of ${sound.length} served`);
    }
});

Then("no call is refused because of its content", function(this: CrashingCallScenario) {
    for (const [index, fleet] of this.fleets.entries()) {
        const refused = fleet.outcomes.filter(({ text }) => text.includes("must not be repeated"));
        assert.equal(refused.length, 0, `seed ${SEEDS[index]}`);
    }
});

function startFleet(scenario: CrashingCallScenario, seed: number): RelayFleetModel {
    const fleet = new RelayFleetModel(TRAFFIC, scenario.nodeCount, seed, false, scenario.semantics);
    const repeated = new Set<string>();
    fleet.bodyOf = () => {
        const isPopular = fleet.random.next() < POPULAR_SHARE;
        return isPopular ? `popular-${fleet.random.nextInt(POPULAR_BODIES)}` : `own-${fleet.random.nextInt(1e9)}`;
    };
    fleet.crashMs = call => isCrashing(call.body.toString()) ? CRASH_MS : 0;
    fleet.onOutcome = outcome => void repeatOnce(fleet, outcome, repeated);
    fleet.addVersion("v1");
    scenario.fleets.push(fleet);
    return fleet;
}

/** Sends a failed call again at some node, as its caller does once. */
async function repeatOnce(fleet: RelayFleetModel, { call, status }: ModelOutcome, repeated: Set<string>): Promise<void> {
    const body = call.body.toString();
    const isOwn = body.startsWith("own-");
    if (status === 200 || isOwn && repeated.has(body) || !isOwn && fleet.random.next() < 0.5) {
        return;
    }
    repeated.add(body);
    await fleet.clock.sleep(CALLER_RETRY_MS);
    fleet.sendCall([], body);
}

/** Times at which a call crashed servers, in order. */
function crashTimes(fleet: RelayFleetModel, body: string): readonly number[] {
    const attempts = fleet.attemptsOf("v1").filter(({ call }) => call.body.toString() === body);
    return attempts.flatMap(({ crashedAtMs }) => crashedAtMs ?? []).sort((left, right) => left - right);
}

function isCrashing(body: string): boolean {
    return CRASHING_BODIES.includes(body);
}

async function playCrashingCalls(fleet: RelayFleetModel, rate: number, trouble: string, nodeCount: number): Promise<void> {
    const [body, otherBody] = CRASHING_BODIES as [string, string];
    const startMs = fleet.clock.now();
    let restarted = 0;
    if (trouble.startsWith("servers fail")) {
        Object.assign(fleet.behaviors.get("v1") ?? {}, { failureShare: 0.25 });
    }
    if (trouble === "the log is down") {
        fleet.setLogReachable(nodeCount, false);
    }
    for (let call = 0; call < rate * PLAYED_MS / 1_000; call += 1) {
        await fleet.run(1_000 / rate);
        const elapsedMs = fleet.clock.now() - startMs;
        fleet.sendCall([], body);
        if (trouble.startsWith("another call") && elapsedMs > 8_000) {
            fleet.sendCall([], otherBody);
        }
        if (trouble.startsWith("a node is cut off")) {
            fleet.setIsolated(0, elapsedMs < 6_000);
        }
        if (trouble.startsWith("four nodes restart") && restarted === 0 && crashTimes(fleet, body).length >= MAX_CRASHES) {
            restarted = 4;
            fleet.restartNodes(0, restarted);
        }
        if (trouble.startsWith("all nodes restart") && elapsedMs > 2_000 * (restarted + 1) && restarted < nodeCount) {
            fleet.restartNodes(restarted, 1);
            restarted += 1;
        }
    }
}

function disturb(fleet: RelayFleetModel, trouble: string, second: number): void {
    const servers = fleet.serversOf("v1");
    const from = fleet.random.nextInt(servers.length);
    switch (trouble) {
        case "a server crashes each 2 s":
        case "two servers crash at once each 5 s":
            for (let index = 0; index < (trouble.startsWith("two") ? 2 : 1); index += 1) {
                const server = servers[(from + index) % servers.length];
                if (server !== undefined && second % (trouble.startsWith("two") ? 5 : 2) === 0) {
                    fleet.crash(server, CRASH_MS);
                }
            }
            return;
        case "half of all connections are reset each 2 s":
            for (const server of second % 2 === 0 ? servers : []) {
                server.closeHalf();
            }
            return;
        default:
            Object.assign(fleet.behaviors.get("v1") ?? {}, { failureShare: 0.25 });
    }
}

/** Content whose history is tested, its key in reports, and contents of other calls. */
const TESTED = traitsOf([], 1);
const TESTED_KEY = TESTED[0]?.key ?? 0;
const OTHER = traitsOf([], 2);
const FIRST_UNRELATED = 3;

/** Times between two crashes, until a peer's report, and until a suspect has been judged, in milliseconds. */
const CRASH_GAP_MS = 100;
const REPORT_DELAY_MS = 150;
const JUDGED_MS = 2_000;

Given("a node that watches contents before 4 servers", function(this: CrashingCallScenario) {
    this.clock = new VirtualClock();
    this.quarantine = new CallQuarantine({
        clock: this.clock,
        random: new SeededRandom(1),
        serverCount: () => 4,
        nodeCount: () => 1,
        onChange: () => undefined,
    });
});

When(/^a call ((?:broke|was) .*)$/, async function(this: CrashingCallScenario, history: string) {
    const { quarantine } = this;
    const report = (crashKeys: readonly number[], clearedCrashKeys: readonly number[] = []) => {
        quarantine.merge([makeReport(TESTED_KEY, crashKeys, clearedCrashKeys)]);
    };
    const servers = Number(/broke at (\d)/.exec(history)?.[1] ?? 0);
    if (history.startsWith("was answered before")) {
        quarantine.recordAnswered(TESTED, { server: makeServer(1_000), sentAtMs: 0 });
    }
    if (history.includes("600 other calls")) {
        for (let call = 0; call < 600; call += 1) {
            quarantine.recordBroken(traitsOf([], FIRST_UNRELATED + call), makeServer(100));
        }
    }
    if (history === "broke twice at one incarnation of a server") {
        await breakAt(this, [0, 0], [TESTED]);
        return;
    }
    const gapMs = history.includes("within 100 ms") ? 0 : CRASH_GAP_MS;
    const contents = history.includes("beside a") ? [TESTED, OTHER] : [TESTED];
    if (history.endsWith("of which a quarantined call explains 2")) {
        await breakAt(this, [0, 1], [OTHER]);
        await this.clock.advance(JUDGED_MS);
    }
    await breakAt(this, Array.from({ length: servers }, (unused, index) => index), contents, gapMs);
    if (history.endsWith("beside a call that then broke at a third one")) {
        await breakAt(this, [0, 1, 2], [OTHER]);
        // A peer that has not judged the other call yet still reports the crashes of this one.
        report(crashKeysOf(2));
    }
    if (history.endsWith("and a peer then reported another call there")) {
        await this.clock.advance(REPORT_DELAY_MS);
        quarantine.merge([makeReport(OTHER[0]?.key ?? 0, crashKeysOf(2))]);
    }
    if (history.endsWith("and was answered") || history.endsWith("by a probe")) {
        quarantine.recordAnswered(TESTED, { server: makeServer(1_000), sentAtMs: 0 });
    }
    if (history.endsWith("reported another")) {
        report([hashKey("server-9@1")]);
    }
    if (history === "was reported by a peer as quarantined") {
        report([1, 2, 3]);
    }
    if (history.endsWith("reported that it was answered")) {
        report([], crashKeysOf(servers));
    }
    await this.clock.advance(JUDGED_MS);
});

Then(/^its content is (free|held back|quarantined)$/, function(this: CrashingCallScenario, verdict: string) {
    const isQuarantined = this.quarantine.findQuarantined(TESTED) !== undefined;
    const isHeldBack = !this.quarantine.mayRepeat(TESTED);
    assert.equal(isQuarantined ? "quarantined" : isHeldBack ? "held back" : "free", verdict);
});

Then(
    /^1 suspect is reported, and (\d) after (\d+) s$/,
    async function(this: CrashingCallScenario, later: string, seconds: string) {
        assert.equal(this.quarantine.reportedSuspects().length, 1);
        await this.clock.advance(Number(seconds) * 1_000);
        assert.equal(this.quarantine.reportedSuspects().length, Number(later));
    },
);

/** Keys of the crashes of the first servers. */
function crashKeysOf(servers: number): number[] {
    return Array.from({ length: servers }, (unused, server) => hashKey(`server-${server}@1`));
}

function makeReport(traitKey: number, crashKeys: readonly number[], clearedCrashKeys: readonly number[] = []): CallSuspect {
    return {
        traitKey,
        crashKeys: [...crashKeys],
        crashKeysAfterAnswers: [],
        clearedCrashKeys: [...clearedCrashKeys],
        isAnswered: clearedCrashKeys.length > 0,
        isContent: true,
        events: 0,
    };
}

async function breakAt(
    { quarantine, clock }: CrashingCallScenario,
    servers: readonly number[],
    contents: readonly (readonly CallTrait[])[],
    gapMs = CRASH_GAP_MS,
): Promise<void> {
    for (const server of servers) {
        for (const content of contents) {
            quarantine.recordBroken(content, makeServer(server));
        }
        await clock.advance(gapMs);
    }
}

function makeServer(index: number): RelayServer {
    return {
        id: `server-${index}`,
        service: "service",
        address: `127.0.0.1:${index}`,
        failureDomain: "domain-0",
        version: "v1",
        slots: 10,
        isDraining: false,
        startedAtMs: 1,
        sequence: 1,
        warmUpMs: 0,
    };
}
