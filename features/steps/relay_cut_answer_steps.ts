/**
 * Steps about answers of backend servers that end early or are malformed, over real loopback connections.
 *
 * @module
 */

import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { HttpClient } from "../../src/transport/http_client.js";
import { HttpExchange } from "../../src/transport/http_exchange.js";
import { type ByteAnswer, ByteServer, ConnectionEnd } from "../support/byte_server.js";
import type { Scenario } from "../support/world.js";

/** Time after which an answer that neither ends nor fails is given up, in milliseconds. */
const READ_TIMEOUT_MS = 2_000;

/** Time for which a connection pool is awaited at the end of a scenario, in milliseconds. */
const CLOSE_TIMEOUT_MS = 500;

/** Body of each answer that is cut. */
const BODY = "piece one, piece two";

const HEAD = "HTTP/1.1 200 OK\r\nRequest-Id: call-1\r\nResponse-Seal: seal\r\n";
const HEAD_1_0 = HEAD.replace("HTTP/1.1", "HTTP/1.0");
const CHUNKS = "a\r\npiece one,\r\na\r\n piece two\r\n0\r\n";
const INTERIM = "HTTP/1.1 102 Processing\r\n\r\n";

/** Complete answers by framing. */
const ANSWERS: Readonly<Record<string, string>> = {
    "with a length": `${HEAD}Content-Length: 20\r\n\r\n${BODY}`,
    "with a length on a connection that closes": `${HEAD}Content-Length: 20\r\nConnection: close\r\n\r\n${BODY}`,
    "with a length over HTTP/1.0": `${HEAD_1_0}Content-Length: 20\r\n\r\n${BODY}`,
    "with a length over HTTP/1.0 that stays open": `${HEAD_1_0}Connection: keep-alive\r\nContent-Length: 20\r\n\r\n${BODY}`,
    "in chunks": `${HEAD}Transfer-Encoding: chunked\r\n\r\n${CHUNKS}\r\n`,
    "in chunks on a connection that closes": `${HEAD}Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n${CHUNKS}\r\n`,
    "in chunks with a trailer": `${HEAD}Transfer-Encoding: chunked\r\n\r\n${CHUNKS}Checksum: 1\r\n\r\n`,
    "in chunks after an interim head": `${INTERIM}${HEAD}Transfer-Encoding: chunked\r\n\r\n${CHUNKS}\r\n`,
    "without a length": `${HEAD}\r\n${BODY}`,
    "without a length after an interim head": `${INTERIM}${HEAD}\r\n${BODY}`,
    "without a length over HTTP/1.0": `${HEAD_1_0}\r\n${BODY}`,
    "without a length on a connection that stays open": `${HEAD}Connection: keep-alive\r\n\r\n${BODY}`,
};

/** Malformed answers; each connection is closed after its answer unless the answer's fault says otherwise. */
const FAULTY_ANSWERS: Readonly<Record<string, string>> = {
    "has more bytes than its length": `${HEAD}Content-Length: 20\r\n\r\n${BODY} and more`,
    "has two different lengths": `${HEAD}Content-Length: 20\r\nContent-Length: 5\r\n\r\n${BODY}`,
    "has the same length twice": `${HEAD}Content-Length: 20\r\nContent-Length: 20\r\n\r\n${BODY}`,
    "has a length and chunks": `${HEAD}Content-Length: 20\r\nTransfer-Encoding: chunked\r\n\r\n${CHUNKS}\r\n`,
    "has a negative length": `${HEAD}Content-Length: -20\r\n\r\n${BODY}`,
    "has a length that is not a number": `${HEAD}Content-Length: twenty\r\n\r\n${BODY}`,
    "has a length in hexadecimal": `${HEAD}Content-Length: 0x14\r\n\r\n${BODY}`,
    "has a folded header": `${HEAD}X-Folded: one\r\n two\r\nContent-Length: 20\r\n\r\n${BODY}`,
    "has lines that end with a line feed": `${HEAD}Content-Length: 20\r\n\r\n${BODY}`.replaceAll("\r\n", "\n"),
    "has a space before a colon": `${HEAD}Content-Length : 20\r\n\r\n${BODY}`,
    "has a chunk size that is not a number": `${HEAD}Transfer-Encoding: chunked\r\n\r\nzz\r\n${BODY}\r\n0\r\n\r\n`,
    "has a chunk longer than its size": `${HEAD}Transfer-Encoding: chunked\r\n\r\na\r\n${BODY}\r\n0\r\n\r\n`,
    "has no status code": `HTTP/1.1 OK\r\nContent-Length: 20\r\n\r\n${BODY}`,
    "has the status 100 and nothing else": "HTTP/1.1 100 Continue\r\n\r\n",
    "follows an interim head that closes the connection":
        `HTTP/1.1 102 Processing\r\nConnection: close\r\n\r\n${HEAD}Content-Length: 20\r\n\r\n${BODY}`,
    "has the status 101": `HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: raw\r\n\r\n${BODY}`,
    "has a transfer coding other than chunks": `${HEAD}Transfer-Encoding: identity\r\n\r\n${BODY}`,
    "has a transfer coding after its chunks": `${HEAD}Transfer-Encoding: chunked, identity\r\n\r\n${CHUNKS}\r\n`,
    "has the status 000": `${HEAD.replace("200", "000")}Content-Length: 20\r\n\r\n${BODY}`,
    "has the status 001": `${HEAD.replace("200", "001")}Content-Length: 20\r\n\r\n${BODY}`,
    "has the status 099": `${HEAD.replace("200", "099")}Content-Length: 20\r\n\r\n${BODY}`,
    "has the status 099 on a connection that closes": `${HEAD.replace("200", "099")}Connection: close\r\n\r\n${BODY}`,
    "has the status 600": `${HEAD.replace("200", "600")}Content-Length: 20\r\n\r\n${BODY}`,
    "has the status 600 and no length": `${HEAD.replace("200", "600")}\r\n${BODY}`,
    "has the status 999": `${HEAD.replace("200", "999")}Content-Length: 20\r\n\r\n${BODY}`,
    "has the status 1000": `${HEAD.replace("200", "1000")}Content-Length: 20\r\n\r\n${BODY}`,
    "has the status 20": `${HEAD.replace("200", "20")}Content-Length: 20\r\n\r\n${BODY}`,
    "follows an interim head with the status 600": `HTTP/1.1 600 Interim\r\n\r\n${HEAD}Content-Length: 20\r\n\r\n${BODY}`,
    "has the status 599": `${HEAD.replace("200", "599")}Content-Length: 20\r\n\r\n${BODY}`,
    "has a transfer coding other than chunks and is reset": `${HEAD}Transfer-Encoding: identity\r\n\r\n${BODY}`,
};

/** Body of each large answer; more than the node buffers before it is read. */
const LARGE_BODY = "x".repeat(1_048_576);

/** Complete large answers by framing. */
const LARGE_ANSWERS: Readonly<Record<string, string>> = {
    "without a length": `${HEAD}\r\n${LARGE_BODY}`,
    "with a length": `${HEAD}Content-Length: 1048576\r\n\r\n${LARGE_BODY}`,
    "with a length on a connection that closes": `${HEAD}Content-Length: 1048576\r\nConnection: close\r\n\r\n${LARGE_BODY}`,
    "in chunks on a connection that closes":
        `${HEAD}Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n100000\r\n${LARGE_BODY}\r\n0\r\n\r\n`,
};

/** How many of an answer's cuts are tested for each end of the connection: every byte, or every second or fifth one. */
const CUT_STEPS: ReadonlyMap<ConnectionEnd, number> = new Map([
    [ConnectionEnd.Close, 1],
    [ConnectionEnd.LateClose, 5],
    [ConnectionEnd.Reset, 2],
]);

/** Result of reading one answer. */
interface AnswerReading {
    /** Bytes of the body that were read. */
    readonly bytes: number;
    /** Why the answer is incomplete; `undefined` if it is complete. */
    readonly failure: string | undefined;
}

/** State of a scenario of this file. */
interface CutScenario extends Scenario {
    byteServer: ByteServer;
    httpClient: HttpClient;
    framing: string;
    nextAnswer: ByteAnswer;
    reading: AnswerReading;
    problems: string[];
}

After(async function(this: CutScenario) {
    this.byteServer?.close();
    // An error that escaped leaves the connection pool in a state in which it does not close.
    await Promise.race([this.httpClient?.close(), new Promise(resolve => setTimeout(resolve, CLOSE_TIMEOUT_MS))]);
});

Given(
    /^a server that answers (.+) and ends the connection after a number of bytes$/,
    async function(this: CutScenario, framing: string) {
        this.framing = framing;
        await startServer(this);
    },
);

Given(/^a server whose answer (.+)$/, async function(this: CutScenario, fault: string) {
    await startServer(this);
    const end = fault.endsWith("is reset") ? ConnectionEnd.Reset : ConnectionEnd.Close;
    this.nextAnswer = { bytes: FAULTY_ANSWERS[fault] ?? "", end };
});

Given(
    /^a server that sends 1048576 bytes (.+), and whose connection is then (.+)$/,
    async function(this: CutScenario, framing: string, end: string) {
        await startServer(this);
        this.nextAnswer = { bytes: LARGE_ANSWERS[framing] ?? "", end: end as ConnectionEnd };
    },
);

Given(/^a server that sends a part of an answer (.+)$/, async function(this: CutScenario, framing: string) {
    await startServer(this);
    this.nextAnswer = { bytes: ANSWERS[framing]?.slice(0, -10) ?? "", end: ConnectionEnd.Open };
});

When("its answer is read once for each number of bytes and each end of the connection", { timeout: 60_000 }, async function(
    this: CutScenario,
) {
    const whole = ANSWERS[this.framing] ?? "";
    this.problems = [];
    for (const [end, step] of CUT_STEPS) {
        for (const isSecond of [false, true]) {
            for (let bytes = whole.length; bytes >= 0; bytes -= step) {
                if (isSecond) {
                    this.nextAnswer = { bytes: ANSWERS["with a length"] ?? "", end: ConnectionEnd.Open };
                    await readAnswer(this);
                }
                this.nextAnswer = { bytes: whole.slice(0, bytes), end };
                const { failure } = await readAnswer(this);
                if (mayBeComplete(whole, bytes, end) !== (failure === undefined) && !isUndecided(whole, bytes, end)) {
                    this.problems.push(`${bytes} of ${whole.length} bytes, ${end}: ${failure ?? "complete"}`);
                }
            }
        }
    }
});

Given(
    /^a server that answers an upload (.+), (before|after) it has read it, and whose connection is then (.+)$/,
    async function(this: CutScenario, framing: string, moment: string, end: string) {
        await startServer(this, moment === "before");
        this.nextAnswer = { bytes: ANSWERS[framing] ?? "", end: end as ConnectionEnd };
    },
);

Given("a server that answers with status 204, and closes each connection soon afterwards", async function(this: CutScenario) {
    await startServer(this);
    this.nextAnswer = { bytes: "HTTP/1.1 204 No Content\r\n\r\n", end: ConnectionEnd.LateClose };
});

When("uploads of {int} bytes are sent {int} ms apart", async function(this: CutScenario, bytes: number, intervalMs: number) {
    this.problems = [];
    for (let upload = 0; upload < 3; upload += 1) {
        const { failure } = await readAnswer(this, { body: Buffer.alloc(bytes) });
        if (failure !== undefined) {
            this.problems.push(failure);
        }
        await new Promise(resolve => setTimeout(resolve, intervalMs));
    }
});

Then("each of them is answered", function(this: CutScenario) {
    assert.deepEqual(this.problems, []);
});

When("its answer to an upload of {int} bytes is read", async function(this: CutScenario, bytes: number) {
    this.reading = await readAnswer(this, { body: Buffer.alloc(bytes) });
});

When("its answer is read", async function(this: CutScenario) {
    this.reading = await readAnswer(this);
});

When(
    /^the reader of its answer waits for (\d+) ms and then (reads it|gives it up)$/,
    async function(this: CutScenario, waitMs: string, action: string) {
        this.reading = await readAnswer(this, { waitMs: Number(waitMs), givesUp: action === "gives it up" });
        // An error that escapes within this step fails it.
        await new Promise(resolve => setTimeout(resolve, 20));
    },
);

Then("each answer that was cut failed, and each one that was not is complete", function(this: CutScenario) {
    assert.deepEqual(this.problems, []);
});

Then(/^the answer (is complete|fails)$/, function(this: CutScenario, outcome: string) {
    const { failure, bytes } = this.reading;
    assert.equal(failure === undefined, outcome === "is complete", failure ?? `complete with ${bytes} bytes`);
    if (failure === undefined) {
        assert.equal(bytes, BODY.length);
    }
});

Then(/^the answer that was read is (complete|incomplete)$/, function(this: CutScenario, outcome: string) {
    const { failure, bytes } = this.reading;
    assert.notEqual(failure, "timeout");
    assert.equal(failure === undefined, outcome === "complete", failure ?? `complete with ${bytes} bytes`);
    if (failure === undefined) {
        assert.equal(bytes, LARGE_BODY.length);
    }
});

/** @returns Whether an answer of which a number of bytes was sent counts as complete. */
function mayBeComplete(whole: string, bytes: number, end: ConnectionEnd): boolean {
    return isCloseDelimited(whole) ?
        end !== ConnectionEnd.Reset && bytes >= whole.length - BODY.length :
        bytes === whole.length;
}

/** @returns Whether the answer may be read or lost: all of it was sent, and then its connection was reset. */
function isUndecided(whole: string, bytes: number, end: ConnectionEnd): boolean {
    return end === ConnectionEnd.Reset && bytes === whole.length && !isCloseDelimited(whole);
}

function isCloseDelimited(whole: string): boolean {
    return !/content-length|transfer-encoding/i.test(whole);
}

async function startServer(scenario: CutScenario, answersEarly = false): Promise<void> {
    scenario.httpClient = new HttpClient();
    scenario.byteServer = new ByteServer(() => scenario.nextAnswer, answersEarly);
    await scenario.byteServer.start();
}

/** Sends a request and reads its answer. */
async function readAnswer(
    { byteServer, httpClient }: CutScenario,
    reader: { readonly waitMs?: number; readonly givesUp?: boolean; readonly body?: Buffer } = {},
): Promise<AnswerReading> {
    const request = { method: "POST", path: "/", headers: {}, body: reader.body ?? Buffer.from("body") };
    const exchange = new HttpExchange(httpClient.pool(byteServer.address), request, new AbortController().signal);
    const timeout = setTimeout(() => exchange.cancel(new Error("timeout")), READ_TIMEOUT_MS);
    let bytes = 0;
    try {
        await exchange.awaitHead();
        if (reader.waitMs !== undefined) {
            await new Promise(resolve => setTimeout(resolve, reader.waitMs));
        }
        if (reader.givesUp) {
            exchange.cancel(new Error("given up"));
        }
        for (let chunk = await exchange.next(); chunk !== undefined; chunk = await exchange.next()) {
            bytes += chunk.length;
        }
        return { bytes, failure: undefined };
    }
    catch (error) {
        return { bytes, failure: (error as Error).message };
    }
    finally {
        clearTimeout(timeout);
    }
}
