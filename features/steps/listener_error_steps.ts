/**
 * Steps about errors of listening servers.
 *
 * @module
 */

import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { type AddressInfo, Server } from "node:net";
import { EngineServer } from "../../platform/standin/engine_server.js";
import { SystemClock } from "../../src/state/mod.js";
import { HttpServer } from "../../src/transport/mod.js";
import { RelayFixture } from "../support/relay_fixture.js";
import type { Scenario } from "../support/world.js";

/** Body of the answer of an operations page. */
const PAGE_BODY = "page";

/** State of a scenario of this file. */
interface ListenerScenario extends Scenario {
    listeningRelay: RelayFixture;
    listeningServers: readonly Server[];
    daemonServer: HttpServer;
    daemonPort: number;
    daemonErrors: unknown[];
}

After(async function(this: ListenerScenario) {
    this.daemonServer?.close();
    await this.listeningRelay?.stop();
});

Given("a relay node whose servers are known", async function(this: ListenerScenario) {
    this.listeningRelay = new RelayFixture();
    this.listeningServers = await recordServers(() => this.listeningRelay.start([new EngineServer("engine-1")]));
});

Given("a daemon's server for callers that is known", async function(this: ListenerScenario) {
    this.daemonErrors = [];
    this.daemonServer = new HttpServer({
        clock: new SystemClock(),
        node: "entry-1",
        handler: { handle: () => Promise.resolve() },
        operationsPage: () => Promise.resolve({ status: 200, contentType: "text/plain", body: PAGE_BODY }),
        onError: error => this.daemonErrors.push(error),
    });
    this.listeningServers = await recordServers(async () => {
        this.daemonPort = await this.daemonServer.listen("127.0.0.1", 0);
    });
});

When(/^its server for (.+) gets (\d+) errors$/, function(this: ListenerScenario, use: string, count: string) {
    const { node } = this.listeningRelay;
    const addresses: Readonly<Record<string, string>> = {
        "callers": node.callerAddress,
        "calls of nodes": node.peerAddress,
        "the readiness check": node.readinessAddress,
        "metrics": node.metricsAddress,
    };
    failServer(this.listeningServers, Number(addresses[use]?.split(":")[1]), Number(count));
});

When("it gets {int} errors", function(this: ListenerScenario, count: number) {
    failServer(this.listeningServers, this.daemonPort, count);
});

Then("the node has logged {int} errors, and answers a call", async function(this: ListenerScenario, count: number) {
    const { errorLines } = this.listeningRelay;
    assert.equal(errorLines.length, count, JSON.stringify(errorLines));
    assert.equal((await this.listeningRelay.send({ path: "/safe/x" })).status, 200);
});

Then("the daemon's server has reported {int} errors, and answers a call", async function(this: ListenerScenario, count: number) {
    assert.equal(this.daemonErrors.length, count);
    assert.equal(await (await fetch(`http://127.0.0.1:${this.daemonPort}/`)).text(), PAGE_BODY);
});

/** Returns the servers that start to listen meanwhile. */
async function recordServers(start: () => Promise<void>): Promise<readonly Server[]> {
    const servers: Server[] = [];
    const listen: unknown = Reflect.get(Server.prototype, "listen");
    assert(typeof listen === "function");
    Reflect.set(Server.prototype, "listen", function(this: Server, ...parameters: unknown[]): unknown {
        servers.push(this);
        return Reflect.apply(listen, this, parameters);
    });
    try {
        await start();
    }
    finally {
        Reflect.set(Server.prototype, "listen", listen);
    }
    return servers;
}

/** Emits errors as the library does when a connection cannot be accepted. */
function failServer(servers: readonly Server[], port: number, count: number): void {
    const server = servers.find(candidate => (candidate.address() as AddressInfo).port === port);
    assert(server !== undefined);
    for (let error = 0; error < count; error += 1) {
        server.emit("error", new Error("accept EMFILE"));
    }
}
