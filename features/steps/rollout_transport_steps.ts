/**
 * Steps for rollout calls, webhooks and engine orders over HTTP and gRPC.
 *
 * @module
 */

import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createServer, type IncomingMessage, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { OperatorClient, OperatorError } from "../../src/cli/mod.js";
import { EngineRole, type EngineState, OrderError, RolloutOperatorHandler, rolloutWire } from "../../src/protocol/mod.js";
import { SystemClock, type Vm, VmRole, VmState } from "../../src/state/mod.js";
import {
    CertificateFiles,
    GrpcServer,
    HttpClient,
    HttpEngineControl,
    HttpWebhook,
    rolloutOperatorService,
} from "../../src/transport/mod.js";
import { EngineControlModel } from "../../standin/engine_control_model.js";
import { ENGINE_PROFILES, EngineModel } from "../../standin/engine_model.js";
import { serveEngine } from "../../standin/engine_server.js";
import { WeightStoreModel } from "../../standin/weight_store_model.js";
import type { Scenario } from "../support/world.js";

/** Size of a model load and bandwidth of the weight store; a load takes 1 ms, less than one poll interval. */
const BYTES_PER_LOAD = 1;
const BYTES_PER_SECOND = 1_000;

/** Interval between two reads of an engine's setup, in milliseconds, and number of reads before the test fails. */
const POLL_INTERVAL_MS = 50;
const MAX_POLLS = 100;

/** Servers, clients and results of one scenario. */
interface TransportScenario {
    readonly handler: CountingRolloutHandler;
    readonly cleanups: (() => void | Promise<void>)[];
    address: string;
    error: unknown;
    receivedEvents: { readonly header: string; readonly body: string }[];
    engineControl: HttpEngineControl | undefined;
    vm: Vm | undefined;
}

const states = new WeakMap<Scenario, TransportScenario>();

Given("a daemon's server whose operators have the key {string}", async function(this: Scenario, key: string) {
    const state = initState(this);
    const findOwner = (given: string | undefined) => given === key ? "operator" : undefined;
    const server = new GrpcServer({ services: [rolloutOperatorService(state.handler, findOwner)] });
    state.address = `127.0.0.1:${await server.listen("127.0.0.1", 0)}`;
    state.cleanups.push(() => server.close());
});

When(
    /^an operator (lists rollouts|starts a rollout|changes a rollout) with (?:no key|key "([^"]*)")$/,
    async function(this: Scenario, call: string, key: string | undefined) {
        const state = stateOf(this);
        const client = new OperatorClient(state.address, key);
        try {
            await sendOperatorCall(client, call);
        }
        catch (error) {
            state.error = error;
        }
        finally {
            client.close();
        }
    },
);

Given("a daemon's server with certificates whose operators have the key {string}", async function(this: Scenario, key: string) {
    const state = initState(this);
    const findOwner = (given: string | undefined) => given === key ? "operator" : undefined;
    const services = [rolloutOperatorService(state.handler, findOwner)];
    const server = new GrpcServer({ services, credentials: certificateFilesOf("peer").serverCredentials() });
    state.address = `127.0.0.1:${await server.listen("127.0.0.1", 0)}`;
    state.cleanups.push(() => server.close());
});

When(
    /^an operator with (?:plain text|the certificate "([^"]*)") lists rollouts with key "([^"]*)"$/,
    async function(this: Scenario, name: string | undefined, key: string) {
        const state = stateOf(this);
        const client = new OperatorClient(state.address, key, name ? certificateFilesOf(name).channelCredentials() : undefined);
        try {
            await client.listRollouts();
        }
        catch (error) {
            state.error = error;
        }
        finally {
            client.close();
        }
    },
);

Then("the call is unanswered, and the rollout handler has received {int} calls", function(this: Scenario, count: number) {
    const { error, handler } = stateOf(this);
    assert.ok(error instanceof OperatorError && !error.isUnauthenticated, String(error));
    assert.equal(handler.callCount, count);
});

Then(
    /^the call is (answered|refused), and the rollout handler has received (\d+) calls$/,
    function(this: Scenario, outcome: string, count: string) {
        const { error, handler } = stateOf(this);
        assert.equal(error instanceof OperatorError && error.isUnauthenticated, outcome === "refused", String(error));
        assert.equal(handler.callCount, Number(count));
    },
);

Given("a webhook receiver over HTTP that answers {int}", async function(this: Scenario, status: number) {
    const state = initState(this);
    const server = createServer((message, response) => {
        void readBody(message).then(body => {
            state.receivedEvents.push({ header: String(message.headers["foxtailrail-event-id"]), body });
            response.writeHead(status).end();
        });
    });
    state.address = await listen(server);
    state.cleanups.push(() => closeServer(server));
});

When("event {string} is delivered to it", async function(this: Scenario, id: string) {
    const state = stateOf(this);
    const webhook = new HttpWebhook(`http://${state.address}/events`);
    try {
        await webhook.deliver({ id, kind: "done", rollout: "r1", pool: "p", version: "2.0", reason: "" });
    }
    catch (error) {
        state.error = error;
    }
});

Then(
    /^the receiver has the id "([^"]*)" in header and body, and the delivery (succeeds|fails)$/,
    function(this: Scenario, id: string, outcome: string) {
        const { receivedEvents: [received], error } = stateOf(this);
        assert.equal(received.header, id);
        assert.equal((JSON.parse(received.body) as { readonly id: string }).id, id);
        assert.equal(error === undefined, outcome === "succeeds");
    },
);

Given("an engine over HTTP that checks fencing numbers", async function(this: Scenario) {
    const state = initState(this);
    const clock = new SystemClock();
    const engine = new EngineModel(clock, ENGINE_PROFILES.fast);
    const weightStore = new WeightStoreModel(clock, BYTES_PER_SECOND);
    const controlModel = new EngineControlModel({
        clock,
        engine,
        weightStore,
        bytesPerLoad: BYTES_PER_LOAD,
        checksFencing: true,
    });
    const server = await serveEngine(0, engine, controlModel);
    const client = new HttpClient();
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    state.vm = { id: "engine-1", role: VmRole.Backend, address, failureDomain: "a", state: VmState.Live };
    state.engineControl = new HttpEngineControl(client);
    state.cleanups.push(() => client.close(), () => closeServer(server));
});

When(
    "it is ordered to version {string} with fencing number {int} and to version {string} with fencing number {int}",
    async function(
        this: Scenario,
        firstVersion: string,
        firstFencingNumber: number,
        secondVersion: string,
        secondFencingNumber: number,
    ) {
        await sendOrder(this, firstVersion, firstFencingNumber);
        await sendOrder(this, secondVersion, secondFencingNumber).catch((error: unknown) => {
            stateOf(this).error = error;
        });
    },
);

Then("the second order is rejected as {string}", function(this: Scenario, fault: string) {
    const { error } = stateOf(this);
    assert.ok(error instanceof OrderError && error.fault === fault, String(error));
});

Then("the engine's setup changes to version {string}", async function(this: Scenario, version: string) {
    const { engineControl, vm } = stateOf(this);
    let state: EngineState | undefined;
    for (let poll = 0; poll < MAX_POLLS && state?.version !== version; poll++) {
        state = await engineControl?.readState(vm as Vm);
        await new SystemClock().sleep(POLL_INTERVAL_MS);
    }
    assert.equal(state?.version, version);
});

After(async function(this: Scenario) {
    for (const cleanUp of states.get(this)?.cleanups ?? []) {
        await cleanUp();
    }
});

/** Handler that counts the calls that reach it. */
class CountingRolloutHandler extends RolloutOperatorHandler {
    callCount = 0;

    override start(): Promise<rolloutWire.ChangeRolloutReply> {
        return this.change();
    }

    override async change(): Promise<rolloutWire.ChangeRolloutReply> {
        this.callCount += 1;
        return { accepted: true, rollout: "r1", problems: [] };
    }

    override async list(): Promise<rolloutWire.ListRolloutsReply> {
        this.callCount += 1;
        return { rollouts: [] };
    }
}

function initState(scenario: Scenario): TransportScenario {
    const state: TransportScenario = {
        handler: new CountingRolloutHandler(),
        cleanups: [],
        address: "",
        error: undefined,
        receivedEvents: [],
        engineControl: undefined,
        vm: undefined,
    };
    states.set(scenario, state);
    return state;
}

function stateOf(scenario: Scenario): TransportScenario {
    const state = states.get(scenario);
    if (state === undefined) {
        throw new Error("Cannot use the server: no step has started it");
    }
    return state;
}

function certificateFilesOf(name: string): CertificateFiles {
    const path = (fileName: string) => `features/fixtures/tls/${fileName}`;
    return new CertificateFiles({ certificateFile: path(`${name}.crt`), keyFile: path(`${name}.key`), caFile: path("ca.crt") });
}

async function sendOperatorCall(client: OperatorClient, call: string): Promise<void> {
    switch (call) {
        case "lists rollouts":
            await client.listRollouts();
            return;
        case "starts a rollout":
            await client.startRollout({ pool: "p", version: "2.0", deadlineMs: 0, author: "a", neededServers: 0 });
            return;
        default:
            await client.changeRollout({
                rollout: "r1",
                order: rolloutWire.RolloutOrder.PAUSE,
                author: "a",
                reason: "",
                madeAgainst: -1,
            });
    }
}

function sendOrder(scenario: Scenario, version: string, fencingNumber: number): Promise<void> {
    const { engineControl, vm } = stateOf(scenario);
    const setup = { model: "default", version, adapters: [], role: EngineRole.Both };
    return (engineControl as HttpEngineControl).order(vm as Vm, { setup, fencingNumber }, new AbortController().signal);
}

async function readBody(message: IncomingMessage): Promise<string> {
    const chunks: Buffer[] = [];
    for await (const chunk of message as AsyncIterable<Buffer>) {
        chunks.push(chunk);
    }
    return Buffer.concat(chunks).toString("utf8");
}

async function listen(server: Server): Promise<string> {
    await new Promise<void>(resolve => {
        server.listen(0, "127.0.0.1", resolve);
    });
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

function closeServer(server: Server): void {
    server.closeAllConnections();
    server.close();
}
