/**
 * Steps about the bytes with which backend servers state, or seem to state, that a call has not run.
 *
 * @module
 */

import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { EngineServer } from "../../platform/standin/engine_server.js";
import { NOT_RUN_STATUSES } from "../../src/protocol/relay/mod.js";
import { type ByteAnswer, ByteServer, ConnectionEnd } from "../support/byte_server.js";
import { type CallerAnswer, RelayFixture } from "../support/relay_fixture.js";
import type { Scenario } from "../support/world.js";

/** Time for which the caller waits, in milliseconds; a refused call may wait for another server until then. */
const DEADLINE_MS = "1000";

/** Body of the answer of a server that ran the call. */
const SEALED_BODY = "sealed";

const STATEMENT = "Not-Executed: 1";
const EMPTY = "Content-Length: 0";

/** Formats an answer by its status and the id of its call. */
type AnswerForm = (status: number, id: string) => string;

const FORMS: ReadonlyMap<string, AnswerForm> = new Map<string, AnswerForm>([
    ["without a statement", (status, id) => formatHead(status, ownId(id), EMPTY)],
    ["with a statement", (status, id) => formatHead(status, ownId(id), STATEMENT, EMPTY)],
    ["with a statement and a seal", (status, id) => formatHead(status, ownId(id), STATEMENT, "Response-Seal: seal", EMPTY)],
    [
        "with the statement in a trailer",
        (status, id) => `${formatHead(status, ownId(id), "Transfer-Encoding: chunked")}2\r\nno\r\n0\r\n${STATEMENT}\r\n\r\n`,
    ],
    [
        "with the statement in an interim head",
        (status, id) => formatHead(102, ownId(id), STATEMENT) + formatHead(status, ownId(id), "Response-Seal: seal", EMPTY),
    ],
    [
        "with the statement in the value of another header",
        (status, id) => formatHead(status, ownId(id), `Via: ${STATEMENT}`, EMPTY),
    ],
    [
        "with the statement folded into another header",
        (status, id) => formatHead(status, ownId(id), `Via: a\r\n ${STATEMENT}`, EMPTY),
    ],
    [
        "with the statement in its body",
        (status, id) => formatHead(status, ownId(id), `Content-Length: ${STATEMENT.length + 4}`) + `${STATEMENT}\r\n\r\n`,
    ],
    ["with a statement whose name ends with a space", (status, id) => formatHead(status, ownId(id), "Not-Executed : 1", EMPTY)],
    ["with a statement that is cut within its head", (status, id) => formatHead(status, ownId(id), STATEMENT).slice(0, -3)],
    [
        "with a statement that is cut before the end of its head",
        (status, id) => formatHead(status, ownId(id), STATEMENT, EMPTY).slice(0, -2),
    ],
    [
        "with a statement that is reset before the end of its head",
        (status, id) => formatHead(status, ownId(id), STATEMENT, EMPTY).slice(0, -1),
    ],
    ["with a statement and no id", status => formatHead(status, STATEMENT, EMPTY)],
    ["with a statement and the id of another call", status => formatHead(status, ownId("other"), STATEMENT, EMPTY)],
    [
        "with a statement, the call's id and that of another call",
        (status, id) => formatHead(status, ownId(id), ownId("other"), STATEMENT, EMPTY),
    ],
    [
        "with a statement, the id of another call and the call's",
        (status, id) => formatHead(status, ownId("other"), ownId(id), STATEMENT, EMPTY),
    ],
    [
        "without a statement, the id of another call and the call's",
        (status, id) => formatHead(status, ownId("other"), ownId(id), EMPTY),
    ],
    ["with a statement and both ids in one header", (status, id) => formatHead(status, ownId(`other, ${id}`), STATEMENT, EMPTY)],
    [
        "with a statement for another call, and the sealed answer",
        (status, id) => formatHead(status, ownId("other"), STATEMENT, EMPTY) + formatSealed(id),
    ],
    ["without a statement and without an id", status => formatHead(status, EMPTY)],
    [
        "with a statement that is sent twice in its head",
        (status, id) => formatHead(status, ownId(id), STATEMENT, STATEMENT, EMPTY),
    ],
    ["with a statement and the call's id twice", (status, id) => formatHead(status, ownId(id), ownId(id), STATEMENT, EMPTY)],
    [
        "with a statement that its connection header lists",
        (status, id) => formatHead(status, ownId(id), "Connection: not-executed", STATEMENT, EMPTY),
    ],
    [
        "with a statement whose body is cut",
        (status, id) => `${formatHead(status, ownId(id), STATEMENT, "Content-Length: 9")}part`,
    ],
    [
        "with a statement after an interim head",
        (status, id) => formatHead(102) + formatHead(status, ownId(id), STATEMENT, EMPTY),
    ],
    [
        "with a statement, and then the sealed answer of the call",
        (status, id) => formatHead(status, ownId(id), STATEMENT, EMPTY) + formatSealed(id),
    ],
    [
        "with a statement behind the sealed answer of the call",
        (status, id) => formatSealed(id) + formatHead(status, ownId(id), STATEMENT, EMPTY),
    ],
]);

/** State of a scenario of this file. */
interface RefusalScenario extends Scenario {
    refusingServer: ByteServer;
    refusalRelay: RelayFixture;
    refusedCalls: number;
    refusalAnswer: CallerAnswer;
}

After(async function(this: RefusalScenario) {
    await this.refusalRelay?.stop();
    this.refusingServer?.close();
});

Given(/^a relay whose server answers (\d+) (with.*)$/, async function(this: RefusalScenario, status: string, name: string) {
    const form = FORMS.get(name);
    assert(form !== undefined, `unknown form: ${name}`);
    this.refusedCalls = 0;
    this.refusingServer = new ByteServer((head): ByteAnswer => {
        this.refusedCalls += 1;
        const id = /\r\nrequest-id: ([^\r]*)/i.exec(head)?.[1] ?? "";
        return { bytes: form(Number(status), id), end: endOf(name) };
    });
    await this.refusingServer.start();
    const entry = new EngineServer("engine-1").serverEntry("service", { Address: this.refusingServer.address });
    this.refusalRelay = new RelayFixture();
    await this.refusalRelay.start([], false, store => store.put("keyed.servers", "engine-1", entry));
});

When("the call that it gets may run once at most", async function(this: RefusalScenario) {
    this.refusalAnswer = await this.refusalRelay.send({ path: "/unsafe/x", headers: { "Deadline-Ms": DEADLINE_MS } });
    assert.equal(this.refusedCalls, 1, "calls that reached the server");
});

Then(/^the caller is (told|not told) that the call has not run$/, function(this: RefusalScenario, told: string) {
    const { status, body } = this.refusalAnswer;
    assert.equal(NOT_RUN_STATUSES.has(status), told === "told", `status ${status}: ${body}`);
});

Then("the caller gets the sealed answer", function(this: RefusalScenario) {
    const { status, body } = this.refusalAnswer;
    assert.deepEqual({ status, body }, { status: 200, body: SEALED_BODY });
});

/** Returns how the connection of an answer ends. */
function endOf(name: string): ConnectionEnd {
    if (name.includes("reset")) {
        return ConnectionEnd.Reset;
    }
    return name.includes("cut") ? ConnectionEnd.Close : ConnectionEnd.Open;
}

function ownId(id: string): string {
    return `Request-Id: ${id}`;
}

function formatHead(status: number, ...lines: readonly string[]): string {
    return `${[`HTTP/1.1 ${status} Status`, ...lines].join("\r\n")}\r\n\r\n`;
}

function formatSealed(id: string): string {
    return formatHead(200, ownId(id), "Response-Seal: seal", `Content-Length: ${SEALED_BODY.length}`) + SEALED_BODY;
}
