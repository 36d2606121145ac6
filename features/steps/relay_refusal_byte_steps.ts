/**
 * Steps about the bytes with which backend servers state, or seem to state, that a call has not run.
 *
 * @module
 */

import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { PlatformHeaders } from "../../platform/mod.js";
import { EngineServer } from "../../platform/standin/engine_server.js";
import { AttemptError, NOT_RUN_STATUSES } from "../../src/protocol/relay/mod.js";
import { HttpAttemptAnswer } from "../../src/transport/relay/http_attempt_answer.js";
import { HttpClient, HttpExchange } from "../../src/transport/relay/mod.js";
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
    ["with a reason that is cut, and the sealed answer", (status, id) => `HTTP/1.1 ${status} Sta${formatSealed(id)}`],
    [
        "with a statement, cut before any id, and the sealed answer",
        (status, id) => formatHead(status, STATEMENT, "Via: a").slice(0, -4) + formatSealed(id),
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

/** Reading of an answer that failed. */
const FAILED = "failed";

/** Id of the call to which answers are read one after the other. */
const READ_ID = "call-1";

/** Extra answers that belong to another call. */
const EXTRA_ANSWERS: Readonly<Record<string, string>> = {
    "the refusal of another call": formatHead(503, ownId("other"), STATEMENT, "Engine-Load: 1,2,3", EMPTY),
    "a refusal that names its call last": formatHead(503, STATEMENT, "Engine-Load: 1,2,3", EMPTY, ownId("other")),
    "a 421 to another call": formatHead(421, ownId("other"), "Instance-Id: i-1", EMPTY),
    "a sealed answer to another call": formatHead(200, "Response-Seal: seal", "Engine-Load: 1,2,3", EMPTY, ownId("other")),
};

/** Answers to the call that is read, by name. */
const READ_ANSWERS: Readonly<Record<string, string>> = {
    "the sealed answer": formatSealed(READ_ID),
    "a sealed failure": formatHead(500, ownId(READ_ID), "Response-Seal: seal", EMPTY),
    "a refusal": formatHead(503, ownId(READ_ID), STATEMENT, EMPTY),
};

/** State of a scenario of this file. */
interface RefusalScenario extends Scenario {
    refusingServer: ByteServer;
    refusalRelay: RelayFixture;
    refusedCalls: number;
    refusalAnswer: CallerAnswer;
    readClient: HttpClient;
    /** Bytes of the answers that are read one after the other. */
    readBytes: string[];
    readings: string[];
}

After(async function(this: RefusalScenario) {
    await this.refusalRelay?.stop();
    this.refusingServer?.close();
    await this.readClient?.close();
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

Given(
    /^a server that sends (.+) before (.+), cut at each of its bytes$/,
    async function(this: RefusalScenario, extra: string, answer: string) {
        const extraBytes = EXTRA_ANSWERS[extra];
        const answerBytes = READ_ANSWERS[answer];
        assert(extraBytes !== undefined && answerBytes !== undefined, `unknown answers: ${extra}, ${answer}`);
        this.readBytes = Array.from({ length: extraBytes.length }, (value, cut) => extraBytes.slice(0, cut) + answerBytes);
        this.readings = [];
        this.readClient = new HttpClient();
        this.refusingServer = new ByteServer(() => ({
            bytes: this.readBytes[this.readings.length] ?? "",
            end: ConnectionEnd.Open,
        }));
        await this.refusingServer.start();
    },
);

When("each of these answers is read", async function(this: RefusalScenario) {
    while (this.readings.length < this.readBytes.length) {
        this.readings.push(await readOutcome(this.readClient, this.refusingServer.address));
    }
});

Then(/^each of them fails or is (.+)$/, async function(this: RefusalScenario, answer: string) {
    const server = new ByteServer(() => ({ bytes: READ_ANSWERS[answer] ?? "", end: ConnectionEnd.Open }));
    await server.start();
    const expected = await readOutcome(this.readClient, server.address);
    server.close();
    assert.notEqual(expected, FAILED);
    assert.equal(this.readings[0], expected, "without the extra answer");
    const wrong = this.readings.flatMap((reading, cut) => {
        return reading === FAILED || reading === expected ? [] : [`cut at byte ${cut}: ${reading}`];
    });
    assert.deepEqual(wrong, []);
});

/** Sends the call and returns what its answer says, or that it failed. */
async function readOutcome(client: HttpClient, address: string): Promise<string> {
    const { signal } = new AbortController();
    const request = { method: "POST", path: "/", headers: ["Request-Id", READ_ID], body: Buffer.from("body") };
    const answer = new HttpAttemptAnswer(new HttpExchange(client.pool(address), request, signal), {
        receiver: "engine-1",
        callId: READ_ID,
        headers: new PlatformHeaders(),
        signal,
    });
    try {
        const { status, isNotExecuted, isSealed } = await answer.awaitHead();
        const body: Buffer[] = [];
        for (let chunk = await answer.next(); chunk !== undefined; chunk = await answer.next()) {
            body.push(chunk);
        }
        return JSON.stringify({ status, isNotExecuted, isSealed, body: String(Buffer.concat(body)) });
    }
    catch (error) {
        assert(error instanceof AttemptError);
        return FAILED;
    }
    finally {
        answer.cancel();
    }
}

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
