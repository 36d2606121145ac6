/**
 * Steps about callers that expect an interim head before they send a body (RFC 9110, section 10.1.1), over real loopback connections.
 *
 * @module
 */

import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { PlatformHeaders } from "../../platform/mod.js";
import { type AnswerWriter, CallHandler, type IncomingCall } from "../../src/protocol/mod.js";
import { DetourCall } from "../../src/protocol/relay/mod.js";
import { SystemClock } from "../../src/state/mod.js";
import { HttpServer } from "../../src/transport/mod.js";
import { CallerServer, DETOUR_PATH, DetourServer, type HttpRelayAnswer } from "../../src/transport/relay/mod.js";
import { type RawAnswer, RawCaller } from "../support/raw_caller.js";
import type { Scenario } from "../support/world.js";

/** Time that a slow answer, or the pause of a stream, takes, in milliseconds. */
const WORK_MS = 120;

/** Time after which what was written is read by the server, in milliseconds; shorter than {@linkcode WORK_MS}. */
const READ_MS = 30;

/** Headers of a call beyond which the server of an entry VM refuses it. */
const CROWDED_HEADER_COUNT = 101;

/** Body of calls to servers that take any body. */
const BODY = "body of the call";

/** Header of a caller that waits for an interim head. */
const EXPECTATION = "Expect: 100-continue\r\n";

/** Status of the answer for each path whose status is not 200. */
const STATUS_BY_PATH: Readonly<Record<string, number>> = { "/missing": 404, "/busy": 503 };

/** Server under test. */
interface TestedServer {
    readonly port: number;
    /** Formats the head and the body of a call. */
    readonly format: (call: SentCall) => MessageParts;
    readonly stop: () => void;
    readonly close: () => void;
}

/** Call to be sent. */
interface SentCall {
    readonly method: string;
    readonly path: string;
    readonly version: string;
    /** Lines of headers besides those of every call. */
    readonly headers: string;
}

/** Head and body of a call. */
interface MessageParts {
    readonly head: string;
    readonly body: string;
}

/** State of a scenario of this file. */
interface ExpectationScenario extends Scenario {
    tested: TestedServer;
    expectingCaller: RawCaller;
    handledPaths: string[];
    /** Calls in the order in which they were sent. */
    sentCalls: SentCall[];
}

After(function(this: ExpectationScenario) {
    this.expectingCaller?.close();
    this.tested?.close();
});

/** Handler that answers by the path of a call. */
class PathHandler extends CallHandler {
    constructor(private readonly handledPaths: string[]) {
        super();
    }

    override async handle({ path }: IncomingCall, writer: AnswerWriter): Promise<void> {
        this.handledPaths.push(path);
        const text = Buffer.from(answerText(path));
        if (path === "/stream") {
            writer.writeHead({ status: 200, contentType: "text/plain" });
            await writer.write(text.subarray(0, 3));
            await pause(WORK_MS);
            await writer.write(text.subarray(3));
            writer.end();
            return;
        }
        await pause(path === "/slow" ? WORK_MS : 0);
        writer.writeComplete({ status: STATUS_BY_PATH[path] ?? 200, contentType: "text/plain" }, text);
    }
}

Given("a relay node whose calls are answered by their path", async function(this: ExpectationScenario) {
    this.handledPaths = [];
    const server = new CallerServer({
        clock: new SystemClock(),
        headers: new PlatformHeaders(),
        receive: (call, answer) => answerByPath(call.target, answer, this.handledPaths),
        onError: error => assert.fail(String(error)),
        onListenerError: error => assert.fail(String(error)),
        onCut: () => undefined,
        onIdleClose: () => undefined,
    });
    await server.listen("127.0.0.1", 0);
    let lastId = 0;
    await connect(this, {
        port: server.port,
        format: call => {
            lastId += 1;
            const id = call.path === "/invalid" ? "" : `Request-Id: call-${lastId}\r\n`;
            return formatParts(call, `${id}Api-Key: key-1\r\nDeadline-Ms: 5000\r\n`, call.path, BODY);
        },
        stop: () => {
            server.startDraining();
            server.refuseUnread();
        },
        close: () => server.closeAll(),
    });
});

Given("a node for others whose calls are answered by their path", async function(this: ExpectationScenario) {
    this.handledPaths = [];
    const server = new DetourServer({
        clock: new SystemClock(),
        isNode: () => true,
        receive: (call, answer) => {
            void answerByPath(call.target, answer, this.handledPaths);
            return undefined;
        },
        onListenerError: error => assert.fail(String(error)),
        onRejected: () => undefined,
    });
    await server.listen("127.0.0.1", 0);
    await connect(this, {
        port: server.port,
        format: call => formatParts(call, "", DETOUR_PATH, encodeMessage(call.path)),
        stop: () => {
            server.stop();
            server.refuseUnread();
        },
        close: () => server.closeAll(),
    });
});

Given("an entry VM whose calls are answered by their path", async function(this: ExpectationScenario) {
    this.handledPaths = [];
    const page = { status: 200, contentType: "text/plain", body: answerText("/page") };
    const server = new HttpServer({
        clock: new SystemClock(),
        node: "entry-1",
        handler: new PathHandler(this.handledPaths),
        operationsPage: path => Promise.resolve(path === "/page" ? page : undefined),
        onError: error => assert.fail(String(error)),
    });
    const port = await server.listen("127.0.0.1", 0);
    await connect(this, {
        port,
        format: call => formatParts(call, "", call.path, BODY),
        stop: () => void server.stopAccepting(),
        close: () => server.close(),
    });
});

When(
    /^a connection sends the calls "([^"]*)" and then "([^"]*)" with an expectation, the last body (.*)$/,
    async function(this: ExpectationScenario, first: string, expecting: string, moment: string) {
        const paths = listPaths(expecting);
        const front = formatWhole(this, listPaths(first)) + formatWhole(this, paths.slice(0, -1), EXPECTATION);
        const { head, body } = formatNext(this, paths.at(-1) ?? "", EXPECTATION);
        if (moment === "with its head") {
            write(this, front + head + body);
            return;
        }
        const firstPart = moment === "in two parts" ? body.slice(0, 4) : "";
        write(this, front + head + firstPart);
        if (moment === "never") {
            return;
        }
        if (moment === "after the interim head") {
            const answers = await this.expectingCaller.readAnswers(this.sentCalls.length);
            assert.equal(answers.at(-1)?.status, 100, JSON.stringify(answers));
        }
        else {
            await pause(READ_MS);
        }
        write(this, body.slice(firstPart.length));
    },
);

When(
    /^a connection sends the calls "([^"]*)" and then "(?:(GET|HEAD|HTTP\/1\.0|unknown) )(\S+)" with its body$/,
    function(this: ExpectationScenario, first: string, variant: string, path: string) {
        const front = formatWhole(this, listPaths(first));
        const { head, body } = formatNext(this, path, ...VARIANTS[variant] ?? []);
        write(this, front + head + body);
    },
);

When(
    "a connection sends the calls {string} and then {string} with an expectation, and the node stops",
    async function(this: ExpectationScenario, first: string, expecting: string) {
        const front = formatWhole(this, listPaths(first));
        write(this, front + formatNext(this, expecting, EXPECTATION).head);
        await pause(READ_MS);
        this.tested.stop();
    },
);

When(
    "a connection sends the calls {string} and then {string} with an expectation, and without waiting its body and {string}",
    async function(this: ExpectationScenario, first: string, expecting: string, last: string) {
        const front = formatWhole(this, listPaths(first));
        const { head, body } = formatNext(this, expecting, EXPECTATION);
        write(this, front + head);
        await pause(READ_MS);
        write(this, body + formatWhole(this, [last]));
    },
);

When(
    "a connection sends the calls {string} with the head of a call, and later its body, which holds a call",
    async function(this: ExpectationScenario, paths: string) {
        const front = formatWhole(this, listPaths(paths));
        const inner = formatWhole(this, ["/now"]);
        const { head } = formatNext(this, "/now");
        write(this, front + head.replace(`Content-Length: ${BODY.length}`, `Content-Length: ${inner.length}`));
        await pause(READ_MS);
        write(this, inner);
    },
);

When("a connection sends the calls {string}", function(this: ExpectationScenario, paths: string) {
    write(this, formatWhole(this, listPaths(paths)));
});

Then(
    /^the connection gets the answers ([\d ]+), each with its own body, and (.*)$/,
    async function(this: ExpectationScenario, statuses: string, end: string) {
        const count = statuses.split(" ").length;
        const headIndex = this.sentCalls.findIndex(({ method }) => method === "HEAD");
        let answers = await this.expectingCaller.readAnswers(count, headIndex);
        assert.equal(listStatuses(answers), statuses);
        if (end === "a further call is answered") {
            write(this, formatWhole(this, ["/now"]));
            answers = await this.expectingCaller.readAnswers(count + 1, headIndex);
            assert.equal(listStatuses(answers), `${statuses} 200`);
        }
        else {
            await (end === "nothing more" ? pause(WORK_MS) : this.expectingCaller.awaitClose());
            assert.equal(listStatuses(await this.expectingCaller.readAnswers(count, headIndex)), statuses);
        }
        assertOwnBodies(answers, this.sentCalls);
    },
);

Then("the calls that were handled are {string}", function(this: ExpectationScenario, paths: string) {
    assert.deepEqual(this.handledPaths, listPaths(paths));
});

/** Method, version and headers of calls whose expectation is ignored or not known. */
const VARIANTS: Readonly<Record<string, readonly [headers: string, method?: string, version?: string]>> = {
    "GET": [EXPECTATION, "GET"],
    "HEAD": [EXPECTATION, "HEAD"],
    "HTTP/1.0": [`${EXPECTATION}Connection: keep-alive\r\n`, "POST", "1.0"],
    "unknown": ["Expect: another-thing\r\n"],
};

async function connect(scenario: ExpectationScenario, server: TestedServer): Promise<void> {
    scenario.tested = server;
    scenario.sentCalls = [];
    scenario.expectingCaller = await RawCaller.connect(`127.0.0.1:${server.port}`);
}

function write({ expectingCaller }: ExpectationScenario, text: string): void {
    expectingCaller.write(Buffer.from(text, "latin1"));
}

/** Answers a call of a relay node, or of another one, by its path. */
async function answerByPath(path: string, answer: HttpRelayAnswer, handledPaths: string[]): Promise<void> {
    handledPaths.push(path);
    const text = Buffer.from(answerText(path));
    if (path === "/stream") {
        answer.start(200, ["content-type", "text/plain"]);
        await answer.write(text.subarray(0, 3));
        await pause(WORK_MS);
        await answer.write(text.subarray(3));
        answer.end();
        return;
    }
    if (path === "/slow") {
        await pause(WORK_MS);
    }
    answer.sendComplete(STATUS_BY_PATH[path] ?? 200, ["content-type", "text/plain"], text);
}

function answerText(path: string): string {
    return `answer to ${path}\n`;
}

function pause(delayMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, delayMs));
}

function listPaths(text: string): readonly string[] {
    return text === "-" ? [] : text.split(", ");
}

/** Formats the next call of a scenario. */
function formatNext(scenario: ExpectationScenario, path: string, headers = "", method = "POST", version = "1.1"): MessageParts {
    const call = { method, path, version, headers };
    scenario.sentCalls.push(call);
    return scenario.tested.format(call);
}

function formatWhole(scenario: ExpectationScenario, paths: readonly string[], headers = ""): string {
    return paths.map(path => formatNext(scenario, path, headers)).map(({ head, body }) => head + body).join("");
}

function formatParts(
    { method, path, version, headers }: SentCall,
    ownHeaders: string,
    target: string,
    body: string,
): MessageParts {
    const hasBody = method === "POST";
    const crowd = path === "/crowded" ? "X: 1\r\n".repeat(CROWDED_HEADER_COUNT) : "";
    const isMalformed = path === "/malformed";
    const length = isMalformed ? "Transfer-Encoding: chunked\r\n" : `Content-Length: ${body.length}\r\n`;
    const host = path === "/hostless" ? "" : "Host: app.example\r\n";
    const offer = path === "/upgrade" ? "Connection: Upgrade\r\nUpgrade: h2c\r\n" : "";
    const verb = path === "/page" ? "GET" : method;
    const head = `${verb} ${target} HTTP/${version}\r\n${host}${ownHeaders}${headers}${offer}${crowd}${
        hasBody ? length : ""
    }\r\n`;
    return { head, body: isMalformed ? "no chunk\r\n" : hasBody ? body : "" };
}

function listStatuses(answers: readonly RawAnswer[]): string {
    return answers.map(({ status, isComplete }) => isComplete ? String(status) : `${status} cut`).join(" ");
}

/** Checks that each final answer is that of its call: the text of its path, or a refusal of the server. */
function assertOwnBodies(answers: readonly RawAnswer[], sentCalls: readonly SentCall[]): void {
    const finalAnswers = answers.filter(({ status }) => status >= 200);
    for (const [index, { status, body }] of finalAnswers.entries()) {
        const { path = "", method } = sentCalls[index] ?? {};
        if (status !== (STATUS_BY_PATH[path] ?? 200)) {
            assert(body === "" || typeof JSON.parse(body) === "object", body);
            continue;
        }
        assert.equal(body, method === "HEAD" ? "" : answerText(path));
    }
}

/** Encodes a call of another node. */
function encodeMessage(target: string): string {
    const message = DetourCall.encode({
        headers: ["Host", "app.example", "Request-Id", "call-1"],
        method: "POST",
        target,
        body: Buffer.from(BODY),
        lastEventId: "",
        service: "service",
        route: {
            name: "unsafe",
            isRepeatable: false,
            isStream: false,
            isResumable: false,
            timeoutMs: 5_000,
            objectiveMs: 500,
            rank: 0,
            maxAttempts: 1,
        },
        workspace: "clinic",
        workspaceRank: 0,
        elapsedMs: 0,
        deadlineMs: 5_000,
        firstAttemptDeadlineMs: 5_000,
        configurationVersion: 1,
        homeRegions: [],
        confinedRoute: undefined,
    }).finish();
    return Buffer.from(message).toString("latin1");
}
