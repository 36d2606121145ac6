/**
 * Steps about the start of a relay node.
 *
 * @module
 */

import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createSocket } from "node:dgram";
import { createServer } from "node:net";
import { RelayFixture, waitFor } from "../support/relay_fixture.js";
import { RelayProgram } from "../support/relay_program.js";
import type { Scenario } from "../support/world.js";

/** State of a scenario of this file. */
interface StartScenario extends Scenario {
    startedRelay: RelayFixture;
    /** Resolves when the node has started. */
    started: Promise<void>;
    closeOccupant: () => void;
    /** Program of the steps about signals, which stop it. */
    signalProgram: RelayProgram;
}

After(async function(this: StartScenario) {
    await this.startedRelay?.stop();
    this.closeOccupant?.();
});

Given(
    /^a relay node whose (\w+) port is in use by (TCP|UDP)$/,
    async function(this: StartScenario, use: string, protocol: string) {
        const occupant = await (protocol === "TCP" ? occupyStreamPort() : occupyDatagramPort());
        this.closeOccupant = occupant.close;
        this.startedRelay = new RelayFixture();
        this.startedRelay.listen[use] = `127.0.0.1:${occupant.port}`;
    },
);

When("it is started", function(this: StartScenario) {
    this.started = this.startedRelay.start([]);
});

Then(
    "it says for which port it waits, and does not listen for callers for {int} ms",
    async function(this: StartScenario, durationMs: number) {
        const waitingLines = () => this.startedRelay.lines.filter(({ msg }) => msg === "node: waits for a port");
        await waitFor("the node waits", () => waitingLines().length > 0);
        const endMs = performance.now() + durationMs;
        while (performance.now() < endMs) {
            await new Promise(resolve => setTimeout(resolve, 20));
            assert.match(this.startedRelay.node.callerAddress, /:0$/);
        }
        const [line, ...others] = waitingLines();
        assert.match(String(line?.error), /EADDRINUSE/);
        assert.equal(others.length, 0);
    },
);

When("the port is free", function(this: StartScenario) {
    this.closeOccupant();
    this.closeOccupant = () => undefined;
});

Then("the node becomes ready", async function(this: StartScenario) {
    await this.started;
    assert.equal(this.startedRelay.node.isReady, true);
});

Given("a relay program whose port for callers is in use", async function(this: StartScenario) {
    this.signalProgram = new RelayProgram();
    await this.signalProgram.prepare([]);
    const [, port = "0"] = this.signalProgram.callerAddress.split(":");
    this.closeOccupant = (await occupyStreamPort(Number(port))).close;
});

When(
    /^it is started, and (the port is free|it receives SIGTERM) after (\d+) ms$/,
    async function(this: StartScenario, event: string, delayMs: string) {
        await this.signalProgram.startUnready();
        await new Promise(resolve => setTimeout(resolve, Number(delayMs)));
        if (event === "the port is free") {
            this.closeOccupant();
        }
        else {
            this.signalProgram.signal("SIGTERM");
        }
    },
);

/** Port that is in use until it is closed. */
interface Occupant {
    readonly port: number;
    readonly close: () => void;
}

async function occupyStreamPort(port = 0): Promise<Occupant> {
    const server = createServer();
    await new Promise<void>(resolve => server.listen(port, "127.0.0.1", resolve));
    const address = server.address();
    return { port: typeof address === "object" && address ? address.port : 0, close: () => server.close() };
}

async function occupyDatagramPort(): Promise<Occupant> {
    const socket = createSocket("udp4");
    await new Promise<void>(resolve => socket.bind(0, "127.0.0.1", resolve));
    return { port: socket.address().port, close: () => socket.close() };
}
