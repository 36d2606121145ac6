/**
 * Steps about calls and their answers.
 *
 * @module
 */

import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { IncomingCall } from "../../src/protocol/mod.js";
import { type EngineModel, expectedAnswer } from "../../standin/engine_model.js";
import type { Scenario } from "../support/world.js";

/** Delay of an answer beyond the deadline of every operation, in milliseconds. */
const PAST_DEADLINE_DELAY_MS = 200_000;

/** Fields of a chat completion or streamed chunk that the steps read. */
interface ChatCompletion {
    readonly choices: readonly {
        readonly message?: { readonly content: string };
        readonly delta?: { readonly content?: string };
    }[];
}

Given("the {string} fleet", async function(this: Scenario, example: string) {
    await this.startFleet(example);
});

Given(
    /^all backend servers of "([^"]*)"( but one)? break their streams after (\d+) tokens$/,
    function(this: Scenario, pool: string, butOne: string | undefined, tokens: string) {
        for (const engine of enginesOf(this, pool).slice(butOne ? 1 : 0)) {
            engine.faults.breakAfterTokens = Number(tokens);
        }
    },
);

Given("all backend servers of {string} answer with another request's id", function(this: Scenario, pool: string) {
    for (const engine of enginesOf(this, pool)) {
        engine.faults.cross = true;
    }
});

Given(/^a backend server that (.*)$/, function(this: Scenario, fault: string) {
    for (const service of this.fleet.services.values()) {
        switch (fault) {
            case "refuses the connection":
                service.faults.refuse = true;
                break;
            case "breaks after the effect":
                service.faults.breakAfterEffect = true;
                break;
            case "answers another request":
                service.faults.cross = true;
                break;
            case "answers after the deadline":
                service.faults.delayMs = PAST_DEADLINE_DELAY_MS;
                break;
            default:
                throw new Error(`Cannot set fault "${fault}": no such fault exists`);
        }
    }
});

Given(
    "a {string} call with key {string} and body {string} was answered",
    async function(this: Scenario, operation: string, key: string, body: string) {
        sendServiceCall(this, operation, { idempotencyKey: key, body: Buffer.from(body) });
        await this.finishCalls();
        assert.equal(this.answer.writer.head?.status, 200);
    },
);

When(/^an? "([^"]*)" call is sent, (buffered|streamed)$/, async function(this: Scenario, operation: string, mode: string) {
    sendChat(this, { operationName: operation }, mode === "streamed");
    await this.finishCalls();
});

When("a {string} call is sent to a plain service", async function(this: Scenario, semantics: string) {
    const lookup: Partial<IncomingCall> = { method: "GET", path: "/v1/services/case-management/status" };
    const filing: Partial<IncomingCall> = { path: "/v1/services/case-management/claims" };
    sendCall(this, { ...(semantics === "runOnce" ? filing : lookup), idempotencyKey: "key" });
    await this.finishCalls();
});

When(
    "a {string} call with key {string} and body {string} is sent",
    async function(this: Scenario, operation: string, key: string, body: string) {
        sendServiceCall(this, operation, { idempotencyKey: key, body: Buffer.from(body) });
        await this.finishCalls();
    },
);

When(/^a call is sent with (.*)$/, async function(this: Scenario, change: string) {
    sendChat(this, { operationName: "dossier-summary", ...parseChange(change) }, false);
    await this.finishCalls();
});

Then("the caller gets the complete answer to this call", function(this: Scenario) {
    const { writer } = this.answer;
    assert.equal(writer.head?.status, 200, writer.text);
    assert.ok(writer.ended);
    const body = this.bodies.at(-1) as Buffer;
    const streamed = writer.head?.contentType === "text/event-stream";
    assert.equal(streamed ? parseStreamText(writer.text) : parseCompletionText(writer.text), expectedAnswer(body));
});

Then("the caller gets the same answer as before", function(this: Scenario) {
    assert.equal(this.answer.writer.text, this.answers[0].writer.text);
    assert.equal(this.answer.writer.head?.status, 200);
});

Then("the caller gets an aborted stream without its terminal marker", function(this: Scenario) {
    const { writer } = this.answer;
    assert.ok(writer.aborted);
    assert.ok(!writer.ended);
    assert.ok(!writer.text.includes("[DONE]"));
});

Then(
    "the caller gets refusal {int} {string}, executed {string}",
    function(this: Scenario, status: number, type: string, executed: string) {
        const { writer } = this.answer;
        assert.equal(writer.head?.contentType, "application/problem+json", writer.text);
        const problem = JSON.parse(writer.text) as { readonly type: string; readonly executed: string };
        assert.deepEqual(
            [writer.head?.status, problem.type, problem.executed],
            [status, `urn:foxtailrail:problem:${type}`, executed],
        );
    },
);

Then("the refusal names the field {string}", function(this: Scenario, field: string) {
    assert.equal((JSON.parse(this.answer.writer.text) as { readonly field: string }).field, field);
});

Then("the plain services took {int} effects", function(this: Scenario, count: number) {
    assert.equal(this.fleet.ledger.total, count);
});

Then("the timeline has an event {string} of the call", function(this: Scenario, kind: string) {
    const events = this.fleet.nodes.flatMap(node => node.ring.list());
    assert.ok(events.some(event => event.kind === kind && event.requestId === this.answer.id));
});

function enginesOf(scenario: Scenario, pool: string): readonly EngineModel[] {
    return [...scenario.fleet.engines].filter(([id]) => id.startsWith(pool)).map(([, engine]) => engine);
}

function sendCall(scenario: Scenario, call: Partial<IncomingCall>): void {
    scenario.bodies.push(call.body ?? Buffer.alloc(0));
    scenario.answers.push(scenario.fleet.send(scenario.fleet.nodes[0], call));
}

function sendChat(scenario: Scenario, call: Partial<IncomingCall>, streamed: boolean): void {
    const messages = [{ role: "user", content: `Call ${scenario.answers.length}: summarise the dossier.` }];
    const body = Buffer.from(JSON.stringify({ model: "default", stream: streamed, max_tokens: 400, messages }));
    sendCall(scenario, { body, ...call });
}

function sendServiceCall(scenario: Scenario, operation: string, call: Partial<IncomingCall>): void {
    const [route] = scenario.fleet.document.operations.find(candidate => candidate.name === operation)?.routes ?? [];
    sendCall(scenario, { method: route.method, path: `/v1/services/${route.service}${route.pathPrefix}`, ...call });
}

function parseChange(change: string): Partial<IncomingCall> {
    const [, kind, value = ""] =
        /^(no workspace key|no operation|an idempotency key|workspace key|operation|body|path)(?: "(.*)")?/
            .exec(change) ?? [];
    switch (kind) {
        case "no workspace key":
            return { bearerKey: undefined };
        case "no operation":
            return { operationName: undefined };
        case "an idempotency key":
            return { idempotencyKey: "k".repeat(256) };
        case "workspace key":
            return { bearerKey: value };
        case "operation":
            return { operationName: value };
        case "body":
            return { body: Buffer.from(value.replaceAll('\\"', '"')) };
        case "path":
            return { path: value };
        default:
            throw new Error(`Cannot send a call: the change "${change}" is unknown`);
    }
}

function parseCompletionText(text: string): string | undefined {
    return (JSON.parse(text) as ChatCompletion).choices[0].message?.content;
}

function parseStreamText(text: string): string {
    const events = text.split("\n\n").filter(event => event !== "").map(event => event.slice("data: ".length));
    assert.equal(events.pop(), "[DONE]");
    return events.map(event => (JSON.parse(event) as ChatCompletion).choices[0].delta?.content ?? "").join("");
}
