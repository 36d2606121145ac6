/**
 * Steps about nodes that reach no backend server, on a model of the fleet.
 *
 * @module
 */

import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { Semantics } from "../../src/state/relay/mod.js";
import { type ModelOutcome, type ModelTraffic, RelayFleetModel } from "../../standin/relay_fleet_model.js";
import { ServerLinkState } from "../../standin/server_link_model.js";
import type { Scenario } from "../support/world.js";

/** Seeds with which each case is played. */
const SEEDS = [1, 2];

/** Times before the cut, of the cut, and after it, in milliseconds. */
const WARM_UP_MS = 4_000;
const CUT_MS = 12_000;
const AFTER_MS = 8_000;

/** Time after the beginning and the end of a cut from which callers must be served, in milliseconds. */
const CONTACT_MS = 3_000;

/** Time of a further trouble after the beginning of the cut, in milliseconds. */
const TROUBLE_AT_MS = 5_000;

/** Servers that crash one after the other, and how long each is down, in milliseconds. */
const CRASHING_SERVERS = 6;
const CRASH_MS = 1_000;

/** Time from the order of a version to its deadline, in milliseconds. */
const ROLLOUT_MS = 25_000;

/** Link state for each fault of the examples. */
const STATE_BY_FAULT: Readonly<Record<string, ServerLinkState>> = {
    "fall silent": ServerLinkState.Silent,
    "are reset": ServerLinkState.Reset,
    "refuse new connections": ServerLinkState.NoNewConnections,
};

/** Trouble besides a cut. */
interface CutTrouble {
    /** Causes what begins with the cut. */
    readonly startTrouble?: (fleet: RelayFleetModel) => void;
    /** Causes what begins within the cut. */
    readonly continueTrouble?: (fleet: RelayFleetModel) => void;
}

/** Node that keeps its links, and one that loses them. */
const SOUND_NODE = 5;
const CUT_NODE = 1;

/** Troubles of the examples. */
const TROUBLES: Readonly<Record<string, CutTrouble>> = {
    "a fifth of the nodes' reports are lost": {
        startTrouble: fleet => {
            fleet.reportLoss = 0.2;
        },
    },
    "the log is down": { startTrouble: fleet => fleet.setLogReachable(9, false) },
    "two servers state a limit of 2 calls a second": {
        startTrouble: fleet => {
            for (const server of fleet.serversOf("v1").slice(0, 2)) {
                server.callsPerSecond = 2;
            }
        },
    },
    "another node restarts 5 s later": { continueTrouble: fleet => fleet.restartNodes(SOUND_NODE, 1) },
    "another node loses its peers 5 s later": { continueTrouble: fleet => fleet.setIsolated(SOUND_NODE, true) },
    "one of these nodes restarts 5 s later": { continueTrouble: fleet => fleet.restartNodes(CUT_NODE, 1) },
};

const STREAMS: ModelTraffic = {
    callsPerSecond: 0,
    mostEvents: 40,
    promptTokens: 1_800,
    deadlineMs: 12_000,
    intervalsMs: [14, 14, 14, 14, 14, 14, 25, 25, 25, 36, 36, 70, 100],
    slots: 11,
};

const PLAIN_CALLS: ModelTraffic = { ...STREAMS, mostEvents: 0, promptTokens: 0, deadlineMs: 4_000 };

/** Play of a case with one seed. */
interface DetourPlay {
    readonly seed: number;
    readonly fleet: RelayFleetModel;
    cutFromMs: number;
    cutUntilMs: number;
    endedAtMs: number;
}

/** State of a scenario of this file. */
interface DetourScenario extends Scenario {
    cutNodes: number;
    mayRepeat: boolean;
    makeFleet: (seed: number) => RelayFleetModel;
    plays: DetourPlay[];
}

After(function(this: DetourScenario) {
    for (const { fleet } of this.plays ?? []) {
        fleet.stop();
    }
});

Given(
    /^(\d+) relay nodes that get (\d+) (stream|resumable stream|unsafe|safe) calls a second$/,
    function(this: DetourScenario, nodes: string, callsPerSecond: string, kind: string) {
        const isStream = kind.endsWith("stream");
        const traffic = { ...isStream ? STREAMS : PLAIN_CALLS, callsPerSecond: Number(callsPerSecond) };
        const semantics = kind === "safe" ? Semantics.Repeatable : Semantics.DispatchOnce;
        this.mayRepeat = kind === "safe" || kind === "resumable stream";
        this.plays = [];
        this.makeFleet = seed => {
            const fleet = new RelayFleetModel(traffic, Number(nodes), seed, kind === "resumable stream", semantics);
            fleet.addVersion("v1");
            return fleet;
        };
    },
);

When(
    /^(\d+) of them reach no server for 12 s because their links ([^,]*)(?:, and (.*))?$/,
    { timeout: 300_000 },
    async function(this: DetourScenario, cut: string, fault: string, trouble: string | undefined) {
        this.cutNodes = Number(cut);
        const state = STATE_BY_FAULT[fault];
        assert(state !== undefined);
        const troubles = trouble === undefined ? {} : TROUBLES[trouble];
        assert(troubles !== undefined, `unknown trouble: ${trouble}`);
        const { startTrouble = doNothing, continueTrouble = doNothing } = troubles;
        for (const seed of SEEDS) {
            const fleet = this.makeFleet(seed);
            await fleet.run(WARM_UP_MS);
            const cutFromMs = fleet.clock.now();
            setLinks(fleet, this.cutNodes, state);
            startTrouble(fleet);
            await fleet.run(TROUBLE_AT_MS);
            continueTrouble(fleet);
            await fleet.run(CUT_MS - TROUBLE_AT_MS);
            const cutUntilMs = fleet.clock.now();
            setLinks(fleet, this.cutNodes, ServerLinkState.Open);
            await fleet.run(AFTER_MS);
            const endedAtMs = fleet.clock.now();
            fleet.trafficFactor = 0.01;
            await fleet.run(fleet.traffic.deadlineMs);
            fleet.stop();
            this.plays.push({ seed, fleet, cutFromMs, cutUntilMs, endedAtMs });
        }
    },
);

When("servers crash one after the other for 12 s", { timeout: 300_000 }, async function(this: DetourScenario) {
    for (const seed of SEEDS) {
        const fleet = this.makeFleet(seed);
        await fleet.run(WARM_UP_MS);
        const cutFromMs = fleet.clock.now();
        for (const server of fleet.serversOf("v1").slice(0, CRASHING_SERVERS)) {
            fleet.crash(server, CRASH_MS);
            await fleet.run(CUT_MS / CRASHING_SERVERS);
        }
        fleet.stop();
        this.plays.push({ seed, fleet, cutFromMs, cutUntilMs: fleet.clock.now(), endedAtMs: fleet.clock.now() });
    }
});

Then("no call takes a detour", function(this: DetourScenario) {
    for (const { seed, fleet } of this.plays) {
        assert.equal(fleet.detours, 0, `seed ${seed}`);
    }
});

When(
    "a good version is ordered and 5 nodes reach no server for 12 s because their links are reset",
    { timeout: 300_000 },
    async function(this: DetourScenario) {
        for (const seed of SEEDS) {
            const fleet = this.makeFleet(seed);
            await fleet.run(WARM_UP_MS);
            fleet.addVersion("v2");
            fleet.order("v2", ROLLOUT_MS);
            await fleet.run(TROUBLE_AT_MS);
            const cutFromMs = fleet.clock.now();
            setLinks(fleet, 5, ServerLinkState.Reset);
            await fleet.run(CUT_MS);
            const cutUntilMs = fleet.clock.now();
            setLinks(fleet, 5, ServerLinkState.Open);
            await fleet.run(ROLLOUT_MS - CUT_MS - TROUBLE_AT_MS);
            fleet.stop();
            this.plays.push({ seed, fleet, cutFromMs, cutUntilMs, endedAtMs: fleet.clock.now() });
        }
    },
);

Then("the version is completed", function(this: DetourScenario) {
    for (const { seed, fleet } of this.plays) {
        assert.equal(fleet.rolloutState, "completed", `seed ${seed}`);
    }
});

function doNothing(): void {
    // The play has no trouble besides the cut.
}

function setLinks(fleet: RelayFleetModel, nodes: number, state: ServerLinkState): void {
    for (let index = 0; index < nodes; index += 1) {
        fleet.setServerLinks(index, state);
    }
}

Then(
    "callers of these nodes are served at least nine tenths as often as others from 3 s after the cut began",
    function(this: DetourScenario) {
        for (const { seed, fleet, cutFromMs, cutUntilMs } of this.plays) {
            const shares = compareShares(fleet, this.cutNodes, cutFromMs + CONTACT_MS, cutUntilMs);
            assert(shares.ratio >= 0.9, `seed ${seed}: ${shares.text}`);
        }
    },
);

Then(
    "callers of these nodes are served at least 98 hundredths as often as others from 3 s after the cut ended",
    function(this: DetourScenario) {
        for (const { seed, fleet, cutUntilMs, endedAtMs } of this.plays) {
            const shares = compareShares(fleet, this.cutNodes, cutUntilMs + CONTACT_MS, endedAtMs);
            assert(shares.ratio >= 0.98, `seed ${seed}: ${shares.text}`);
        }
    },
);

Then("9 in 10 callers of these nodes are served in the first second of the cut", function(this: DetourScenario) {
    for (const { seed, fleet, cutFromMs } of this.plays) {
        const { share, text } = servedShare(fleet.outcomes.filter(({ call, node }) => {
            return node < this.cutNodes && call.arrivedAtMs >= cutFromMs && call.arrivedAtMs < cutFromMs + 1_000;
        }));
        assert(share >= 0.9, `seed ${seed}: ${text} served`);
    }
});

Then("no call ran twice unless it may be repeated", function(this: DetourScenario) {
    for (const { seed, fleet } of this.plays) {
        const ids = fleet.attemptsOf("v1").map(({ call }) => call.head.id);
        const repeated = ids.filter((id, index) => ids.indexOf(id) !== index);
        assert(
            this.mayRepeat || repeated.length === 0,
            `seed ${seed}: ${repeated.length} calls ran twice, such as ${repeated[0]}`,
        );
    }
});

/** Share of the calls that are served at the cut nodes relative to that at the others, and both in words. */
function compareShares(
    fleet: RelayFleetModel,
    cutNodes: number,
    fromMs: number,
    untilMs: number,
): { ratio: number; text: string } {
    const outcomes = fleet.outcomes.filter(({ call }) => call.arrivedAtMs >= fromMs && call.arrivedAtMs < untilMs);
    const atCut = servedShare(outcomes.filter(({ node }) => node < cutNodes));
    const atOthers = servedShare(outcomes.filter(({ node }) => node >= cutNodes));
    return { ratio: atCut.share / atOthers.share, text: `${atCut.text} served, others ${atOthers.text}` };
}

function servedShare(outcomes: readonly ModelOutcome[]): { readonly share: number; readonly text: string } {
    const served = outcomes.filter(({ status, isComplete }) => status === 200 && isComplete).length;
    return { share: served / Math.max(1, outcomes.length), text: `${served} of ${outcomes.length}` };
}
