/**
 * Steps about following the platform's log, under a virtual clock.
 *
 * @module
 */

import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { KeyedLogModel } from "../../standin/keyed_log_model.js";
import { VirtualClock } from "../../standin/virtual_clock.js";
import { FollowingNode, makeServerEntry } from "../support/following_node.js";
import { makeConfiguration } from "../support/relay_fixture.js";
import type { Scenario } from "../support/world.js";

/** Distance between the moments at which a record is written, in milliseconds. */
const MOMENT_INTERVAL_MS = 50;

/** Time after which a record counts as never acted on, in milliseconds. */
const GIVE_UP_MS = 10_000;

/** Record whose effect on a node is measured. */
interface ObservedChange {
    /** Writes what the node knows before the change. */
    readonly prepare: (log: KeyedLogModel) => void;
    readonly write: (log: KeyedLogModel) => void;
    readonly isApplied: (node: FollowingNode) => boolean;
}

/** State of a scenario of this file. */
interface FollowingScenario extends Scenario {
    /** Brings a log to the state of the scenario. */
    applyFault: (log: KeyedLogModel) => void;
    /** Additional time that each answer takes from the start, in milliseconds; `undefined` for none. */
    answerDelayMs: number | undefined;
    /** Time until a node acted on a record, for each moment at which it was written, in milliseconds. */
    delaysMs: number[];
}

/** Effect of each fault on a log. */
const faults = new Map<string, (log: KeyedLogModel) => void>([
    ["nothing fails", () => undefined],
    ["open reads are held until the end of their wait", log => {
        log.holdsReads = true;
    }],
    ["the next answer is lost", log => log.loseNextAnswers()],
    ["the next read is refused", log => log.refuseNextReads()],
    ["answers take 350 ms", log => {
        log.answerDelayMs = 350;
    }],
    ["answers take 900 ms", log => {
        log.answerDelayMs = 900;
    }],
]);

const configurationChange: ObservedChange = {
    prepare: log => log.put("keyed.op", "config", makeConfiguration(1, ["key"])),
    write: log => log.put("keyed.op", "config", makeConfiguration(2, ["key"])),
    isApplied: node => node.follower.configuration?.version === 2,
};

const leavingServer: ObservedChange = {
    prepare: log => log.put("keyed.servers", "s", makeServerEntry("ready", 1)),
    write: log => log.put("keyed.servers", "s", makeServerEntry("draining", 2)),
    isApplied: node => node.serverState("s") === "draining",
};

Given("a platform's log where {}", function(this: FollowingScenario, fault: string) {
    const applyFault = faults.get(fault);
    assert(applyFault !== undefined, `unknown fault "${fault}"`);
    this.applyFault = applyFault;
});

Given("its answers have always taken {int} ms", function(this: FollowingScenario, delayMs: number) {
    this.answerDelayMs = delayMs;
});

When(
    "a configuration is written at each of {int} moments of a node's reads",
    async function(this: FollowingScenario, count: number) {
        this.delaysMs = await measureDelays(configurationChange, this, count);
    },
);

When(
    "a server announces that it leaves at each of {int} moments of a node's reads",
    async function(this: FollowingScenario, count: number) {
        this.delaysMs = await measureDelays(leavingServer, this, count);
    },
);

Then("the node always acts on it within {int} ms", function(this: FollowingScenario, limitMs: number) {
    assert(Math.max(...this.delaysMs) <= limitMs, `it took up to ${Math.max(...this.delaysMs)} ms`);
});

/** Measures how long a node takes to act on a change, for each moment at which it is written, in milliseconds. */
async function measureDelays(
    change: ObservedChange,
    { applyFault, answerDelayMs = 0 }: Pick<FollowingScenario, "applyFault" | "answerDelayMs">,
    count: number,
): Promise<number[]> {
    const delaysMs: number[] = [];
    for (let moment = 0; moment < count; moment += 1) {
        const clock = new VirtualClock();
        const log = new KeyedLogModel(clock);
        const node = new FollowingNode(log, clock, 1);
        log.answerDelayMs = answerDelayMs;
        change.prepare(log);
        node.start();
        await node.clock.advance(MOMENT_INTERVAL_MS * (moment + 1));
        applyFault(log);
        change.write(log);
        delaysMs.push(await measureDelay(node.clock, () => change.isApplied(node)));
        await node.stop();
    }
    return delaysMs;
}

/** Advances the clock until a condition holds, and returns how long that took, in milliseconds. */
async function measureDelay(clock: VirtualClock, condition: () => boolean): Promise<number> {
    const startMs = clock.now();
    while (!condition() && clock.now() - startMs < GIVE_UP_MS) {
        await clock.advance(1);
    }
    return clock.now() - startMs;
}
