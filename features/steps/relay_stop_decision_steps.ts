/**
 * Steps about the decisions of a stopping relay node, under a virtual clock.
 *
 * @module
 */

import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { expectedDurationMs, StopDeadline, stopReserveMs } from "../../src/coordination/relay/mod.js";
import { VirtualClock } from "../../standin/virtual_clock.js";
import type { Scenario } from "../support/world.js";

/** Speed of the servers besides the duration of calls. */
const SPEED = { firstEventMs: 200, msPerEvent: 20 };

/** State of a scenario of this file. */
interface StopDecisionScenario extends Scenario {
    stopClock: VirtualClock;
    stopDeadline: StopDeadline;
    stopCallMs: number | undefined;
    toldCalls: number[];
}

Given(/^a service whose calls take (\d+|unknown) ms$/, function(this: StopDecisionScenario, callMs: string) {
    this.stopClock = new VirtualClock();
    this.stopDeadline = new StopDeadline(this.stopClock);
    this.stopCallMs = callMs === "unknown" ? undefined : Number(callMs);
});

Given("a node that stops in {int} ms", function(this: StopDecisionScenario, durationMs: number) {
    this.stopDeadline.start(this.stopClock.now() + durationMs);
});

Given("a node that does not stop", function(this: StopDecisionScenario) {
    assert(!this.stopDeadline.isStopping);
});

Given("{int} open calls, of which the second ends", function(this: StopDecisionScenario, count: number) {
    this.toldCalls = [];
    for (let call = 1; call <= count; call += 1) {
        const endWatch = this.stopDeadline.watch(() => this.toldCalls.push(call));
        if (call === 2) {
            endWatch();
        }
    }
});

When(/^(\d+) ms of the stop have passed$/, async function(this: StopDecisionScenario, durationMs: string) {
    await this.stopClock.advance(Number(durationMs));
});

When("the stop ends", function(this: StopDecisionScenario) {
    this.stopDeadline.end();
});

Then("the open calls 1, 3 have been told so", function(this: StopDecisionScenario) {
    assert.deepEqual(this.toldCalls, [1, 3]);
});

Then(
    /^a call of a (plain|stream) route with (\d+) expected events and an objective of (\d+) ms (may|may not) be passed on$/,
    function(this: StopDecisionScenario, kind: string, events: string, objectiveMs: string, may: string) {
        const durationMs = expectedDurationMs({ ...SPEED, callMs: this.stopCallMs }, {
            isStream: kind === "stream",
            expectedEvents: Number(events),
            objectiveMs: Number(objectiveMs),
        });
        assert.equal(this.stopDeadline.mayPassOn(durationMs), may === "may");
    },
);

Then("a stop with a grace of {int} ms keeps {int} ms", function(graceMs: number, keptMs: number) {
    assert.equal(stopReserveMs(graceMs), keptMs);
});
