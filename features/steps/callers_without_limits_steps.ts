/**
 * Steps about callers that keep to no limit, with the daemon's own process on loopback.
 *
 * @module
 */

import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { Readable } from "node:stream";
import { setTimeout as pause } from "node:timers/promises";
import { Agent, request } from "undici";
import { type Deployment, readDeployment } from "../../standin/deployment.js";
import { LocalFleet, type LocalFleetSettings } from "../../standin/local_fleet.js";
import { RoughCrowd } from "../support/rough_callers.js";
import { RoughPeers } from "../support/rough_peers.js";
import type { Scenario } from "../support/world.js";

/** Low limits of the daemon, so that a small crowd exceeds them. */
const LOW_LIMITS = { maxBodyBytes: 1_048_576, maxHeldBytes: 8_388_608, maxConnections: 128 };

/** Time that an ordinary caller waits, and that the platform waits after SIGTERM, in milliseconds: a bound on hanging, not on speed. */
const PATIENT_MS = 40_000;

/** Attempts of a caller that comes back after a refusal or a closed connection, and the time between two of them, in milliseconds. */
const ATTEMPTS = 4;
const ATTEMPT_PAUSE_MS = 250;

/** Time for which a crowd stays before an ordinary call is sent, in milliseconds. */
const STAY_MS = 1_500;

/** Answer-time target that even a heavily loaded machine meets, in milliseconds. */
const RELAXED_ANSWER_MS = 600_000;

const BYTES_PER_MEGABYTE = 1_000_000;

/** State of a scenario of this file. */
interface RoughScenario extends Scenario {
    roughFleet: LocalFleet;
    roughDeployment: Deployment;
    roughCallers: RoughCrowd | undefined;
    roughPeers: RoughPeers | undefined;
}

After(async function(this: RoughScenario) {
    this.roughCallers?.leave();
    this.roughPeers?.leave();
    // A daemon that hangs does not end by SIGTERM.
    this.roughFleet?.daemons[0]?.process.signal("SIGKILL");
    await this.roughFleet?.stop();
});

Given("a daemon with low limits on input", async function(this: RoughScenario) {
    await startDaemon(this, { daemonSettings: { input: LOW_LIMITS } });
});

Given("a daemon with a heap of {int} MB", async function(this: RoughScenario, daemonHeapMegabytes: number) {
    await startDaemon(this, { daemonHeapMegabytes });
});

Given("a daemon with {int} descriptors", async function(this: RoughScenario, daemonDescriptors: number) {
    await startDaemon(this, { daemonDescriptors });
});

/** Starts a fleet of one daemon and one server for each pool. */
async function startDaemon(scenario: RoughScenario, settings: Partial<LocalFleetSettings>): Promise<void> {
    const deployment = await readDeployment("examples/rastro-sul.yaml");
    scenario.roughDeployment = {
        ...deployment,
        entryVms: deployment.entryVms.slice(0, 1),
        pools: deployment.pools.map(pool => ({ ...pool, servers: pool.servers.slice(-1) })),
        configuration: {
            ...deployment.configuration,
            operations: deployment.configuration.operations.map(operation => ({
                ...operation as object,
                promise: { answerMs: RELAXED_ANSWER_MS },
            })),
        },
    };
    scenario.roughFleet = new LocalFleet({
        ...settings,
        deployment: scenario.roughDeployment,
        operatorKey: "operator",
        daemonSettings: { drain: { balancerLagMs: 200, limitMs: 1_000 }, ...settings.daemonSettings },
    });
    await scenario.roughFleet.start();
}

When(/^(\d+) callers send (.+) to (\S+)$/, async function(this: RoughScenario, count: string, content: string, path: string) {
    this.roughCallers = new RoughCrowd(this.roughFleet.daemons[0].callerAddress, path, content, Number(count));
    await this.roughCallers.awaitStart();
});

When(
    /^(\d+) clients send (.+) to the port of peers and operators$/,
    async function(this: RoughScenario, count: string, content: string) {
        this.roughCallers = new RoughCrowd(this.roughFleet.daemons[0].peerAddress, "/", content, Number(count));
        await this.roughCallers.awaitStart();
        await pause(STAY_MS);
    },
);

When("the crowd stays for a while", async () => {
    await pause(STAY_MS);
});

When(
    "{int} peers each send {int} messages of {int} bytes that stop short",
    async function(this: RoughScenario, peers: number, messages: number, bytes: number) {
        this.roughPeers = new RoughPeers(this.roughFleet.daemons[0].peerAddress);
        await this.roughPeers.start(peers, messages, bytes);
    },
);

Then("the metric {string} is over {int}", async function(this: RoughScenario, name: string, least: number) {
    const response = await request(`http://${this.roughFleet.daemons[0].callerAddress}/metrics`);
    const value = new RegExp(`^${name} (\\d+)$`, "m").exec(await response.body.text())?.[1];
    assert(Number(value) > least, `it is ${value}`);
});

When("the callers leave", function(this: RoughScenario) {
    this.roughCallers?.leave();
});

Then("an ordinary call is answered", async function(this: RoughScenario) {
    await assertAnswered(this, formatBody("ordinary"));
});

Then("an ordinary call is answered at one of its attempts", async function(this: RoughScenario) {
    const failures: string[] = [];
    for (let attempt = 1; attempt <= ATTEMPTS; attempt += 1) {
        const dispatcher = new Agent();
        const answered = assertAnswered(this, formatBody("ordinary"), dispatcher);
        const failure = await answered.then(() => undefined, (error: unknown) => String(error));
        void dispatcher.destroy();
        if (failure === undefined) {
            return;
        }
        failures.push(failure);
        await pause(ATTEMPT_PAUSE_MS);
    }
    assert.fail(failures.join(", "));
});

Then("a call of {int} bytes in chunks of 1 is answered", async function(this: RoughScenario, bytes: number) {
    const emptyBytes = formatBody("").length;
    const body = formatBody("x".repeat(bytes - emptyBytes));
    await assertAnswered(this, Readable.from(body, { objectMode: true }));
});

Then(
    "the daemon lives and has used less than {int} MB and has fewer than {int} descriptors",
    function(this: RoughScenario, maxMegabytes: number, maxDescriptors: number) {
        const { pid } = this.roughFleet.daemons[0].process;
        const kibibytes = /^VmHWM:\s+(\d+) kB$/m.exec(readFileSync(`/proc/${pid}/status`, "utf8"))?.[1];
        const megabytes = Number(kibibytes) * 1_024 / BYTES_PER_MEGABYTE;
        const descriptors = readdirSync(`/proc/${pid}/fd`).length;
        assert(megabytes < maxMegabytes, `it has used ${Math.round(megabytes)} MB`);
        assert(descriptors < maxDescriptors, `it has ${descriptors} descriptors`);
    },
);

Then("the daemon ends after SIGTERM", async function(this: RoughScenario) {
    const timeout = AbortSignal.timeout(PATIENT_MS);
    const late = new Promise<"late">(resolve => timeout.addEventListener("abort", () => resolve("late")));
    const end = await Promise.race([this.roughFleet.daemons[0].process.terminate("SIGTERM"), late]);
    assert.notEqual(end, "late");
});

/** Formats the body of a call. */
function formatBody(content: string): string {
    return JSON.stringify({ model: "default", max_tokens: 4, messages: [{ role: "user", content }] });
}

/**
 * Sends a call and expects a complete answer.
 *
 * @param body Text, or stream in chunks.
 * @param dispatcher Connections of the caller. By default, it uses open ones again.
 */
async function assertAnswered(
    { roughFleet, roughDeployment }: RoughScenario,
    body: string | Readable,
    dispatcher?: Agent,
): Promise<void> {
    const response = await request(`http://${roughFleet.daemons[0].callerAddress}/v1/chat/completions`, {
        method: "POST",
        headers: {
            authorization: `Bearer ${roughDeployment.workspaces[0].key}`,
            "content-type": "application/json",
            "foxtailrail-operation": "dossier-summary",
        },
        body,
        dispatcher,
        signal: AbortSignal.timeout(PATIENT_MS),
    });
    const text = await response.body.text();
    assert.equal(response.statusCode, 200, text);
}
