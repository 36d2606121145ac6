/**
 * Steps about the dissemination of shared values by gossip.
 *
 * @module
 */

import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { MAX_PEER_BYTES_PER_SECOND } from "../../src/coordination/mod.js";
import { type SharedValue, Topic } from "../../src/protocol/mod.js";
import type { MemberFleet } from "../../standin/member_fleet.js";
import { memberFleet } from "../support/member_fleets.js";
import type { Scenario } from "../support/world.js";

/** Interval between polls while a value is awaited, in milliseconds. */
const POLL_INTERVAL_MS = 100;

/** Bytes by which probes and membership updates can exceed the budget at once. */
const PROBE_ALLOWANCE_BYTES = 2_000;

/** Burst capacity of a byte budget, in seconds of its rate. */
const BURST_SECONDS = 2;

/** Time of the last publication in a scenario, and its error if it failed. */
const publications = new WeakMap<Scenario, { readonly atMs: number; readonly error?: Error }>();

/** Parses the name of a topic, or `topic NUMBER`. */
function toTopic(name: string): Topic {
    return name.startsWith("topic ") ? Number(name.slice("topic ".length)) : Topic[name as keyof typeof Topic];
}

When(/^node "(.*)" publishes "(.*)" as "?([A-Za-z]+|topic \d+)"? for "(.*)"$/, function(
    this: Scenario,
    id: string,
    text: string,
    topic: string,
    key: string,
) {
    const fleet = memberFleet(this);
    fleet.get(id).dissemination.publish(toTopic(topic), key, Buffer.from(text));
    publications.set(this, { atMs: fleet.clock.now() });
});

When(
    "node {string} publishes the numbers from {int} to {int} as {string} for {string}, one every {int} ms",
    async function(this: Scenario, id: string, first: number, last: number, topic: string, key: string, intervalMs: number) {
        const fleet = memberFleet(this);
        for (let number = first; number <= last; number += 1) {
            fleet.get(id).dissemination.publish(toTopic(topic), key, Buffer.from(String(number)));
            await fleet.clock.advance(intervalMs);
        }
    },
);

When(
    /^every node publishes (\d+) values of (\d+) bytes as "(\w+)"(?: and as "(\w+)")? every second, (\d+) times$/,
    async function(this: Scenario, count: string, bytes: string, first: string, second: string | undefined, times: string) {
        const fleet = memberFleet(this);
        const topics = [first, second].filter(name => typeof name === "string").map(toTopic);
        for (let round = 0; round < Number(times); round += 1) {
            for (const { dissemination } of fleet.processes.values()) {
                for (
                    const [topic, key] of topics.flatMap(each =>
                        Array.from({ length: Number(count) }, (value, index) => [each, index])
                    )
                ) {
                    dissemination.publish(topic, `key-${key}`, Buffer.alloc(Number(bytes), round));
                }
            }
            await fleet.clock.advance(1_000);
        }
    },
);

Then("at node {string} the values of its domain as {string} are fresher than those as {string}", function(
    this: Scenario,
    id: string,
    fresher: string,
    older: string,
) {
    const { dissemination, vm } = memberFleet(this).get(id);
    const fleet = memberFleet(this);
    const origins = [...fleet.processes.keys()].filter(each => each !== id && each.startsWith(`${vm.failureDomain}-`));
    const keys = new Set(fleet.get(id).arrivals.map(value => value.key));
    // A value that has not arrived yet counts as infinitely old.
    const ages = (topic: string) => {
        const values = dissemination.read(toTopic(topic));
        const ageOf = (origin: string, key: string) => values.find(each => each.origin === origin && each.key === key)?.ageMs;
        return origins.flatMap(origin => [...keys].map(key => ageOf(origin, key) ?? Infinity)).sort((left, right) =>
            left - right
        );
    };
    const median = (values: readonly number[]) => values[Math.floor(values.length / 2)];
    const [first, second] = [ages(fresher), ages(older)];
    assert.ok(median(first) < median(second), `The median ages are ${median(first)} and ${median(second)} ms.`);
});

When("node {string} publishes a value of {int} bytes", function(this: Scenario, id: string, bytes: number) {
    const fleet = memberFleet(this);
    try {
        fleet.get(id).dissemination.publish(Topic.SentLoad, "pool", Buffer.alloc(bytes));
        publications.set(this, { atMs: fleet.clock.now() });
    }
    catch (error) {
        publications.set(this, { atMs: fleet.clock.now(), error: error as Error });
    }
});

Then("publishing fails with {string}", function(this: Scenario, message: string) {
    assert.equal(publications.get(this)?.error?.message, message);
});

Then(
    /^within (\d+) seconds every other node reads "(.*)" from "(.*)" as "?([A-Za-z]+|topic \d+)"? for "(.*)"$/,
    async function(this: Scenario, seconds: string, text: string, origin: string, topic: string, key: string) {
        const fleet = memberFleet(this);
        await awaitNoMismatches(fleet, Number(seconds), () => {
            const others = [...fleet.processes.keys()].filter(id => id !== origin);
            return others.filter(id => readValueText(fleet, { id, origin, topic: toTopic(topic), key }) !== text);
        });
    },
);

Then("within {int} seconds node {string} reads {string} from {string} as {string}", async function(
    this: Scenario,
    seconds: number,
    id: string,
    text: string,
    origin: string,
    topic: string,
) {
    const fleet = memberFleet(this);
    await awaitNoMismatches(fleet, seconds, () => readValueTexts(fleet, id, origin, topic).includes(text) ? [] : [id]);
});

Then("node {string} reads {string} from {string} as {string}", function(
    this: Scenario,
    id: string,
    text: string,
    origin: string,
    topic: string,
) {
    assert.deepEqual(readValueTexts(memberFleet(this), id, origin, topic), [text]);
});

Then("node {string} reads nothing from {string} as {string}", function(
    this: Scenario,
    id: string,
    origin: string,
    topic: string,
) {
    assert.deepEqual(readValueTexts(memberFleet(this), id, origin, topic), []);
});

Then("every other node received {string} from {string} once", function(this: Scenario, text: string, origin: string) {
    for (const [id, { arrivals }] of memberFleet(this).processes) {
        const count = arrivals.filter(value => value.origin === origin && decodeText(value) === text).length;
        assert.equal(count, id === origin ? 0 : 1, `Node ${id} received the value ${count} times.`);
    }
});

Then("the age of the value at {string} counts from its publication, within {int} ms", function(
    this: Scenario,
    id: string,
    toleranceMs: number,
) {
    const fleet = memberFleet(this);
    const [value] = fleet.get(id).arrivals;
    const read = fleet.get(id).dissemination.read(value.topic).find(each => each.origin === value.origin);
    const trueAgeMs = fleet.clock.now() - (publications.get(this)?.atMs ?? 0);
    assert.ok(Math.abs((read?.ageMs ?? 0) - trueAgeMs) <= toleranceMs, `The age is ${read?.ageMs} ms, not ${trueAgeMs} ms.`);
});

Then("the numbers from {string} strictly increased at every node", function(this: Scenario, origin: string) {
    for (const [id, { arrivals }] of memberFleet(this).processes) {
        const numbers = arrivals.filter(value => value.origin === origin).map(value => Number(decodeText(value))).filter(
            Number.isFinite,
        );
        assert.deepEqual(
            numbers,
            [...new Set(numbers)].sort((left, right) => left - right),
            `The numbers at node ${id} are not strictly increasing.`,
        );
        assert.ok(id === origin || numbers.length > 0);
    }
});

Then("no node has sent more bytes than its budget allows", function(this: Scenario) {
    const fleet = memberFleet(this);
    for (const [id, { vm, membership }] of fleet.processes) {
        const seconds = (fleet.clock.now() - membership.self.life) / 1_000 + BURST_SECONDS;
        const allowed = MAX_PEER_BYTES_PER_SECOND * seconds + PROBE_ALLOWANCE_BYTES;
        const sent = fleet.network.trafficOf(vm.address).sentBytes;
        assert.ok(sent <= allowed, `Node ${id} sent ${sent} bytes, ${allowed} are allowed.`);
    }
});

Then("node {string} holds more values of its own domain than of any other", function(this: Scenario, id: string) {
    const { dissemination, vm } = memberFleet(this).get(id);
    const counts = new Map<string, number>();
    for (const value of dissemination.read(Topic.RolloutEvidence)) {
        const domain = value.origin.split("-")[0];
        counts.set(domain, (counts.get(domain) ?? 0) + 1);
    }
    const own = counts.get(vm.failureDomain) ?? 0;
    const others = [...counts].filter(([domain]) => domain !== vm.failureDomain).map(([, count]) => count);
    assert.ok(
        own > Math.max(0, ...others),
        `The node holds ${own} values of its own domain, and of others ${others.join(", ")}.`,
    );
});

/** Identifies a value at the node that reads it. */
interface ValueQuery {
    readonly id: string;
    readonly origin: string;
    readonly topic: Topic;
    readonly key: string;
}

function readValueText(fleet: MemberFleet, { id, origin, topic, key }: ValueQuery): string | undefined {
    const values = fleet.get(id).dissemination.read(topic);
    const value = values.find(each => each.origin === origin && each.key === key);
    return value === undefined ? undefined : decodeText(value);
}

function readValueTexts(fleet: MemberFleet, id: string, origin: string, topic: string): readonly string[] {
    return fleet.get(id).dissemination.read(toTopic(topic)).filter(value => value.origin === origin).map(decodeText);
}

function decodeText(value: SharedValue): string {
    return Buffer.from(value.data).toString("utf8");
}

/** Waits until no mismatch is listed, and fails with the mismatches that are left at the deadline. */
async function awaitNoMismatches(fleet: MemberFleet, seconds: number, listMismatches: () => readonly string[]): Promise<void> {
    const deadlineMs = fleet.clock.now() + seconds * 1_000;
    while (listMismatches().length > 0 && fleet.clock.now() < deadlineMs) {
        await fleet.clock.advance(POLL_INTERVAL_MS);
    }
    assert.deepEqual(listMismatches(), []);
}
