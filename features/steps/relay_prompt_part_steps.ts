/**
 * Steps about prompt parts that crash servers, on a model of nodes, servers and callers.
 *
 * @module
 */

import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { CallQuarantine, type CallTrait, TraitKind, traitsOf } from "../../src/coordination/relay/mod.js";
import { hashKey, type PromptPart } from "../../src/protocol/relay/mod.js";
import { type RelayServer, SeededRandom } from "../../src/state/relay/mod.js";
import { type ModelTraffic, RelayFleetModel } from "../../standin/relay_fleet_model.js";
import { VirtualClock } from "../../standin/virtual_clock.js";
import type { Scenario } from "../support/world.js";

/** Seeds with which each case is played. */
const SEEDS = [1, 2];

/** Number of nodes that restart, or lose the log: all nine. */
const MAX_RESTARTED_NODES = 9;

/** Time before the first call with the part, and time for which such calls come, in milliseconds. */
const WARM_UP_MS = 4_000;
const PLAYED_MS = 24_000;

/** Sound calls with the part before it crashes servers. */
const PART_CALLS_BEFORE = 20;

/** Time for which a crashed server is down, in milliseconds. */
const CRASH_MS = 3_000;

/** Crashes after which the bounds hold, calls with the part that may reach servers then, and the times from which the bounds hold. */
const MAX_CRASHES = 5;
const MAX_LATE_CALLS = 3;
const CALLS_FROM_MS = 3_000;
const SERVICE_FROM_MS = 6_000;

/** Status of a call that is refused because of its prompt. */
const REFUSED_PROMPT_STATUS = 500;

/** Parts of all prompts: one of a few first parts, one of some documents, and a part of the call's own. */
const FIRST_PARTS = 5;
const DOCUMENTS = 60;

/** Parts that crash servers. */
const CRASHING_PARTS = ["crashing-1", "crashing-2"];

/** Calls of the model. */
const TRAFFIC: ModelTraffic = {
    callsPerSecond: 50,
    mostEvents: 60,
    promptTokens: 1_800,
    deadlineMs: 12_000,
    intervalsMs: [14, 14, 14, 14, 14, 14, 25, 25, 25, 36, 36, 70, 100],
    slots: 11,
};

/** State of a scenario of this file. */
interface PromptScenario extends Scenario {
    fleets: RelayFleetModel[];
    nodeCount: number;
    crashesAtMs: Map<RelayFleetModel, number[]>;
    clock: VirtualClock;
    quarantine: CallQuarantine;
    sentProbes: number;
}

After(function(this: PromptScenario) {
    for (const fleet of this.fleets ?? []) {
        fleet.stop();
    }
});

Given("{int} relay nodes before engines", function(this: PromptScenario, nodes: number) {
    this.nodeCount = nodes;
    this.crashesAtMs = new Map();
    this.fleets = [];
});

When(
    /^calls with a part that crashes servers come (\d+) times a second and (.*)$/,
    { timeout: 300_000 },
    async function(this: PromptScenario, rate: string, trouble: string) {
        for (const seed of SEEDS) {
            const fleet = startFleet(this, seed, trouble === "broken streams are resumed");
            await warmUp(fleet, trouble);
            await playCrashingCalls(fleet, Number(rate), trouble, this.crashesAtMs.get(fleet) ?? []);
            fleet.stop();
        }
    },
);

When(
    /^only sound calls come and (.*)$/,
    { timeout: 300_000 },
    async function(this: PromptScenario, trouble: string) {
        for (const seed of SEEDS) {
            const fleet = startFleet(this, seed, false);
            await fleet.run(WARM_UP_MS);
            for (let second = 0; second < PLAYED_MS / 1_000; second += 1) {
                disturb(fleet, trouble, second);
                await fleet.run(1_000);
            }
            fleet.stop();
        }
    },
);

Then("at most 3 of them reach servers later than 3 s after the fifth crash", function(this: PromptScenario) {
    for (const [index, fleet] of this.fleets.entries()) {
        for (const part of CRASHING_PARTS) {
            const attempts = fleet.attemptsOf("v1").filter(({ call }) => call.head.parts.some(({ id }) => id === part));
            const crashed = attempts.filter(attempt => attempt.crashedAtMs !== undefined);
            const fifthAtMs = crashed.map(({ crashedAtMs }) =>
                crashedAtMs ?? 0
            ).sort((left, right) => left - right)[MAX_CRASHES - 1];
            const late = attempts.filter(({ atMs }) => atMs > (fifthAtMs ?? Infinity) + CALLS_FROM_MS);
            assert(late.length <= MAX_LATE_CALLS, `seed ${SEEDS[index]}: ${late.length} calls, ${crashed.length} crashes`);
        }
    }
});

Then("9 in 10 sound calls are served from 6 s after the fifth crash", function(this: PromptScenario) {
    for (const [index, fleet] of this.fleets.entries()) {
        const crashes = [...this.crashesAtMs.get(fleet) ?? []].sort((left, right) => left - right);
        const fromMs = (crashes[MAX_CRASHES - 1] ?? crashes.at(-1) ?? 0) + SERVICE_FROM_MS;
        const sound = fleet.outcomes.filter(({ call }) => call.arrivedAtMs >= fromMs && !isCrashing(call.head.parts));
        const served = sound.filter(({ status }) => status === 200);
        assert(sound.length > 0, `seed ${SEEDS[index]}: no sound calls`);
        assert(served.length >= 0.9 * sound.length, `seed ${SEEDS[index]}: ${served.length} of ${sound.length} served`);
    }
});

Then("no call is refused because of its prompt", function(this: PromptScenario) {
    for (const [index, fleet] of this.fleets.entries()) {
        const refused = fleet.outcomes.filter(({ status, text }) => status === REFUSED_PROMPT_STATUS && text.includes("prompt"));
        assert.equal(refused.length, 0, `seed ${SEEDS[index]}`);
    }
});

/** Plays calls before the first one that crashes a server; the part may be in them as well. */
async function warmUp(fleet: RelayFleetModel, trouble: string): Promise<void> {
    if (trouble.endsWith("the part was in sound calls before")) {
        const { crashMs } = fleet;
        fleet.crashMs = () => 0;
        for (let call = 0; call < PART_CALLS_BEFORE; call += 1) {
            fleet.sendCall(makeParts(fleet, CRASHING_PARTS[0]));
            await fleet.run(WARM_UP_MS / PART_CALLS_BEFORE);
        }
        fleet.crashMs = crashMs;
    }
    await fleet.run(WARM_UP_MS);
}

function startFleet(scenario: PromptScenario, seed: number, isResumable: boolean): RelayFleetModel {
    const fleet = new RelayFleetModel(TRAFFIC, scenario.nodeCount, seed, isResumable);
    const crashesAtMs: number[] = [];
    fleet.partsOf = () => makeParts(fleet, `document-${fleet.random.nextInt(DOCUMENTS)}`);
    fleet.crashMs = call => isCrashing(call.head.parts) ? CRASH_MS : 0;
    fleet.onCrash = () => crashesAtMs.push(fleet.clock.now());
    fleet.addVersion("v1");
    scenario.fleets.push(fleet);
    scenario.crashesAtMs.set(fleet, crashesAtMs);
    return fleet;
}

function makeParts(fleet: RelayFleetModel, document: string): readonly PromptPart[] {
    return [
        { id: `first-${fleet.random.nextInt(FIRST_PARTS)}`, tokens: 800 },
        { id: document, tokens: 400 },
        { id: `own-${fleet.random.nextInt(1_000_000)}`, tokens: 600 },
    ];
}

function isCrashing(parts: readonly PromptPart[]): boolean {
    return parts.some(({ id }) => CRASHING_PARTS.includes(id));
}

async function playCrashingCalls(
    fleet: RelayFleetModel,
    rate: number,
    trouble: string,
    crashesAtMs: readonly number[],
): Promise<void> {
    fleet.crashEvents = Number(/servers crash after (\d+) events/.exec(trouble)?.[1] ?? 0);
    const startMs = fleet.clock.now();
    let restarted = 0;
    for (let call = 0; call < rate * PLAYED_MS / 1_000; call += 1) {
        await fleet.run(1_000 / rate);
        const elapsedMs = fleet.clock.now() - startMs;
        fleet.sendCall(makeParts(fleet, CRASHING_PARTS[0]));
        if (trouble.startsWith("a second part") && elapsedMs > 5_000) {
            fleet.sendCall(makeParts(fleet, CRASHING_PARTS[1]));
        }
        if (trouble === "the log is down") {
            fleet.setLogReachable(MAX_RESTARTED_NODES, false);
        }
        if (trouble.startsWith("a node is cut off")) {
            fleet.setIsolated(0, elapsedMs < 6_000);
        }
        if (trouble.startsWith("four nodes restart") && restarted === 0 && crashesAtMs.length >= MAX_CRASHES) {
            restarted = 4;
            fleet.restartNodes(0, restarted);
        }
        if (trouble.startsWith("all nodes restart") && elapsedMs > 2_000 * (restarted + 1) && restarted < MAX_RESTARTED_NODES) {
            fleet.restartNodes(restarted, 1);
            restarted += 1;
        }
    }
}

function disturb(fleet: RelayFleetModel, trouble: string, second: number): void {
    const servers = fleet.serversOf("v1");
    switch (trouble) {
        case "a server crashes each second":
            fleet.crash(servers[fleet.random.nextInt(servers.length)], CRASH_MS);
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

/** Part whose history is tested, and prompts with it. */
const TESTED_PART = { id: "tested", tokens: 400 };
const TESTED_PROMPT = traitsOfPrompt([TESTED_PART, { id: "own", tokens: 100 }]);

Given("a node that watches the parts of prompts before 13 servers", function(this: PromptScenario) {
    this.clock = new VirtualClock();
    this.quarantine = new CallQuarantine({
        clock: this.clock,
        random: new SeededRandom(1),
        serverCount: () => 13,
        nodeCount: () => 1,
        onChange: () => undefined,
    });
});

When(/^a part (was .*)$/, async function(this: PromptScenario, history: string) {
    await playHistory(this, history);
    await this.clock.advance(1_000);
});

When(
    "a peer reports {int} other crashes of it as cleared",
    function(this: PromptScenario, count: number) {
        this.quarantine.merge([{
            traitKey: hashKey(TESTED_PART.id),
            crashKeys: [],
            crashKeysAfterAnswers: [],
            clearedCrashKeys: Array.from({ length: count }, (unused, index) => index + 1),
            isAnswered: true,
            isContent: false,
            events: 0,
        }]);
    },
);

Then("its report names at most {int} cleared crashes", function(this: PromptScenario, most: number) {
    const [suspect] = this.quarantine.reportedSuspects();
    const cleared = suspect?.clearedCrashKeys.length ?? 0;
    assert(cleared > 0 && cleared <= most, `${cleared} cleared crashes`);
});

When(
    "a call with it comes each second for 10 minutes and crashes its server when it is sent",
    async function(this: PromptScenario) {
        this.sentProbes = 0;
        for (let second = 0; second < 600; second += 1) {
            if (this.quarantine.findQuarantined(TESTED_PROMPT) === undefined) {
                this.sentProbes += 1;
                this.quarantine.recordSent(TESTED_PROMPT);
                this.quarantine.recordBroken(TESTED_PROMPT, makeServer(100 + second));
            }
            await this.clock.advance(1_000);
        }
    },
);

Then("at most {int} of them are sent", function(this: PromptScenario, most: number) {
    assert(this.sentProbes <= most, `${this.sentProbes} calls`);
});

Then(/^the part is (suspected|quarantined|free)$/, function(this: PromptScenario, verdict: string) {
    const isQuarantined = this.quarantine.findQuarantined(TESTED_PROMPT) !== undefined;
    const isSuspected = !this.quarantine.mayRepeat(TESTED_PROMPT);
    assert.equal(isQuarantined ? "quarantined" : isSuspected ? "suspected" : "free", verdict);
});

/** Attempt at a server that does not crash. */
const SOUND_ATTEMPT = { server: makeServer(1_000), sentAtMs: 0 };

async function playHistory(scenario: PromptScenario, history: string): Promise<void> {
    const { quarantine, clock } = scenario;
    const breakAt = async (count: number, traits: readonly CallTrait[] = TESTED_PROMPT, events = 0) => {
        for (let server = 0; server < count; server += 1) {
            quarantine.recordBroken(traits, makeServer(server), events);
            await clock.advance(500);
        }
    };
    const report = (crashKeys: readonly number[], clearedCrashKeys: readonly number[] = []) => {
        quarantine.merge([{
            traitKey: hashKey(TESTED_PART.id),
            crashKeys: [...crashKeys],
            crashKeysAfterAnswers: [],
            clearedCrashKeys: [...clearedCrashKeys],
            isAnswered: clearedCrashKeys.length > 0,
            isContent: false,
            events: 0,
        }]);
    };
    const servers = Number(/(\d) servers?/.exec(history)?.[1] ?? 0);
    switch (history) {
        case "was in a call that broke":
            return breakAt(1);
        case "was in calls that broke twice at one server":
            await breakAt(1);
            return breakAt(1);
        case "was in calls that broke at 2 servers":
        case "was in calls that broke at 3 servers":
            return breakAt(history.includes("2") ? 2 : 3);
        case "was in calls that broke at 2 servers beside another part":
        case "was in calls that broke at 3 servers beside another part":
            return breakAt(
                history.includes("2") ? 2 : 3,
                traitsOfPrompt([{ id: "other", tokens: 1 }, TESTED_PART, { id: "own", tokens: 100 }]),
            );
        case "was answered before calls with it broke at 2 servers":
        case "was answered before calls with it broke at 3 servers":
        case "was answered before calls with it broke at 4 servers":
            quarantine.recordAnswered(TESTED_PROMPT, SOUND_ATTEMPT);
            await clock.advance(1_000);
            await breakAt(servers);
            await clock.advance(1_000);
            return;
        case "was in calls that broke at 3 servers that answered later calls":
        case "was in calls that broke at 3 servers whose earlier answers were read later": {
            const isLater = history.endsWith("that answered later calls");
            const startMs = clock.now();
            await breakAt(servers);
            for (let server = 0; server < servers; server += 1) {
                quarantine.recordProgress([], { server: makeServer(server), sentAtMs: isLater ? clock.now() : startMs - 1 }, 1);
            }
            return;
        }
        case "was in answers of 5 events before calls with it broke after 2 events at 2 servers":
            quarantine.recordProgress(TESTED_PROMPT, SOUND_ATTEMPT, 5);
            return breakAt(servers, TESTED_PROMPT, 2);
        case "was in an answer of 6 events after calls with it broke after 2 events at 1 server":
            await breakAt(1, TESTED_PROMPT, 2);
            quarantine.recordProgress(TESTED_PROMPT, SOUND_ATTEMPT, 6);
            return;
        case "was in an answer of 5 events after calls with it broke after 2 events at 1 server":
            await breakAt(1, TESTED_PROMPT, 2);
            quarantine.recordProgress(TESTED_PROMPT, SOUND_ATTEMPT, 5);
            return;
        case "was in calls that broke at 20 servers and was answered after each":
            for (let server = 0; server < 20; server += 1) {
                quarantine.recordBroken(TESTED_PROMPT, makeServer(server));
                await clock.advance(500);
                quarantine.recordAnswered(TESTED_PROMPT, { server: SOUND_ATTEMPT.server, sentAtMs: clock.now() });
                await clock.advance(500);
            }
            return;
        case "was answered after calls with it broke at 1 server":
        case "was answered by a probe after calls broke at 3 servers":
            await breakAt(history.includes("3") ? 3 : 1);
            quarantine.recordAnswered(TESTED_PROMPT, SOUND_ATTEMPT);
            return;
        case "was in calls that broke at 7 servers at once":
            for (let server = 0; server < 7; server += 1) {
                quarantine.recordBroken(TESTED_PROMPT, makeServer(server));
            }
            await clock.advance(500);
            return;
        case "was the last one in calls that broke at 3 servers":
            return breakAt(3, traitsOfPrompt([{ id: "first", tokens: 1 }, TESTED_PART]));
        case "was reported by two peers for a server each":
            report([1]);
            report([2]);
            return;
        case "was reported by two peers and as answered by a third":
            report([1]);
            report([2]);
            report([], [1, 2]);
            return;
        default:
            throw new Error(`Unknown history: ${history}`);
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

function traitsOfPrompt(parts: readonly PromptPart[]): readonly CallTrait[] {
    return traitsOf(parts, 0).filter(({ kind }) => kind === TraitKind.PromptPart);
}
