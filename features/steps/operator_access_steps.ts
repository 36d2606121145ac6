/**
 * Steps about operators' keys and the time line.
 *
 * @module
 */

import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { setTimeout as sleep } from "node:timers/promises";
import { drawTimeline, type MergedTimeline, mergeTimelines, OperatorClient, OperatorError } from "../../src/cli/mod.js";
import {
    ConfigurationOperatorDesk,
    findOperator,
    OperatorDesk,
    parseSettings,
    type Settings,
    SettingsError,
    TimelineSender,
} from "../../src/daemon/mod.js";
import { type TimelineFeed, type wire } from "../../src/protocol/mod.js";
import { configurationOperatorService, GrpcServer, operatorService } from "../../src/transport/mod.js";
import { hashKey } from "../../standin/deployment.js";
import { rankChange, rememberVersions, versionsBefore } from "../support/configuration_changes.js";
import type { Scenario } from "../support/world.js";

/** Daemon's operator side, and what came of the last call to it. */
interface OperatorSide {
    readonly server: GrpcServer;
    readonly address: string;
    failure: unknown;
}

/** Operator sides by scenario. */
const sides = new WeakMap<Scenario, OperatorSide>();

/** Settings errors by scenario. */
const settingsErrors = new WeakMap<Scenario, unknown>();

/** Merged time lines by scenario. */
const merged = new WeakMap<Scenario, MergedTimeline>();

/** Settings text without its operators. */
const SETTINGS = `
node: entry-1
failureDomain: sul-a
listen: { callers: "127.0.0.1:1", peers: "127.0.0.1:2" }
platform: { log: "127.0.0.1:3", vmList: "127.0.0.1:4", weightStore: "127.0.0.1:5" }
`;

After(function(this: Scenario) {
    sides.get(this)?.server.close();
});

Given("a daemon's operator side over gRPC", async function(this: Scenario) {
    const [node] = this.fleet.nodes;
    const settings = readOperators(JSON.stringify([{ name: "ana", keyHash: hashKey("ana-key") }]));
    const find = (key: string | undefined) => findOperator(settings, key);
    const server = new GrpcServer({
        services: [
            operatorService(new OperatorDesk({ node, limits: [], isReady: () => true }), find),
            configurationOperatorService(new ConfigurationOperatorDesk(node), find),
        ],
    });
    const port = await server.listen("127.0.0.1", 0);
    sides.set(this, { server, address: `127.0.0.1:${port}`, failure: undefined });
});

When(/^an operator with (?:no key|the key "([^"]*)") asks it to (.*)$/, async function(
    this: Scenario,
    key: string | undefined,
    call: string,
) {
    rememberVersions(this);
    const side = sideOf(this);
    const client = new OperatorClient(side.address, key ?? undefined);
    const failed = (error: unknown) => {
        side.failure = error;
    };
    let over = false;
    const done = callSide(this, client, call).catch(failed).finally(() => {
        over = true;
        client.close();
    });
    while (!over) {
        await this.fleet.clock.advance(10);
        await sleep(1);
    }
    await done;
});

When(/^settings are read whose operators are (.*)$/, function(this: Scenario, operators: string) {
    const [ana, bela] = ["ana", "bela"].map(name => ({ name, keyHash: hashKey(name) }));
    const lists: Readonly<Record<string, readonly object[]>> = {
        "an empty list": [],
        "two of one name": [ana, { ...bela, name: "ana" }],
        "two of one key": [ana, { ...bela, keyHash: ana.keyHash }],
        "one whose hash is the key itself": [{ ...ana, keyHash: "ana-key" }],
    };
    assert.ok(operators in lists, `operators "${operators}" are unknown`);
    try {
        readOperators(JSON.stringify(lists[operators]));
    }
    catch (error) {
        settingsErrors.set(this, error);
    }
});

When(
    "the time lines of three nodes are merged and {string} breaks off after {int} event",
    async function(this: Scenario, broken: string, count: number) {
        const sources = ["entry-1", "entry-2", "entry-3"].map((node, index) => ({
            node,
            address: `127.0.0.1:${index + 1}`,
            async *read() {
                const events = [3, 1, 2].map(step => eventAt(1_000 * step + index, node)).sort((left, right) =>
                    left.wallMs - right.wallMs
                );
                for (const [place, event] of events.entries()) {
                    if (node === broken && place === count) {
                        throw new OperatorError("read time line", "127.0.0.1:2", false, new Error("gone") as never);
                    }
                    yield event;
                }
            },
        }));
        merged.set(this, await mergeTimelines(sources));
    },
);

Then("the operator is refused for the key and nothing was done", async function(this: Scenario) {
    const { failure } = sideOf(this);
    assert.ok(failure instanceof OperatorError && failure.refused, String(failure));
    await this.fleet.clock.advance(4_000);
    assert.equal(this.fleet.log.appends, 1);
    assert.deepEqual(this.fleet.nodes.map(node => node.view.current.version), versionsBefore.get(this));
});

Then("neither the refusal nor the time line holds the key", function(this: Scenario) {
    const texts = [String(sideOf(this).failure), ...this.fleet.nodes.flatMap(node => node.ring.list().map(event => event.text))];
    assert.ok(!texts.some(text => text.includes("wrong-key")));
});

Then("the time line names the operator {string}", function(this: Scenario, operator: string) {
    assert.equal(sideOf(this).failure, undefined);
    const events = this.fleet.nodes[0].ring.list();
    assert.ok(events.some(event => event.kind === "inForce" && event.text.includes(`by ${operator} `)));
});

Then("the settings are refused with a problem that names {string}", function(this: Scenario, field: string) {
    const error = settingsErrors.get(this);
    assert.ok(error instanceof SettingsError);
    assert.ok(error.problems.some(problem => problem.includes(`"${field}"`)), error.message);
});

Then("the events of {string} are in one order", function(this: Scenario, nodes: string) {
    const { events } = mergedOf(this);
    assert.equal(events.length, 7);
    assert.deepEqual(events.map(event => event.wallMs), [1_000, 1_001, 1_002, 2_000, 2_002, 3_000, 3_002]);
    assert.deepEqual([...new Set(events.map(event => event.node))].sort(), nodes.split(", "));
});

Then("the merged time line names {string} as not answering", function(this: Scenario, node: string) {
    assert.deepEqual(mergedOf(this).unreachable.map(each => each.node), [node]);
});

Then("the picture has a lane for each of {string}", function(this: Scenario, nodes: string) {
    const page = drawTimeline(mergedOf(this));
    for (const node of nodes.split(", ")) {
        assert.ok(page.includes(`>${node}</text>`) || page.includes(`>${node} (no answer)</text>`), node);
    }
    assert.ok(page.includes("No answer from entry-2"));
    assert.ok(!/(?:src|href)=/.test(page));
    assert.ok(page.includes("&lt;b&gt;") && !page.includes("<b>"));
});

When(
    "a reader takes {int} events, then none while {int} come, of which {int} may wait",
    function(this: Scenario, taken: number, coming: number, maxWaiting: number) {
        const reader = new SlowReader(taken);
        const sender = new TimelineSender({ feed: reader, backlog: [], describeDropped, endsAfterBacklog: false, maxWaiting });
        for (let index = 0; index < taken + coming; index += 1) {
            sender.offer(eventAt(index, "entry-1"));
        }
        readers.set(this, reader);
    },
);

When("a reader with {int} kept events takes {int} at a time", function(this: Scenario, kept: number, atATime: number) {
    const reader = new SlowReader(atATime);
    const backlog = Array.from({ length: kept }, (value, index) => eventAt(index, "entry-1"));
    new TimelineSender({ feed: reader, backlog, describeDropped, endsAfterBacklog: true });
    while (!reader.ended && reader.goOn(atATime)) {
        // The reader takes some more.
    }
    readers.set(this, reader);
});

Then("{int} of them are sent when the reader goes on", function(this: Scenario, count: number) {
    const reader = readerOf(this);
    const before = reader.events.length;
    reader.goOn(1_000);
    assert.equal(reader.events.slice(before).filter(event => event.kind === "tested").length, count);
});

Then("the reader is told that {int} events were dropped", function(this: Scenario, count: number) {
    assert.equal(readerOf(this).events.at(-1)?.text, `${count} dropped`);
});

Then("it gets {int} events and then the end", function(this: Scenario, count: number) {
    const reader = readerOf(this);
    assert.deepEqual([reader.events.length, reader.ended], [count, true]);
});

/** Reader that takes as many events as it is told to. */
class SlowReader implements TimelineFeed {
    readonly events: wire.EventRecord[] = [];
    ended = false;
    private drain = () => {};

    constructor(private room: number) {}

    /** Takes more events; returns whether any came. */
    goOn(room: number): boolean {
        const before = this.events.length;
        this.room = room;
        this.drain();
        return this.events.length > before || this.ended;
    }

    send(event: wire.EventRecord): boolean {
        this.events.push(event);
        this.room -= 1;
        return this.room > 0;
    }

    end(): void {
        this.ended = true;
    }

    onDrain(listener: () => void): void {
        this.drain = listener;
    }

    onClose(): void {
        // The reader stays.
    }
}

/** Readers by scenario. */
const readers = new WeakMap<Scenario, SlowReader>();

function describeDropped(count: number): wire.EventRecord {
    return { ...eventAt(0, "entry-1"), kind: "dropped", text: `${count} dropped` };
}

function eventAt(wallMs: number, node: string): wire.EventRecord {
    return {
        wallMs,
        counter: 0,
        node,
        part: "daemon",
        kind: "tested",
        requestId: "",
        peer: "",
        rollout: "",
        text: "<b>tested</b>",
    };
}

function readOperators(operators: string): Settings {
    return parseSettings(`${SETTINGS}tls: { plainText: true }\noperators: ${operators}\n`, "test.yaml");
}

async function callSide(scenario: Scenario, client: OperatorClient, call: string): Promise<void> {
    switch (call) {
        case "change the configuration": {
            const madeAgainst = scenario.fleet.nodes[0].view.published.version;
            await client.changeConfiguration({ id: "change", madeAgainst, changes: JSON.stringify([rankChange("desk", 5)]) });
            return;
        }
        case "read the configuration":
            await client.readConfiguration();
            return;
        case "read the status":
            await client.readStatus();
            return;
        case "read the time line":
            for await (
                const event of client.readTimeline({
                    requestId: "",
                    rollout: "",
                    peer: "",
                    sinceMs: 0,
                    untilMs: 0,
                    follow: false,
                })
            ) {
                assert.ok(!event, "an event was sent");
            }
            return;
        default:
            throw new Error(`Cannot call: "${call}" is unknown`);
    }
}

function sideOf(scenario: Scenario): OperatorSide {
    const side = sides.get(scenario);
    assert.ok(side, "no step has started an operator side");
    return side;
}

function mergedOf(scenario: Scenario): MergedTimeline {
    const timeline = merged.get(scenario);
    assert.ok(timeline, "no step has merged time lines");
    return timeline;
}

function readerOf(scenario: Scenario): SlowReader {
    const reader = readers.get(scenario);
    assert.ok(reader, "no step has made a reader");
    return reader;
}
