/**
 * Steps about limits that servers state for the calls of all nodes, decision by decision and on a model of the fleet.
 *
 * @module
 */

import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { PlatformHeaders } from "../../platform/mod.js";
import { ServerLimits } from "../../src/coordination/relay/mod.js";
import type { AnswerHead } from "../../src/protocol/relay/mod.js";
import type { RelayServer } from "../../src/state/relay/mod.js";
import { VirtualClock } from "../../standin/virtual_clock.js";
import type { Scenario } from "../support/world.js";

/** Time between two answers, and a time longer than a limit is remembered without a call, in milliseconds. */
const STEP_MS = 100;
const FORGOTTEN_MS = 660_000;

/** Header in which a server states its limit. */
const LIMIT_HEADER = "Server-Limit";

/** State of a scenario of this file. */
interface LimitScenario extends Scenario {
    clock: VirtualClock;
    limits: ServerLimits;
    head: AnswerHead;
}

/** Server whose limit is tested. */
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

When("an answer with the limit header {string} is read", function(this: LimitScenario, value: string) {
    this.head = readHead([LIMIT_HEADER, value]);
});

When("an answer with two limit headers is read", function(this: LimitScenario) {
    this.head = readHead([LIMIT_HEADER, "2", LIMIT_HEADER, "3"]);
});

Then(/^the limit of the answer is (.*)$/, function(this: LimitScenario, limit: string) {
    assert(this.head.callLimit !== undefined);
    assert.equal(this.head.callLimit.callsPerSecond, limit === "unreadable" ? undefined : Number(limit));
});

Then("the header is among those for the caller", function(this: LimitScenario) {
    assert(this.head.endToEnd.includes(LIMIT_HEADER));
});

Given("a node that knows of no limit", function(this: LimitScenario) {
    this.clock = new VirtualClock();
    this.limits = new ServerLimits({ clock: this.clock, onChange: () => undefined });
});

When(/^the node (got .*)$/, async function(this: LimitScenario, history: string) {
    const [first, second] = history.split(" and then ");
    await this.clock.advance(STEP_MS);
    const earlierMs = this.clock.now() - STEP_MS;
    recordAnswer(this, first ?? "", this.clock.now());
    await this.clock.advance(STEP_MS);
    if (second === "none for 11 minutes") {
        await this.clock.advance(FORGOTTEN_MS);
    }
    else if (second !== undefined) {
        recordAnswer(this, second, second.endsWith("earlier call") ? earlierMs : this.clock.now());
    }
});

Then(/^it applies (\d+ a second|no limit)$/, function(this: LimitScenario, limit: string) {
    assert.equal(this.limits.callsPerSecond(SERVER), limit === "no limit" ? undefined : parseInt(limit, 10));
});

function recordAnswer({ limits }: LimitScenario, description: string, sentAtMs: number): void {
    const status = description.includes("another server") ? 421 : description.includes("error") ? 500 : 200;
    const isRefusal = description.includes("refusal") || status === 421;
    const limit = /with (?:the limit )?(\d+)/.exec(description)?.[1] ?? (description.includes("unreadable") ? "x" : undefined);
    const headers = [
        ...isRefusal ? ["Not-Executed", "1"] : description.includes("unsealed") ? [] : ["Response-Seal", "seal"],
        ...limit === undefined ? [] : [LIMIT_HEADER, limit],
    ];
    const server = description.includes("previous incarnation") ? { ...SERVER, startedAtMs: 0 } : SERVER;
    limits.recordAnswer(server, readHead(headers, status), sentAtMs);
}

function readHead(headers: readonly string[], status = 200): AnswerHead {
    return new PlatformHeaders().readAnswer(status, headers);
}
