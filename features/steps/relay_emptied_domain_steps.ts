/**
 * Steps about emptied failure domains before real relay nodes on loopback.
 *
 * @module
 */

import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { EngineBehaviour, EngineServer, formatEvent, PLAIN_BODY, STREAM_EVENTS } from "../../platform/standin/engine_server.js";
import { type CallerAnswer, PATH_BY_CALL_KIND, RelayFixture, waitFor } from "../support/relay_fixture.js";
import type { Scenario } from "../support/world.js";

/** Record with which the operator empties a domain. */
const ORDER_KEY = "evacuate/zone-a";

/** Callers of each node that send one call after the other. */
const CALLERS_PER_NODE = 3;

/** Time between the events of a stream, in milliseconds, so that streams run when the order is given. */
const EVENT_INTERVAL_MS = 40;

/** Time for which an order is waited for, in milliseconds: that within which a node applies records. */
const APPLY_MS = 2_000;

/** Time within which what a node has written reaches a server, in milliseconds. */
const DELIVERY_MS = 100;

/** Time for which the servers of an emptied domain are watched, in milliseconds. */
const WATCH_MS = 800;

/** Duration of the calls that run at the server when others wait, in milliseconds. */
const LONG_CALL_MS = 1_500;

/** Ports that refuse connections. They are outside the range from which listeners get a free port. */
const REFUSING_PORTS: readonly number[] = [1, 2, 3, 4];

/** State of a scenario with two relay nodes before servers in two failure domains. */
export interface EmptiedRelayScenario extends Scenario {
    /** Region of each failure domain; the second node is in zone-b then. */
    regions: Readonly<Record<string, string>> | undefined;
    relays: RelayFixture[];
    /** Servers by their failure domain. */
    zones: Readonly<Record<string, readonly EngineServer[]>>;
    callAnswers: CallerAnswer[];
    waiting: Promise<CallerAnswer>[];
    running: Promise<CallerAnswer>[];
    isSending: boolean;
    callers: Promise<void>[];
    /** Calls that the servers in zone-a had received when the order was in force. */
    receivedBefore: number;
}

After(async function(this: EmptiedRelayScenario) {
    this.isSending = false;
    await Promise.all(this.callers ?? []);
    for (const relay of this.relays ?? []) {
        await relay.stop();
    }
    for (const engine of Object.values(this.zones ?? {}).flat()) {
        engine.close();
    }
});

Given(
    /^two relay nodes with (\d+) servers in zone-a and (\d+) in zone-b(, started after zone-a was emptied|, of which the first node reaches none|)$/,
    async function(this: EmptiedRelayScenario, inA: string, inB: string, condition: string) {
        const makeEngines = (zone: string, count: string) =>
            Array.from({ length: Number(count) }, (unused, index) => new EngineServer(`${zone}-${index + 1}`));
        this.zones = { "zone-a": makeEngines("zone-a", inA), "zone-b": makeEngines("zone-b", inB) };
        this.relays = [new RelayFixture("entry-1"), new RelayFixture("entry-2")];
        this.callAnswers = [];
        this.callers = [];
        this.receivedBefore = 0;
        await Promise.all(Object.values(this.zones).flat().map(engine => engine.start()));
        for (const [index, relay] of this.relays.entries()) {
            if (this.regions !== undefined) {
                relay.regions = this.regions;
                relay.failureDomain = index === 0 ? "zone-a" : "zone-b";
            }
            await relay.start([], false, store => {
                const ports = condition.endsWith("reaches none") && index === 0 ? [...REFUSING_PORTS] : [];
                for (const [zone, engines] of Object.entries(this.zones)) {
                    for (const engine of engines) {
                        const port = ports.shift();
                        const changes = { Zone: zone, ...port === undefined ? {} : { Address: `127.0.0.1:${port}` } };
                        store.put("keyed.servers", engine.id, engine.serverEntry("service", changes));
                    }
                }
                if (condition.startsWith(", started")) {
                    store.put("keyed.op", ORDER_KEY, {});
                }
                if (index > 0) {
                    const address = this.relays[0]?.node.peerAddress;
                    store.put("keyed.nodes", "entry-1", { address, failureDomain: "zone-a", cores: 1 });
                }
            });
        }
        await waitFor("the nodes know each other", () => this.relays.every(({ node }) => node.reachablePeers > 0));
    },
);

Given(
    /^the first server in zone-b (resets connections after a run|breaks its streams within an event)$/,
    function(this: EmptiedRelayScenario, fault: string) {
        const [first] = this.zones["zone-b"] ?? [];
        assert(first !== undefined);
        first.behaviour = fault.startsWith("resets") ? EngineBehaviour.ResetsAfterRun : EngineBehaviour.StreamBreaks;
    },
);

Given(/^callers send (.*) calls to both nodes all the time$/, async function(this: EmptiedRelayScenario, kind: string) {
    setKind(this, kind);
    this.isSending = true;
    this.callers = this.relays.flatMap(relay =>
        Array.from({ length: CALLERS_PER_NODE }, async () => {
            while (this.isSending) {
                this.callAnswers.push(await relay.send({ path: PATH_BY_CALL_KIND[kind] ?? assert.fail(kind) }));
            }
        })
    );
    await waitFor("servers in zone-a receive calls", () => receivedInA(this) > 0);
});

When("zone-a is emptied", async function(this: EmptiedRelayScenario) {
    putOrder(this, {});
    await awaitOrder(this);
    this.receivedBefore = receivedInA(this);
});

When("zone-a is taken back", async function(this: EmptiedRelayScenario) {
    this.receivedBefore = receivedInA(this);
    putOrder(this, undefined);
    await waitFor("both nodes have read the end of the order", () => haveEmptied(this, 0));
});

// While both domains are in use, the choice between them depends on the measured speeds of the servers, and so on the machine.
When("zone-a is taken back and zone-b is emptied", function(this: EmptiedRelayScenario) {
    this.receivedBefore = receivedInA(this);
    putOrder(this, undefined);
    putOrder(this, {}, "evacuate/zone-b");
});

When(
    "zone-a is emptied, the logs are restored to copies from before, and the order is written again after {int} ms",
    async function(this: EmptiedRelayScenario, delayMs: number) {
        for (const { store } of this.relays) {
            store.copy();
        }
        putOrder(this, {});
        await awaitOrder(this);
        this.receivedBefore = receivedInA(this);
        for (const { store } of this.relays) {
            store.restore();
        }
        await pause(delayMs);
        putOrder(this, {});
        await pause(APPLY_MS);
    },
);

When(
    "4 calls run at the server, 2 wait at each node, and zone-a is emptied",
    async function(this: EmptiedRelayScenario) {
        const [server] = this.zones["zone-a"] ?? [];
        const [first] = this.relays;
        assert(server !== undefined && first !== undefined);
        server.processingMs = LONG_CALL_MS;
        const send = (relay: RelayFixture) => relay.send({ path: "/unsafe/x" });
        this.running = Array.from({ length: 4 }, () => send(first));
        await waitFor("4 calls run", () => server.receivedCalls.length === 4);
        // Until the other node knows of them.
        await pause(DELIVERY_MS * 4);
        this.waiting = this.relays.flatMap(relay => [send(relay), send(relay)]);
        await waitFor("2 calls wait at each node", async () => {
            const counts = await Promise.all(this.relays.map(relay => relay.readMetric("waiting_calls")));
            return counts.every(count => count === 2);
        });
        putOrder(this, {});
    },
);

When(
    /^(\d+) (.*) calls are sent to each node, one after the other$/,
    async function(this: EmptiedRelayScenario, count: string, kind: string) {
        setKind(this, kind);
        for (const relay of this.relays) {
            for (let call = 0; call < Number(count); call += 1) {
                this.callAnswers.push(await relay.send({ path: PATH_BY_CALL_KIND[kind] ?? assert.fail(kind) }));
            }
        }
    },
);

Then("no server in zone-a receives a call any more", async function(this: EmptiedRelayScenario) {
    const before = receivedInA(this);
    await pause(WATCH_MS);
    assert.equal(receivedInA(this) - before, 0);
    assert(await haveEmptied(this, 1));
});

Then("no server in zone-a has received a call since the order", function(this: EmptiedRelayScenario) {
    assert.equal(receivedInA(this) - this.receivedBefore, 0);
});

Then("servers in zone-a receive calls again", async function(this: EmptiedRelayScenario) {
    await waitFor("zone-a receives calls", () => receivedInA(this) > this.receivedBefore);
});

Then("every call was answered as a whole", async function(this: EmptiedRelayScenario) {
    this.isSending = false;
    await Promise.all(this.callers);
    const isStream = this.zones["zone-b"]?.[0]?.isStream === true;
    const events = Array.from({ length: STREAM_EVENTS }, (unused, index) => formatEvent(index + 1)).join("");
    assert(this.callAnswers.length > 0);
    for (const { status, body, isComplete } of this.callAnswers) {
        assert.deepEqual({ status, body, isComplete }, { status: 200, body: isStream ? events : PLAIN_BODY, isComplete: true });
    }
});

Then(
    "the running calls are answered, and the waiting ones are refused as not run with a time to return",
    async function(this: EmptiedRelayScenario) {
        for (const answer of await Promise.all(this.waiting)) {
            assertRefused(answer);
        }
        for (const { status, body } of await Promise.all(this.running)) {
            assert.deepEqual({ status, body }, { status: 200, body: PLAIN_BODY });
        }
        assert.equal(receivedInA(this), this.running.length);
    },
);

Then("a call that is sent now is refused in the same way", async function(this: EmptiedRelayScenario) {
    for (const relay of this.relays) {
        assertRefused(await relay.send({ path: "/safe/x" }));
    }
});

Then("a call that is sent now is answered", async function(this: EmptiedRelayScenario) {
    for (const relay of this.relays) {
        assert.equal((await relay.send({ path: "/safe/x" })).status, 200);
    }
});

function assertRefused({ status, headers, body }: CallerAnswer): void {
    assert.equal(status, 503);
    assert.match(body, /failure domains that are kept empty; it has not run/);
    assert(Number(headers["retry-after"]) >= 0, JSON.stringify(headers));
}

function setKind({ zones }: EmptiedRelayScenario, kind: string): void {
    for (const engine of Object.values(zones).flat()) {
        engine.isStream = kind.endsWith("stream");
        engine.eventIntervalMs = EVENT_INTERVAL_MS;
    }
}

/** Writes the order to both logs, or ends it. */
function putOrder({ relays }: EmptiedRelayScenario, value: unknown, key = ORDER_KEY): void {
    for (const { store } of relays) {
        store.put("keyed.op", key, value);
    }
}

/** Waits until both nodes state that the order is in force, at most for the time in which it must be. */
async function awaitOrder(scenario: EmptiedRelayScenario): Promise<void> {
    const untilMs = performance.now() + APPLY_MS;
    while (performance.now() < untilMs && !await haveEmptied(scenario, 1)) {
        await pause(DELIVERY_MS);
    }
    await pause(DELIVERY_MS);
}

async function haveEmptied({ relays }: EmptiedRelayScenario, domains: number): Promise<boolean> {
    const counts = await Promise.all(relays.map(relay => relay.readMetric("emptied_domains")));
    return counts.every(count => count === domains);
}

function receivedInA({ zones }: EmptiedRelayScenario): number {
    return (zones["zone-a"] ?? []).reduce((sum, engine) => sum + engine.receivedCalls.length, 0);
}

function pause(durationMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, durationMs));
}
