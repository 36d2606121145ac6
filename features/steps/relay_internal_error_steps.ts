/**
 * Steps about errors inside a relay node, end to end on loopback.
 *
 * @module
 */

import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { PlatformHeaders } from "../../platform/mod.js";
import { EngineServer, formatEvent, PLAIN_BODY, STREAM_EVENTS } from "../../platform/standin/engine_server.js";
import {
    CallFingerprint,
    CallQuarantine,
    EventStreamSplitter,
    RetryBudget,
    ServerReach,
    ServerState,
    ServerStatements,
    ServiceScheduler,
    VersionRollouts,
    WorkspaceQuota,
} from "../../src/coordination/relay/mod.js";
import { DetourCall } from "../../src/protocol/relay/mod.js";
import { HttpClient, HttpDetourClient, HttpRelayAnswer, HttpRelayClient } from "../../src/transport/relay/mod.js";
import { type CallerAnswer, PATH_BY_CALL_KIND, RelayFixture, waitFor } from "../support/relay_fixture.js";
import type { Scenario } from "../support/world.js";

/** Text of the error that a part throws. */
const ERROR_TEXT = "thrown by the test";

/** Ports that refuse connections. They are outside the range from which listeners get a free port. */
const REFUSING_PORTS: readonly number[] = [1, 2];

/** Method that throws instead of its work. */
interface FailingMethod {
    readonly owner: object;
    readonly name: string;
    /** Call from which on the method throws, counted from 1. */
    readonly call?: number;
    /** Whether it does its work before it throws. */
    readonly isAfterwards?: boolean;
}

/** Methods by the part of the node that they belong to. */
const METHODS: Readonly<Record<string, FailingMethod>> = {
    "check of the quota": { owner: WorkspaceQuota.prototype, name: "consume" },
    "fingerprint of calls": { owner: CallFingerprint.prototype, name: "compute" },
    "retry budget": { owner: RetryBudget.prototype, name: "recordFirstAttempt" },
    "quarantine at the start": { owner: CallQuarantine.prototype, name: "findQuarantined" },
    "scheduler": { owner: ServiceScheduler.prototype, name: "reserveSlot" },
    "choice of a server": { owner: VersionRollouts.prototype, name: "candidates" },
    "observer of sent calls": { owner: VersionRollouts.prototype, name: "recordSent" },
    "quarantine of sent calls": { owner: CallQuarantine.prototype, name: "recordSent" },
    "watch of attempts": { owner: ServerReach.prototype, name: "watch" },
    "watch": { owner: ServerReach.prototype, name: "watch" },
    "client": { owner: HttpRelayClient.prototype, name: "send" },
    "writing of headers": { owner: PlatformHeaders.prototype, name: "writeAttempt" },
    "connection pool": { owner: HttpClient.prototype, name: "pool" },
    "reading of an answer's headers": { owner: PlatformHeaders.prototype, name: "readAnswer" },
    "record of heads": { owner: ServerState.prototype, name: "recordHead" },
    "statements of servers": { owner: ServerStatements.prototype, name: "recordAnswer" },
    "record of first events": { owner: ServerState.prototype, name: "recordFirstEvent" },
    "quarantine of answers": { owner: CallQuarantine.prototype, name: "recordAnswered" },
    "writing of a complete answer": { owner: HttpRelayAnswer.prototype, name: "sendComplete" },
    "release of a slot": { owner: ServerState.prototype, name: "finishCall", isAfterwards: true },
    "observer of ended calls": { owner: VersionRollouts.prototype, name: "recordEnd" },
    "splitting of the fourth chunk": { owner: EventStreamSplitter.prototype, name: "push", call: 4 },
    "writing of an event": { owner: HttpRelayAnswer.prototype, name: "write", call: 2 },
    "message of calls": { owner: DetourCall, name: "encode" },
    "client of peers": { owner: HttpDetourClient.prototype, name: "send" },
};

/** State of a scenario of this file. */
interface InternalErrorScenario extends Scenario {
    erringRelay: RelayFixture;
    peerRelay: RelayFixture | undefined;
    engines: readonly EngineServer[];
    errorAnswers: CallerAnswer[];
    restoreMethod: () => void;
}

/** Lets a method throw once; returns a function that restores it. */
function failOnce({ owner, name, call = 1, isAfterwards = false }: FailingMethod): () => void {
    const methods = owner as Record<string, (...parameters: unknown[]) => unknown>;
    const method = methods[name];
    assert(method !== undefined, `unknown method: ${name}`);
    let calls = 0;
    methods[name] = function(this: unknown, ...parameters: unknown[]) {
        calls += 1;
        if (calls !== call) {
            return method.apply(this, parameters);
        }
        if (isAfterwards) {
            method.apply(this, parameters);
        }
        throw new Error(ERROR_TEXT);
    };
    return () => {
        methods[name] = method;
    };
}

function findMethod(part: string): FailingMethod {
    const method = METHODS[part];
    assert(method !== undefined, `unknown part: ${part}`);
    return method;
}

After(async function(this: InternalErrorScenario) {
    if (this.erringRelay !== undefined) {
        this.restoreMethod();
        await this.erringRelay.stop();
        await this.peerRelay?.stop();
    }
});

Given(
    /^a( streaming)? relay with two servers whose (.+) fails once$/,
    async function(this: InternalErrorScenario, streams: string | undefined, part: string) {
        this.erringRelay = new RelayFixture();
        this.restoreMethod = () => undefined;
        this.engines = [new EngineServer("engine-1"), new EngineServer("engine-2")];
        for (const engine of this.engines) {
            engine.isStream = Boolean(streams);
            engine.eventIntervalMs = streams === undefined ? 0 : 20;
        }
        await this.erringRelay.start(this.engines);
        this.restoreMethod = failOnce(findMethod(part));
    },
);

When(/^an? "(\w+)" call is sent to it$/, async function(this: InternalErrorScenario, kind: string) {
    this.errorAnswers = [await this.erringRelay.send({ path: PATH_BY_CALL_KIND[kind] ?? "" })];
});

Then(
    "its caller gets status {int}, and servers have run it {int} times",
    function(this: InternalErrorScenario, status: number, times: number) {
        const [answer] = this.errorAnswers;
        assert.equal(answer?.status, status, answer?.body);
        assert(answer.isComplete);
        assert(status === 200 || /not run/.test(answer.body) === (status === 503), answer.body);
        assert(!answer.body.includes(ERROR_TEXT), answer.body);
        assert.equal(this.engines.flatMap(({ receivedCalls }) => receivedCalls).length, times);
    },
);

Then("its stream is a part of the events, and breaks off", function(this: InternalErrorScenario) {
    const [answer] = this.errorAnswers;
    const events = Array.from({ length: STREAM_EVENTS }, (unused, index) => formatEvent(index + 1)).join("");
    assert.equal(answer?.status, 200);
    assert(answer.body.length > 0 && answer.body.length < events.length && events.startsWith(answer.body), answer.body);
    assert(!answer.isComplete);
});

Then("the node has logged one error and the end of the call", async function(this: InternalErrorScenario) {
    const { errorLines, lines } = this.erringRelay;
    assert.deepEqual(errorLines.map(({ msg }) => msg), ["call: failed inside the node"]);
    assert.match(String(errorLines[0]?.["error"]), new RegExp(ERROR_TEXT));
    const id = this.errorAnswers[0]?.id;
    assert.equal(errorLines[0]?.["id"], id);
    const isSuccess = this.errorAnswers[0]?.status === 200 && this.errorAnswers[0].isComplete;
    // Of the successful calls, a sample is logged.
    await waitFor("the call's end is counted", async () => await this.erringRelay.readMetric("calls_total") === 1);
    const ends = lines.filter(({ msg, ...fields }) => msg === "call: ended" && fields["id"] === id);
    assert.equal(ends.length, isSuccess ? ends.length : 1);
});

Then("the node keeps no slot, and serves 20 further calls", async function(this: InternalErrorScenario) {
    await waitFor("no slot is kept", async () => await this.erringRelay.readMetric("sent_calls") === 0);
    const isStream = this.engines[0]?.isStream === true;
    for (let call = 0; call < 20; call += 1) {
        const answer = await this.erringRelay.send({ path: PATH_BY_CALL_KIND[isStream ? "stream" : "unsafe"] ?? "" });
        assert.equal(answer.status, 200, answer.body);
        assert(answer.isComplete && (isStream || answer.body === PLAIN_BODY));
    }
    assert.equal(await this.erringRelay.readMetric("sent_calls"), 0);
});

Given(
    /^two relay nodes of which the first reaches no server, and a (.+) that fails once at the (?:first|second)$/,
    async function(this: InternalErrorScenario, part: string) {
        this.restoreMethod = () => undefined;
        this.engines = [new EngineServer("engine-1"), new EngineServer("engine-2")];
        this.errorAnswers = [];
        this.peerRelay = new RelayFixture("entry-2");
        await this.peerRelay.start(this.engines);
        const { peerAddress } = this.peerRelay.node;
        this.erringRelay = new RelayFixture("entry-1");
        await this.erringRelay.start([], false, store => {
            for (const [index, engine] of this.engines.entries()) {
                const changes = { Address: `127.0.0.1:${REFUSING_PORTS[index]}` };
                store.put("keyed.servers", engine.id, engine.serverEntry("service", changes));
            }
            store.put("keyed.nodes", "entry-2", { address: peerAddress, failureDomain: "zone-a", cores: 1 });
        });
        const nodes = [this.peerRelay.node, this.erringRelay.node];
        await waitFor("the nodes know each other", () => nodes.every(node => node.reachablePeers > 0));
        // The first call lets the first node find that it reaches no server.
        const found = await this.erringRelay.send({ path: PATH_BY_CALL_KIND["unsafe"] ?? "" });
        assert.equal(found.status, 200, found.body);
        const method = findMethod(part);
        this.restoreMethod = failOnce(method);
    },
);

When("3 {string} calls are sent to the first", async function(this: InternalErrorScenario, kind: string) {
    for (let call = 0; call < 3; call += 1) {
        this.errorAnswers.push(await this.erringRelay.send({ path: PATH_BY_CALL_KIND[kind] ?? "" }));
    }
});

Then(
    "the first of the detours ends with status {int}, and the others with 200",
    function(this: InternalErrorScenario, status: number) {
        const [first, ...others] = this.errorAnswers;
        assert.equal(first?.status, status, first?.body);
        assert.equal(/not run/.test(first.body), status === 503, first.body);
        for (const answer of others) {
            assert.equal(answer.status, 200, answer.body);
        }
    },
);

Then("neither node keeps a slot or a detour", async function(this: InternalErrorScenario) {
    for (const relay of [this.erringRelay, this.peerRelay]) {
        for (const metric of ["sent_calls", "detoured_calls", "taken_calls"]) {
            await waitFor(`${metric} is 0`, async () => await relay?.readMetric(metric) === 0);
        }
    }
});
