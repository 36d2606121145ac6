/**
 * Steps that play loads over fleets of relay nodes and look at what callers get.
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

When("the relay plays {string}", async function(this: LoadScenario, name: string) {
    const found = RELAY_CASES.find(relayCase => relayCase.name === name);
    assert(found, `no case is named ${name}`);
    this.relayCase = found;
    this.figures = await new RelaySimulation(found, SEED).run();
});

Then("callers get at least {int} in 100 of what nodes that know each other's calls at any moment would get them", async function(
    this: LoadScenario,
    percent: number,
) {
    const best = await new RelaySimulation({ ...this.relayCase, reportAgeMs: 0 }, SEED).run();
    assert(this.figures.earnedShare >= best.earnedShare * percent / 100, `${this.figures.earnedShare} of ${best.earnedShare}`);
});

Then("callers get at least {int} in 100 of the worth of their calls", function(this: LoadScenario, percent: number) {
    assert(this.figures.earnedShare >= percent / 100, `${this.figures.earnedShare}`);
});

Then("no kind of call is served less than a quarter as often as all", function(this: LoadScenario) {
    for (const [name, { calls, inTime, late }] of this.figures.kinds) {
        const served = (inTime + late) / calls;
        assert(served >= this.figures.servedShare / 4, `${name}: ${served} of ${this.figures.servedShare}`);
    }
});

Then("at most a quarter of the calls of the first rank are late or refused", function(this: LoadScenario) {
    const first = this.relayCase.kinds.find(kind => kind.rank === 0);
    const figures = this.figures.kinds.get(first?.name ?? "");
    assert(figures);
    const share = (figures.late + figures.refused) / figures.calls;
    assert(share <= 0.25, `${share}`);
});
