/**
 * Steps for a local fleet of separate processes.
 *
 * @module
 */

import { After, type DataTable, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { type Dispatcher, request } from "undici";
import { type Deployment, readDeployment } from "../../standin/deployment.js";
import { expectedAnswer } from "../../standin/engine_model.js";
import { type FleetDaemon, LocalFleet } from "../../standin/local_fleet.js";
import { answerText, type SampleResult, sendSample } from "../../standin/sample.js";
import type { Scenario } from "../support/world.js";

/** Entry point of the operators' command line. */
const CLI_PROGRAM = "dist/src/cli/main.js";

/** Body of a call with a long streamed answer. */
const LONG_CALL_BODY = Buffer.from(JSON.stringify({
    model: "default",
    stream: true,
    max_tokens: 120,
    messages: [{ role: "user", content: "Summarise the long dossier." }],
}));

/** Answer-time target that even a heavily loaded machine meets, in milliseconds. */
const RELAXED_ANSWER_MS = 600_000;

/** Exit code and output of a command. */
interface CommandResult {
    readonly exitCode: number | undefined;
    readonly output: string;
}

/** Fleet and results that the steps of one scenario share. */
class FleetFixture {
    sampleResults: readonly SampleResult[] = [];
    streamedAnswer: Dispatcher.ResponseData | undefined;
    /** Status and text of the answer to the pending call; `undefined` if its connection was closed without one. */
    pendingAnswer: Promise<{ readonly status: number; readonly text: string } | undefined> = Promise.resolve(undefined);
    daemonExit: Promise<number | undefined> | undefined;

    constructor(readonly fleet: LocalFleet, readonly deployment: Deployment) {}

    get daemon(): FleetDaemon {
        return this.fleet.daemons[0];
    }

    /** Sends a call with a long streamed answer to the first daemon. */
    sendLongCall(signal?: AbortSignal): Promise<Dispatcher.ResponseData> {
        return request(`http://${this.daemon.callerAddress}/v1/chat/completions`, {
            method: "POST",
            headers: {
                authorization: `Bearer ${this.deployment.workspaces[0].key}`,
                "content-type": "application/json",
                "foxtailrail-operation": "dossier-summary",
            },
            body: LONG_CALL_BODY,
            signal,
        });
    }
}

const fixtures = new WeakMap<Scenario, FleetFixture>();

function fixtureOf(scenario: Scenario): FleetFixture {
    const fixture = fixtures.get(scenario);
    assert.ok(fixture !== undefined);
    return fixture;
}

After(async function(this: Scenario) {
    await fixtures.get(this)?.fleet.stop();
});

Given("a local fleet of processes", async function(this: Scenario) {
    const deployment = relaxAnswerTargets(await readDeployment("examples/rastro-sul.yaml"));
    const fleet = new LocalFleet({ deployment, operatorKey: "operator" });
    fixtures.set(this, new FleetFixture(fleet, deployment));
    await fleet.start();
});

Given("the first daemon has started to stream an answer", async function(this: Scenario) {
    const fixture = fixtureOf(this);
    fixture.streamedAnswer = await fixture.sendLongCall();
    assert.equal(fixture.streamedAnswer.statusCode, 200);
});

Given("all engines hang", async function(this: Scenario) {
    const engines = fixtureOf(this).fleet.backends.filter(backend => backend.vm.pool === "language-model");
    for (const engine of engines) {
        const response = await request(`http://${engine.vm.address}/faults`, {
            method: "POST",
            body: JSON.stringify({ hang: true }),
        });
        await response.body.dump();
    }
});

Given("a call is pending at the first daemon", async function(this: Scenario) {
    const fixture = fixtureOf(this);
    fixture.pendingAnswer = fixture.sendLongCall().then(
        async ({ statusCode, body }) => ({ status: statusCode, text: await body.text() }),
        () => undefined,
    );
    for (let active = 0; active === 0;) {
        const response = await request(`http://${fixture.daemon.callerAddress}/metrics`);
        const text = await response.body.text();
        active = Number(/foxtailrail_calls_accepted_total\{[^}]*\} (\d+)/.exec(text)?.[1] ?? 0);
    }
});

When("the sample calls are sent", async function(this: Scenario) {
    const fixture = fixtureOf(this);
    fixture.sampleResults = await sendSample(fixture.fleet, fixture.deployment);
});

When("the first daemon receives SIGTERM", function(this: Scenario) {
    const fixture = fixtureOf(this);
    fixture.daemonExit = fixture.daemon.process.terminate("SIGTERM");
});

When("the first daemon receives SIGHUP", function(this: Scenario) {
    fixtureOf(this).daemon.process.signal("SIGHUP");
});

Then(
    "the pending call gets status {int} with executed {string}",
    async function(this: Scenario, status: number, executed: string) {
        const answer = await fixtureOf(this).pendingAnswer;
        assert.equal(answer?.status, status);
        assert.equal((JSON.parse(answer.text) as { readonly executed: string }).executed, executed);
    },
);

Then("the first daemon still accepts a call", async function(this: Scenario) {
    const ready = await request(`http://${fixtureOf(this).daemon.callerAddress}/readyz`);
    await ready.body.dump();
    assert.equal(ready.statusCode, 200);
});

Then("every sample call gets a complete answer", function(this: Scenario) {
    const { sampleResults } = fixtureOf(this);
    assert.ok(sampleResults.length > 0);
    assert.deepEqual(sampleResults.filter(result => !result.complete), []);
});

Then("the first daemon is not ready but still accepts a call", async function(this: Scenario) {
    const { daemon, deployment } = fixtureOf(this);
    let status = 200;
    while (status === 200) {
        const ready = await request(`http://${daemon.callerAddress}/readyz`);
        await ready.body.dump();
        status = ready.statusCode;
    }
    assert.equal(status, 503);
    const lookup = await request(`http://${daemon.callerAddress}/v1/services/case-management/status`, {
        headers: { authorization: `Bearer ${deployment.workspaces[0].key}` },
    });
    await lookup.body.dump();
    assert.equal(lookup.statusCode, 200);
});

Then("the streamed answer is complete", async function(this: Scenario) {
    const text = await fixtureOf(this).streamedAnswer?.body.text();
    assert.equal(answerText(text ?? "", "streamed"), expectedAnswer(LONG_CALL_BODY));
});

Then("the first daemon exits with {int}", async function(this: Scenario, code: number) {
    assert.equal(await fixtureOf(this).daemonExit, code);
});

Then("each command exits with its code and prints its text", async function(this: Scenario, table: DataTable) {
    const fixture = fixtureOf(this);
    for (const { command, code, text } of table.hashes()) {
        const result = await runCommand(fixture, command.split(" "));
        assert.equal(result.exitCode, Number(code), `${command}: ${result.output}`);
        assert.ok(result.output.includes(text), `${command}: ${result.output}`);
    }
});

/** Relaxes the answer-time target of every operation, so that the result does not depend on the machine's speed. */
function relaxAnswerTargets(deployment: Deployment): Deployment {
    const operations = (deployment.configuration.operations as readonly object[])
        .map(operation => ({ ...operation, promise: { answerMs: RELAXED_ANSWER_MS } }));
    return { ...deployment, configuration: { ...deployment.configuration, operations } };
}

function runCommand(fixture: FleetFixture, args: readonly string[]): Promise<CommandResult> {
    const environment = {
        ...process.env,
        FOXTAILRAIL_ADDRESS: fixture.daemon.peerAddress,
        FOXTAILRAIL_KEY_FILE: fixture.fleet.keyFile,
    };
    const child = spawn(process.execPath, [CLI_PROGRAM, ...args], { env: environment, stdio: ["ignore", "pipe", "pipe"] });
    let output = "";
    const collect = (chunk: Buffer) => {
        output += chunk.toString("utf8");
    };
    child.stdout.on("data", collect);
    child.stderr.on("data", collect);
    return new Promise(resolve => {
        child.once("close", code => resolve({ exitCode: code ?? undefined, output }));
    });
}
