/**
 * Steps for run-once calls, with faults injected at each step of their claims.
 *
 * @module
 */

import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { rankMembers, toClaimKey } from "../../src/coordination/mod.js";
import type { IncomingCall } from "../../src/protocol/mod.js";
import { LinkPoint, type NodeLink } from "../../standin/node_link.js";
import type { Scenario } from "../support/world.js";

/** Duration of a fault, in milliseconds; longer than any answer-time target. */
const FAULT_DURATION_MS = 40_000;

/** Interval between two retries of a caller, in milliseconds. */
const RETRY_INTERVAL_MS = 5_000;

/** Retries before the caller gives up. */
const MAX_RETRIES = 8;

/** Latency added to each call to a slow log, in milliseconds. */
const SLOW_LOG_DELAY_MS = 1_500;

/** Point at which the fault of each step starts, and how many earlier passes of the point are skipped. */
const FAULT_POINTS: Readonly<Record<string, { readonly point: LinkPoint; readonly passes: number }>> = {
    "before append": { point: LinkPoint.BeforeAppend, passes: 0 },
    "append committed": { point: LinkPoint.AppendCommitted, passes: 0 },
    "after claim": { point: LinkPoint.BeforeDispatch, passes: 0 },
    "after dispatch": { point: LinkPoint.Dispatched, passes: 0 },
    "after answer": { point: LinkPoint.Answered, passes: 0 },
    "after outcome": { point: LinkPoint.AppendAcknowledged, passes: 1 },
};

/** Answer that a caller got, and the number of effects at that moment. */
interface CallerAnswer {
    readonly status: number;
    readonly executed: string;
    readonly type: string;
    readonly effects: number;
}

/** Filing of one scenario, with the answers to its callers. */
interface Filing {
    key: string;
    readonly answers: CallerAnswer[];
    /** Reverts the fault; does nothing while there is none. */
    endFault: () => void;
}

const filings = new WeakMap<Scenario, Filing>();

After(function(this: Scenario) {
    if (filings.has(this)) {
        filingOf(this).endFault();
        for (const link of this.fleet.links) {
            link.resume();
        }
    }
});

Given("node {int} appends its own claims", function(this: Scenario, number: number) {
    this.fleet.links[number - 1].isolatedFromPeers = true;
    filingOf(this).key = "filing";
});

Given("node {int} has its claims appended by node {int}", function(this: Scenario, number: number, combiner: number) {
    const members = this.fleet.nodes[number - 1].live;
    const combinerId = this.fleet.nodes[combiner - 1].settings.node;
    const workspace = this.fleet.document.workspaces[0].name;
    const filing = filingOf(this);
    for (let count = 0; filing.key === ""; count++) {
        const [first] = rankMembers(toClaimKey(workspace, `filing-${count}`).stream, members);
        filing.key = first.id === combinerId ? `filing-${count}` : "";
    }
});

Given(/^(the .*) when a filing is at "(.*)"$/, function(this: Scenario, fault: string, step: string) {
    const { point, passes } = FAULT_POINTS[step];
    let passesLeft = passes;
    let started = false;
    for (const link of this.fleet.links) {
        link.listener = async (reached, stream) => {
            if (started || reached !== point || stream !== undefined && !stream.startsWith("claims-") || passesLeft-- > 0) {
                return;
            }
            started = true;
            startFault(this, link, fault);
        };
    }
});

When("the filing is sent to node {int}", async function(this: Scenario, number: number) {
    void submitFiling(this, number);
    await this.fleet.clock.advance(FAULT_DURATION_MS);
});

When(
    "the fault ends and the caller retries at node {int} until the outcome is final",
    async function(this: Scenario, number: number) {
        filingOf(this).endFault();
        await this.fleet.clock.advance(RETRY_INTERVAL_MS);
        for (let retry = 0; retry < MAX_RETRIES; retry++) {
            const call = submitFiling(this, number);
            await this.fleet.clock.runUntil(call);
            await this.fleet.clock.advance(RETRY_INTERVAL_MS);
            const { status, type } = filingOf(this).answers.at(-1) as CallerAnswer;
            if (status === 200 || type.endsWith("already-dispatched")) {
                return;
            }
        }
    },
);

Then(
    "the filing took effect {int} times and the last answer is {string}",
    function(this: Scenario, effects: number, end: string) {
        const { key, answers } = filingOf(this);
        assert.equal(this.fleet.ledger.count(key), effects, JSON.stringify(answers));
        const last = answers.at(-1) as CallerAnswer;
        assert.equal(last.status === 200 ? "done" : last.executed, end, JSON.stringify(answers));
    },
);

Then("no answer about the filing was false", function(this: Scenario) {
    for (const answer of filingOf(this).answers) {
        const allowedEffects = answer.status === 200 ? [1] : answer.executed === "no" ? [0] : [0, 1];
        assert.ok(allowedEffects.includes(answer.effects), JSON.stringify(answer));
    }
});

function filingOf(scenario: Scenario): Filing {
    let filing = filings.get(scenario);
    if (filing === undefined) {
        filing = { key: "", answers: [], endFault: () => undefined };
        filings.set(scenario, filing);
    }
    return filing;
}

/** Sends the filing to a node, waits for the answer and records it. */
async function submitFiling(scenario: Scenario, number: number): Promise<void> {
    const { fleet } = scenario;
    const { key, answers } = filingOf(scenario);
    const call: Partial<IncomingCall> = {
        path: "/v1/services/case-management/claims",
        idempotencyKey: key,
        body: Buffer.from("{}"),
    };
    const answer = fleet.send(fleet.nodes[number - 1], call);
    await answer.done;
    const status = answer.writer.head?.status ?? 0;
    const { executed = "", type = "" } = JSON.parse(answer.writer.text) as Partial<CallerAnswer>;
    answers.push({ status, executed, type, effects: fleet.ledger.count(key) });
}

function startFault(scenario: Scenario, link: NodeLink, fault: string): void {
    const { fleet } = scenario;
    const filing = filingOf(scenario);
    switch (fault) {
        case "the node crashes":
            link.pause();
            fleet.removeVm(fleet.nodes[fleet.links.indexOf(link)].settings.node);
            return;
        case "the node pauses":
            link.pause();
            filing.endFault = () => link.resume();
            return;
        case "the log is down":
            fleet.log.faults.down = true;
            filing.endFault = () => {
                fleet.log.faults.down = false;
            };
            return;
        case "the log is slow":
            setLogDelay(fleet.links, SLOW_LOG_DELAY_MS);
            filing.endFault = () => setLogDelay(fleet.links, 0);
            return;
        case "the node is partitioned":
            link.isolatedFromLog = true;
            link.isolatedFromPeers = true;
            filing.endFault = () => {
                link.isolatedFromLog = false;
                link.isolatedFromPeers = false;
            };
            return;
        case "the answers of appends are lost":
            link.loseAppendAnswers = true;
            filing.endFault = () => {
                link.loseAppendAnswers = false;
            };
            return;
        case "the caller retries at node 2":
            void submitFiling(scenario, 2);
            return;
        default:
            throw new Error(`Cannot start fault "${fault}": it is unknown`);
    }
}

function setLogDelay(links: readonly NodeLink[], delayMs: number): void {
    for (const link of links) {
        link.logDelayMs = delayMs;
    }
}
