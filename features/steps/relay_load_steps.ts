/**
 * Steps that simulate loads over fleets of relay nodes and check the value that callers get.
 *
 * @module
 */

import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { type RelayFigures, RelaySimulation } from "../../measure/relay_simulation.js";
import { RELAY_CASES, type RelayCase } from "../../measure/relay_workload.js";
import type { Scenario } from "../support/world.js";

/** Seed of all runs. */
const SEED = 1;

/** State of a scenario of this file. */
interface LoadScenario extends Scenario {
    relayCase: RelayCase;
    figures: RelayFigures;
}

When("the relay simulation runs {string}", async function(this: LoadScenario, name: string) {
    const found = RELAY_CASES.find(relayCase => relayCase.name === name);
    assert(found, `no case is named ${name}`);
    this.relayCase = found;
    this.figures = await new RelaySimulation(found, SEED).run();
});

Then("callers get at least {int} percent of the value that they would get without a delay of the reports", async function(
    this: LoadScenario,
    percent: number,
) {
    const undelayed = await new RelaySimulation({ ...this.relayCase, reportAgeMs: 0 }, SEED).run();
    assert(
        this.figures.earnedShare >= undelayed.earnedShare * percent / 100,
        `${this.figures.earnedShare} of ${undelayed.earnedShare}`,
    );
});

Then("callers get at least {int} percent of the value of their calls", function(this: LoadScenario, percent: number) {
    assert(this.figures.earnedShare >= percent / 100, `share ${this.figures.earnedShare} of the value`);
});

Then("no kind of call is served less than a quarter as often as all calls together", function(this: LoadScenario) {
    for (const [name, { calls, inTime, late }] of this.figures.kinds) {
        const served = (inTime + late) / calls;
        assert(
            served >= this.figures.servedShare / 4,
            `${name}: share ${served} served, against ${this.figures.servedShare} of all calls`,
        );
    }
});

Then("at most a quarter of the calls of the highest rank are late or refused", function(this: LoadScenario) {
    const highest = this.relayCase.kinds.find(kind => kind.rank === 0);
    const figures = this.figures.kinds.get(highest?.name ?? "");
    assert(figures);
    const share = (figures.late + figures.refused) / figures.calls;
    assert(share <= 0.25, `share ${share} is late or refused`);
});
