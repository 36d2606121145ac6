/**
 * Steps about soaks of relay nodes that run as processes.
 *
 * @module
 */

import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { runReplacement, runSoak, type SoakKind, type SoakResult } from "../../platform/standin/soak/soak_run.js";
import type { Scenario } from "../support/world.js";

/** Folder with the bundle of this build. */
const BUNDLE = "dist";

/** Environment variable with the folder of an earlier build's bundle; this build replaces itself if it is not set. */
const OLD_BUNDLE_VARIABLE = "FOXTAILRAIL_OLD_BUNDLE";

/** Fewest answered calls from which a run says anything. */
const MIN_ANSWERED_CALLS = 100;

/** Findings that are printed. */
const PRINTED_FINDINGS = 12;

/** State of a scenario of this file. */
interface SoakScenario extends Scenario {
    soak: SoakResult;
}

When(
    /^a (soak|calm soak|refusing soak) of (\d+) s runs with seed (\d+)$/,
    async function(this: SoakScenario, kind: SoakKind, seconds: string, seed: string) {
        const durationMs = Number(seconds) * 1_000;
        this.soak = await runSoak({ seed: Number(seed), durationMs, bundle: BUNDLE, kind });
    },
);

When(
    /^the nodes are replaced one after the other and back, with seed (\d+), and (all nodes reach|one node hands).*$/,
    async function(this: SoakScenario, seed: string, reach: string) {
        const oldBundle = process.env[OLD_BUNDLE_VARIABLE] ?? BUNDLE;
        const isCut = reach === "one node hands";
        this.soak = await runReplacement({ seed: Number(seed), oldBundle, newBundle: BUNDLE, isCut });
    },
);

Then("no rule is broken", function(this: SoakScenario) {
    const { calls, actions } = this.soak;
    // Faults of an earlier build are not those of this one.
    const findings = this.soak.findings.filter(({ bundle }) => bundle === undefined || bundle === BUNDLE);
    const lines = findings.slice(0, PRINTED_FINDINGS).map(({ rule, detail }) => `${rule}: ${detail}`);
    assert.equal(findings.length, 0, `${findings.length} findings\n${lines.join("\n")}\nactions: ${actions.join(", ")}`);
    assert((calls["200"] ?? 0) >= MIN_ANSWERED_CALLS, JSON.stringify(calls));
});
