/**
 * Steps about input without end, end to end on loopback.
 *
 * @module
 */

import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { Agent, request } from "node:http";
import { connect } from "node:net";
import { SystemClock } from "../../src/state/relay/mod.js";
import { DetourServer, InputLimits } from "../../src/transport/relay/mod.js";
import { ENDLESS_ID, EndlessServer, formatPieces, sendWithoutEnd } from "../support/endless_input.js";
import { waitFor } from "../support/relay_fixture.js";
import { RelayProgram } from "../support/relay_program.js";
import type { Scenario } from "../support/world.js";

/** Flags of Node.js with which the deploy file starts the program. */
const SMALL_MACHINE_FLAGS = ["--max-old-space-size=96", "--max-semi-space-size=4"];

/** Servers, and the calls that one of them takes at once. */
const SERVERS = 3;
const SLOTS = 16;

/** Address at which nothing listens. */
const UNREACHABLE_ADDRESS = "127.0.0.1:9";

/** Callers that send sound calls, each one after the other. */
const SOUND_CALLERS = 10;

/** Time before the first input without end, in milliseconds. */
const CALM_MS = 300;

/** Largest body that the configuration allows, in bytes. */
const MAX_BODY_BYTES = 4_194_304;

const BYTES_PER_MEGABYTE = 1_000_000;

/** State of a scenario of this file. */
interface EndlessScenario extends Scenario {
    endlessProgram: RelayProgram;
    endlessServers: EndlessServer[];
    nodePort: DetourServer;
    nodeLimits: InputLimits;
    nodeAnswer: string;
    /** What callers got instead of a sound answer. */
    otherAnswers: string[];
    soundCalls: number;
    slowestMs: number;
}

After(async function(this: EndlessScenario) {
    for (const server of this.endlessServers ?? []) {
        server.close();
    }
    await this.endlessProgram?.stop();
    this.nodePort?.closeAll();
});

Given(
    /^a relay program with the memory of a small machine before (servers|peers|callers|other nodes) that send (.+) in pieces of (\d+) bytes$/,
    async function(this: EndlessScenario, sender: string, content: string, size: string) {
        const pieceBytes = Number(size);
        this.endlessServers = [];
        for (let index = 1; index <= SERVERS; index += 1) {
            // A peer that breaks an answer off gets no calls for some time, so that others are needed.
            const isFaulty = index === 1 || sender !== "peers";
            const server = new EndlessServer(`server-${index}`, isFaulty ? formatPieces(content, pieceBytes) : Buffer.alloc(0));
            await server.start();
            this.endlessServers.push(server);
        }
        this.endlessProgram = new RelayProgram(SMALL_MACHINE_FLAGS);
        const isByWayOfPeer = sender === "peers";
        const addresses = isByWayOfPeer ? { Address: UNREACHABLE_ADDRESS } : {};
        await this.endlessProgram.prepare(this.endlessServers, { Slots: SLOTS, ...addresses }, { maxBodyBytes: MAX_BODY_BYTES });
        for (const { id, address } of this.endlessServers) {
            const entry = { address: isByWayOfPeer ? address : UNREACHABLE_ADDRESS, failureDomain: "zone-a", cores: 1 };
            this.endlessProgram.store.put("keyed.nodes", id, entry);
        }
        await this.endlessProgram.start();
        // A program is ready before it knows its peers.
        const agent = new Agent();
        await waitFor(
            "a call is answered",
            async () => await sendSoundCall(this.endlessProgram.callerAddress, "first", agent) === "sound",
        );
    },
);

Given(
    "a relay program with the memory of a small machine whose log answers in pieces of {int} bytes without end",
    async function(this: EndlessScenario, pieceBytes: number) {
        this.endlessProgram = new RelayProgram(SMALL_MACHINE_FLAGS);
        await this.endlessProgram.prepare([]);
        this.endlessProgram.store.endlessBytes = formatPieces("a body", pieceBytes);
        await this.endlessProgram.startUnready();
    },
);

When("the log answers properly after {int} s", async function(this: EndlessScenario, seconds: number) {
    await sleep(seconds * 1_000);
    this.endlessProgram.store.endlessBytes = undefined;
});

Then("the program becomes ready", async function(this: EndlessScenario) {
    await this.endlessProgram.awaitReady();
});

When(
    /^(servers|peers|callers|other nodes) send (.+) in pieces of (\d+) bytes without end, (\d+) at a time for (\d+) s$/,
    async function(this: EndlessScenario, sender: string, content: string, size: string, count: string, seconds: string) {
        const endMs = performance.now() + CALM_MS + Number(seconds) * 1_000;
        const sound = Array.from({ length: SOUND_CALLERS }, () => sendSoundCalls(this, endMs));
        await sleep(CALM_MS);
        const bytes = formatPieces(content, Number(size));
        const signal = AbortSignal.timeout(Number(seconds) * 1_000);
        const send = (id: string) => sendOne(this, { sender, content, id, bytes, signal });
        const endless = Array.from({ length: Number(count) }, async (unused, index) => {
            for (let round = 0; !signal.aborted; round += 1) {
                await send(`${ENDLESS_ID}${index}-${round}`);
                await sleep(20);
            }
        });
        await Promise.all([...endless, ...sound]);
    },
);

Then("each sound call meanwhile is answered within {int} ms", function(this: EndlessScenario, maxMs: number) {
    assert.deepEqual(this.otherAnswers, [], `of ${this.soundCalls} calls`);
    assert(this.slowestMs <= maxMs, `the slowest of ${this.soundCalls} took ${this.slowestMs} ms`);
});

Then("the program lives and has used less than {int} MB", function(this: EndlessScenario, maxMegabytes: number) {
    const peakBytes = this.endlessProgram.readPeakMemory();
    assert(peakBytes !== undefined, "the program has ended");
    assert(peakBytes < maxMegabytes * BYTES_PER_MEGABYTE, `it has used ${Math.round(peakBytes / BYTES_PER_MEGABYTE)} MB`);
});

Given("a port for calls of nodes with memory for {int} bytes", async function(this: EndlessScenario, bytes: number) {
    const clock = new SystemClock();
    this.nodeLimits = new InputLimits(clock, bytes);
    this.nodePort = new DetourServer({
        clock,
        inputLimits: this.nodeLimits,
        isNode: () => true,
        receive: () => undefined,
        onListenerError: () => undefined,
        onRejected: () => undefined,
    });
    await this.nodePort.listen("127.0.0.1", 0);
});

When(
    "another node has sent {int} bytes of a call, the port refuses it, and other input takes {int} bytes",
    async function(this: EndlessScenario, callBytes: number, otherBytes: number) {
        const socket = connect({ host: "127.0.0.1", port: this.nodePort.port });
        this.nodeAnswer = "";
        socket.on("data", data => this.nodeAnswer += data.toString("latin1"));
        socket.on("error", () => socket.destroy());
        socket.write(`POST /calls HTTP/1.1\r\nHost: node\r\nContent-Length: ${callBytes + 1}\r\n\r\n`);
        socket.write(Buffer.alloc(callBytes));
        const { memory } = this.nodeLimits;
        await waitFor("the bytes have arrived", () => memory.usedBytes === callBytes);
        this.nodePort.refuseUnread();
        memory.open(() => undefined).resize(otherBytes);
        await waitFor("the other node has an answer", () => this.nodeAnswer.endsWith("\n"));
        socket.destroy();
    },
);

Then("the other node gets one answer, with status {int}", function(this: EndlessScenario, status: number) {
    assert.equal(this.nodeAnswer.split("HTTP/1.1 ").length, 2, this.nodeAnswer);
    assert(this.nodeAnswer.startsWith(`HTTP/1.1 ${status} `), this.nodeAnswer);
});

/** Input of one connection. */
interface EndlessInput {
    readonly sender: string;
    readonly content: string;
    readonly id: string;
    readonly bytes: Buffer;
    readonly signal: AbortSignal;
}

/** Sends one call that is without end, or whose answer is, until its connection closes or the signal is aborted. */
async function sendOne(scenario: EndlessScenario, { sender, content, id, bytes, signal }: EndlessInput): Promise<void> {
    const { callerAddress, peerAddress } = scenario.endlessProgram;
    const chunked = "Transfer-Encoding: chunked\r\n\r\n";
    const callHead = (path: string) => `POST ${path} HTTP/1.1\r\nHost: app.example\r\nApi-Key: key-1\r\nRequest-Id: ${id}\r\n`;
    switch (sender) {
        case "servers":
        case "peers":
            await sendWithoutEnd(
                callerAddress,
                `${callHead(content === "a body" ? "/unsafe/x" : "/stream/x")}Content-Length: 0\r\n\r\n`,
                Buffer.alloc(0),
                signal,
            );
            return;
        case "callers":
            await sendWithoutEnd(callerAddress, callHead("/unsafe/x") + chunked, bytes, signal);
            return;
        default:
            await sendWithoutEnd(
                peerAddress,
                `POST /calls HTTP/1.1\r\nHost: node\r\nfoxtailrail-call: ${id}\r\n${chunked}`,
                bytes,
                signal,
            );
    }
}

async function sendSoundCalls(scenario: EndlessScenario, endMs: number): Promise<void> {
    scenario.soundCalls ??= 0;
    scenario.otherAnswers ??= [];
    scenario.slowestMs ??= 0;
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    while (performance.now() < endMs) {
        scenario.soundCalls += 1;
        const startMs = performance.now();
        const body = await sendSoundCall(scenario.endlessProgram.callerAddress, `sound-${scenario.soundCalls}`, agent);
        if (body !== "sound") {
            scenario.otherAnswers.push(body);
        }
        scenario.slowestMs = Math.max(scenario.slowestMs, performance.now() - startMs);
    }
    agent.destroy();
}

/** Sends a call and returns the body of its answer, or why there is none. */
function sendSoundCall(address: string, id: string, agent: Agent): Promise<string> {
    const [host, port] = address.split(":");
    return new Promise(resolve => {
        const headers = { "Host": "app.example", "Request-Id": id, "Api-Key": "key-1", "Deadline-Ms": "5000" };
        const call = request({ host, port: Number(port), path: "/unsafe/x", method: "POST", agent, headers }, response => {
            let body = "";
            response.on("data", chunk => body += String(chunk));
            response.on("close", () => resolve(body));
        });
        call.on("error", error => resolve(error.message));
        call.end("body");
    });
}

function sleep(durationMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, durationMs));
}
