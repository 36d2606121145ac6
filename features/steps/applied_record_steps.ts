/**
 * Steps about the steps in which a node applies records, under a virtual clock.
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

/** Time that it takes to apply a record, in milliseconds. */
const APPLY_RECORD_MS = 6;

/** Time in which a node reads and applies what was written, in milliseconds. */
const READ_MS = 1_500;

/** Virtual clock of a node whose work takes time. */
class WorkingClock extends VirtualClock {
    /** Called when a task of the node waits. */
    onSleep: () => void = () => undefined;
    private workedMs = 0;

    override now(): number {
        return super.now() + this.workedMs;
    }

    override sleep(durationMs: number, signal?: AbortSignal): Promise<boolean> {
        this.onSleep();
        return super.sleep(durationMs, signal);
    }

    /** Lets work take a time, in milliseconds. */
    work(durationMs: number): void {
        this.workedMs += durationMs;
    }
}

/** State of a scenario of this file. */
interface AppliedRecordScenario extends Scenario {
    clock: WorkingClock;
    platformLog: KeyedLogModel;
    node: FollowingNode;
    /** Records that were applied, in order. */
    applied: string[];
    /** Numbers of records that had been applied when a step ended. */
    stepEnds: number[];
    written: string[];
}

function startScenario(scenario: AppliedRecordScenario): void {
    scenario.clock = new WorkingClock();
    scenario.platformLog = new KeyedLogModel(scenario.clock);
    scenario.platformLog.put("keyed.op", "config", makeConfiguration(1, ["key"]));
    scenario.applied = [];
    scenario.stepEnds = [];
    scenario.written = [];
    const recordApplied = (name: string) => {
        scenario.clock.work(APPLY_RECORD_MS);
        scenario.applied.push(name);
    };
    scenario.node = new FollowingNode(scenario.platformLog, scenario.clock, 1, 0, {
        onConfiguration: ({ version }) => recordApplied(`${version}`),
        onServerUpdated: ({ id }) => recordApplied(id),
    });
}

function write(scenario: AppliedRecordScenario, records: string, count: number): void {
    scenario.applied = [];
    scenario.stepEnds = [];
    for (let index = 0; index < count; index += 1) {
        if (records === "configurations") {
            scenario.platformLog.put("keyed.op", "config", makeConfiguration(index + 2, ["key"]));
            scenario.written.push(`${index + 2}`);
        }
        else {
            scenario.platformLog.put("keyed.servers", `s-${index}`, makeServerEntry("ready", 1));
            scenario.written.push(`s-${index}`);
        }
    }
    scenario.clock.onSleep = () => scenario.stepEnds.push(scenario.applied.length);
}

Given("a node that has read the log", async function(this: AppliedRecordScenario) {
    startScenario(this);
    this.node.start();
    await this.clock.advance(READ_MS);
});

When(
    /^(\d+) (configurations|server entries) are written, and the node reads them$/,
    async function(this: AppliedRecordScenario, count: string, records: string) {
        write(this, records, Number(count));
        await this.clock.advance(READ_MS);
    },
);

When(
    "{int} server entries are written, and a node reads the log for the first time",
    async function(this: AppliedRecordScenario, count: number) {
        startScenario(this);
        write(this, "server entries", count);
        this.node.start();
        await this.clock.advance(READ_MS);
    },
);

Then("it has applied all of them in order, at most {int} in a step", async function(this: AppliedRecordScenario, most: number) {
    const applied = this.applied.filter(name => this.written.includes(name));
    assert.deepEqual(applied, this.written);
    let before = 0;
    for (const end of [...this.stepEnds, this.applied.length]) {
        assert(end - before <= most, `${end - before} records in a step`);
        before = end;
    }
    await this.node.stop();
});
