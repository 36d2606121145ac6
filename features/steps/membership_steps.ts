/**
 * Steps about membership and failure detection.
 *
 * @module
 */

import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { isRemoved, MemberState } from "../../src/coordination/mod.js";
import { MemberFleet } from "../../standin/member_fleet.js";
import { memberFleet, memberFleets } from "../support/member_fleets.js";
import type { Scenario } from "../support/world.js";

/** Time within which a new fleet reaches a steady state, in milliseconds. */
const WARM_UP_MS = 15_000;

/** Interval between polls while a state is awaited, in milliseconds. */
const POLL_INTERVAL_MS = 100;

/** Time between the crash of all processes and their restart, in milliseconds. */
const RESTART_DELAY_MS = 1_000;

/** Baselines of the fleets that a scenario has started, in order. */
const baselines = new WeakMap<Scenario, FleetBaseline[]>();

/** Fleet with the time and the bytes that it had sent at the end of its warm-up. */
interface FleetBaseline {
    readonly fleet: MemberFleet;
    readonly atMs: number;
    readonly sentBytes: number;
}

After(function(this: Scenario) {
    for (const process of memberFleets.get(this)?.processes.values() ?? []) {
        process.stopped.abort();
    }
});

Given("{int} domains of {int} membership nodes each", async function(this: Scenario, domains: number, nodesPerDomain: number) {
    for (const process of memberFleets.get(this)?.processes.values() ?? []) {
        process.stopped.abort();
    }
    const fleet = new MemberFleet({ domains, nodesPerDomain });
    memberFleets.set(this, fleet);
    await fleet.clock.advance(WARM_UP_MS);
    const previous = baselines.get(this) ?? [];
    baselines.set(this, [...previous, { fleet, atMs: fleet.clock.now(), sentBytes: totalSentBytes(fleet) }]);
});

Given("the membership VM list lags by {int} seconds", function(this: Scenario, seconds: number) {
    memberFleet(this).vmList.lagMs = seconds * 1_000;
});

Given("the membership VM list is down", function(this: Scenario) {
    memberFleet(this).vmList.down = true;
});

When("membership node {string} crashes", function(this: Scenario, id: string) {
    memberFleet(this).kill(id);
    memberFleet(this).publishVmList();
});

When("membership node {string} leaves", async function(this: Scenario, id: string) {
    const fleet = memberFleet(this);
    await fleet.clock.runUntil(fleet.get(id).membership.leave());
    fleet.kill(id);
});

When("membership node {string} starts at {string}", function(this: Scenario, id: string, address: string) {
    memberFleet(this).start(id, address);
    memberFleet(this).publishVmList();
});

When(
    "membership node {string} of the previous protocol version starts at {string}",
    function(this: Scenario, id: string, address: string) {
        memberFleet(this).start(id, address, true);
        memberFleet(this).publishVmList();
    },
);

When("membership node {string} is paused for {int} ms", async function(this: Scenario, id: string, durationMs: number) {
    await pauseNode(memberFleet(this), id, durationMs);
});

When(
    "membership node {string} stalls for {int} ms in every {int} ms, {int} times",
    async function(this: Scenario, id: string, stallMs: number, periodMs: number, times: number) {
        const fleet = memberFleet(this);
        for (let count = 0; count < times; count += 1) {
            await pauseNode(fleet, id, stallMs);
            await fleet.clock.advance(periodMs - stallMs);
        }
    },
);

When(/^for (\d+) seconds messages from (.*) to (.*) are lost$/, async function(
    this: Scenario,
    seconds: string,
    from: string,
    to: string,
) {
    const fleet = memberFleet(this);
    const matches = (pattern: string, address: string) =>
        pattern === "all" || fleet.get(JSON.parse(pattern) as string).vm.address === address;
    fleet.network.dropRules.add((sender, receiver) => matches(from, sender) && matches(to, receiver));
    await fleet.clock.advance(Number(seconds) * 1_000);
});

When(
    "domain {string} is partitioned from the others for {int} seconds",
    async function(this: Scenario, domain: string, seconds: number) {
        const fleet = memberFleet(this);
        const domainAddresses = new Set(
            [...fleet.processes.values()].filter(each => each.vm.failureDomain === domain).map(each => each.vm.address),
        );
        fleet.network.dropRules.add((from, to) => domainAddresses.has(from) !== domainAddresses.has(to));
        await fleet.clock.advance(seconds * 1_000);
    },
);

When("the partition heals", function(this: Scenario) {
    memberFleet(this).network.dropRules.clear();
});

When("all membership nodes restart at once", async function(this: Scenario) {
    await restartAll(memberFleet(this), "");
});

When("all membership nodes but {string} restart at once", async function(this: Scenario, id: string) {
    await restartAll(memberFleet(this), id);
});

When("{int} ms pass for the members", async function(this: Scenario, durationMs: number) {
    await memberFleet(this).clock.advance(durationMs);
});

Then(
    /^within (\d+) seconds? every (other |new )?node(?: of domain "(.*)")? sees "(.*)" as "(.*)"$/,
    async function(
        this: Scenario,
        seconds: string,
        kind: string | undefined,
        domain: string | undefined,
        id: string,
        state: string,
    ) {
        const fleet = memberFleet(this);
        await awaitNoMismatches(fleet, Number(seconds), () => {
            const observers = observersOf(fleet, id).filter(each => domain === undefined || each.startsWith(`${domain}-`));
            assert.ok(observers.length > 0, `No ${kind ?? ""}node observes ${id}.`);
            return observers.filter(each => fleet.stateSeenBy(each, id) !== state).map(each =>
                `${each} sees ${id} as ${fleet.stateSeenBy(each, id)}`
            );
        });
    },
);

Then(
    "within {int} seconds every other node sees the restarted process of {string} as {string}",
    async function(this: Scenario, seconds: number, id: string, state: string) {
        const fleet = memberFleet(this);
        await awaitNoMismatches(fleet, seconds, () => {
            const { life } = fleet.get(id).membership.self;
            const member = (observer: string) => fleet.get(observer).membership.get(id);
            return observersOf(fleet, id).filter(each => member(each)?.life !== life || member(each)?.state !== state);
        });
    },
);

Then("within {int} seconds every node sees every other node as {string}", async function(
    this: Scenario,
    seconds: number,
    state: string,
) {
    const fleet = memberFleet(this);
    await awaitNoMismatches(fleet, seconds, () => {
        const pairs = [...fleet.processes.keys()].flatMap(id => observersOf(fleet, id).map(observer => [observer, id]));
        const mismatches = pairs.filter(([observer, id]) => fleet.stateSeenBy(observer, id) !== state);
        return mismatches.map(([observer, id]) => `${observer} sees ${id} as ${fleet.stateSeenBy(observer, id)}`);
    });
});

Then("node {string} sees {string} as {string}", function(this: Scenario, observer: string, id: string, state: string) {
    assert.equal(memberFleet(this).stateSeenBy(observer, id), state);
});

Then("no running node was removed", function(this: Scenario) {
    assert.deepEqual(memberFleet(this).falseRemovals(), []);
});

Then("no running node but {string} was removed", function(this: Scenario, id: string) {
    assert.deepEqual(memberFleet(this).falseRemovals().filter(({ member }) => member.id !== id), []);
});

Then("no running node but {string} was suspect", function(this: Scenario, id: string) {
    const suspected = memberFleet(this).changes.filter(({ member }) => member.state === MemberState.Suspect && member.id !== id);
    assert.deepEqual(suspected, []);
});

Then("{string} was removed at most once by each node", function(this: Scenario, id: string) {
    const removals = memberFleet(this).changes.filter(({ member }) => member.id === id && isRemoved(member)).map(({ by }) => by);
    assert.ok(removals.length > 0);
    assert.equal(new Set(removals).size, removals.length);
});

Then("node {string} removed no member", function(this: Scenario, id: string) {
    assert.deepEqual(memberFleet(this).changes.filter(({ by, member }) => by === id && isRemoved(member)), []);
});

Then("the nodes of the larger fleet sent no more bytes a second than those of the smaller one", function(this: Scenario) {
    const fleets = baselines.get(this) ?? [];
    const [larger, smaller] = fleets.slice(-2).map(meanBytesPerSecond);
    assert.ok(
        larger <= smaller,
        `The nodes of the larger fleet sent ${larger}, those of the smaller one ${smaller} bytes a second.`,
    );
});

function totalSentBytes(fleet: MemberFleet): number {
    return [...fleet.processes.values()].reduce((sum, { membership }) => sum + membership.budget.sentBytes, 0);
}

/** Returns the bytes that a node has sent per second since the baseline, averaged over the nodes. */
function meanBytesPerSecond({ fleet, atMs, sentBytes }: FleetBaseline): number {
    const seconds = (fleet.clock.now() - atMs) / 1_000;
    return (totalSentBytes(fleet) - sentBytes) / seconds / fleet.processes.size;
}

async function pauseNode(fleet: MemberFleet, id: string, durationMs: number): Promise<void> {
    const { clock } = fleet.get(id);
    clock.pause();
    await fleet.clock.advance(durationMs);
    clock.resume();
}

/** Crashes all nodes but one, waits until messages in flight are lost, and restarts the nodes. */
async function restartAll(fleet: MemberFleet, except: string): Promise<void> {
    const vms = [...fleet.processes.values()].map(({ vm }) => vm).filter(vm => vm.id !== except);
    for (const vm of vms) {
        fleet.kill(vm.id);
    }
    await fleet.clock.advance(RESTART_DELAY_MS);
    for (const vm of vms) {
        fleet.start(vm.id, vm.address);
    }
    fleet.changes.length = 0;
}

/** Returns the nodes that run the current protocol version, except the observed one. */
function observersOf(fleet: MemberFleet, id: string): readonly string[] {
    return [...fleet.processes.values()].filter(each => !each.isLegacy && each.vm.id !== id).map(each => each.vm.id);
}

/** Waits until no mismatch is listed, and fails with the mismatches that are left at the deadline. */
async function awaitNoMismatches(fleet: MemberFleet, seconds: number, listMismatches: () => readonly string[]): Promise<void> {
    const deadlineMs = fleet.clock.now() + seconds * 1_000;
    while (listMismatches().length > 0 && fleet.clock.now() < deadlineMs) {
        await fleet.clock.advance(POLL_INTERVAL_MS);
    }
    assert.deepEqual(listMismatches(), []);
}
