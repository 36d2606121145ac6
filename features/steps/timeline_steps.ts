/**
 * Steps for merging, rendering and sending event timelines.
 *
 * @module
 */

import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { type MergedTimeline, mergeTimelines, OperatorError, renderTimelinePage } from "../../src/cli/mod.js";
import { TimelineSender } from "../../src/daemon/mod.js";
import type { TimelineFeed, wire } from "../../src/protocol/mod.js";
import type { Scenario } from "../support/world.js";

/** Merged timelines by scenario. */
const mergedTimelines = new WeakMap<Scenario, MergedTimeline>();

When(
    "the timelines of three nodes are merged and reading {string} fails after {int} event",
    async function(this: Scenario, unreadableNode: string, count: number) {
        const sources = ["entry-1", "entry-2", "entry-3"].map((node, index) => ({
            node,
            address: `127.0.0.1:${index + 1}`,
            async *read() {
                const events = [3, 1, 2].map(step => makeEvent(1_000 * step + index, node)).sort((left, right) =>
                    left.wallMs - right.wallMs
                );
                for (const [position, event] of events.entries()) {
                    if (node === unreadableNode && position === count) {
                        throw new OperatorError("read time line", "127.0.0.1:2", false, new Error("gone") as never);
                    }
                    yield event;
                }
            },
        }));
        mergedTimelines.set(this, await mergeTimelines(sources));
    },
);

Then("the events of {string} are sorted by time", function(this: Scenario, nodes: string) {
    const { events } = mergedTimelineOf(this);
    assert.equal(events.length, 7);
    assert.deepEqual(events.map(event => event.wallMs), [1_000, 1_001, 1_002, 2_000, 2_002, 3_000, 3_002]);
    assert.deepEqual([...new Set(events.map(event => event.node))].sort(), nodes.split(", "));
});

Then("the merged timeline names {string} as unreachable", function(this: Scenario, node: string) {
    assert.deepEqual(mergedTimelineOf(this).unreachable.map(source => source.node), [node]);
});

Then("the timeline page has a lane for each of {string}", function(this: Scenario, nodes: string) {
    const page = renderTimelinePage(mergedTimelineOf(this));
    for (const node of nodes.split(", ")) {
        assert.ok(page.includes(`>${node}</text>`) || page.includes(`>${node} (no answer)</text>`), node);
    }
    assert.ok(page.includes("No answer from entry-2"));
    assert.ok(!/(?:src|href)=/.test(page));
    assert.ok(page.includes("&lt;b&gt;") && !page.includes("<b>"));
});

When(
    "a reader accepts {int} events, then none while {int} arrive, with a queue limit of {int}",
    function(this: Scenario, accepted: number, arriving: number, maxQueued: number) {
        const reader = new SlowReader(accepted);
        const sender = new TimelineSender({
            feed: reader,
            backlog: [],
            makeDroppedEvent,
            endsAfterBacklog: false,
            maxQueued,
        });
        for (let index = 0; index < accepted + arriving; index += 1) {
            sender.offer(makeEvent(index, "entry-1"));
        }
        readers.set(this, reader);
    },
);

When(
    "a reader accepts a backlog of {int} events {int} at a time",
    function(this: Scenario, backlogLength: number, batchSize: number) {
        const reader = new SlowReader(batchSize);
        const backlog = Array.from({ length: backlogLength }, (value, index) => makeEvent(index, "entry-1"));
        new TimelineSender({ feed: reader, backlog, makeDroppedEvent, endsAfterBacklog: true });
        while (!reader.ended && reader.resume(batchSize)) {
            // Each iteration accepts one more batch.
        }
        readers.set(this, reader);
    },
);

Then("{int} of them are sent when the reader resumes", function(this: Scenario, count: number) {
    const reader = readerOf(this);
    const before = reader.events.length;
    reader.resume(1_000);
    assert.equal(reader.events.slice(before).filter(event => event.kind === "tested").length, count);
});

Then("the reader is told that {int} events were dropped", function(this: Scenario, count: number) {
    assert.equal(readerOf(this).events.at(-1)?.text, `${count} dropped`);
});

Then("it receives {int} events and then the end of the stream", function(this: Scenario, count: number) {
    const reader = readerOf(this);
    assert.deepEqual([reader.events.length, reader.ended], [count, true]);
});

/** Reader that accepts a limited number of events before it applies backpressure. */
class SlowReader implements TimelineFeed {
    readonly events: wire.EventRecord[] = [];
    ended = false;
    private drainListener = () => {};

    constructor(private capacity: number) {}

    /** Accepts more events; returns whether any were received or the stream has ended. */
    resume(capacity: number): boolean {
        const before = this.events.length;
        this.capacity = capacity;
        this.drainListener();
        return this.events.length > before || this.ended;
    }

    send(event: wire.EventRecord): boolean {
        this.events.push(event);
        this.capacity -= 1;
        return this.capacity > 0;
    }

    end(): void {
        this.ended = true;
    }

    onDrain(listener: () => void): void {
        this.drainListener = listener;
    }

    onClose(): void {
        // The reader never disconnects.
    }
}

/** Readers by scenario. */
const readers = new WeakMap<Scenario, SlowReader>();

function makeDroppedEvent(count: number): wire.EventRecord {
    return { ...makeEvent(0, "entry-1"), kind: "dropped", text: `${count} dropped` };
}

function makeEvent(wallMs: number, node: string): wire.EventRecord {
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

function mergedTimelineOf(scenario: Scenario): MergedTimeline {
    const timeline = mergedTimelines.get(scenario);
    assert.ok(timeline, "no step has merged timelines");
    return timeline;
}

function readerOf(scenario: Scenario): SlowReader {
    const reader = readers.get(scenario);
    assert.ok(reader, "no step has created a reader");
    return reader;
}
