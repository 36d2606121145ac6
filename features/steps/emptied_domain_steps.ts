/**
 * Steps about the operator's orders to empty failure domains, under a virtual clock.
 *
 * @module
 */

import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { PeerTable, ServerFilter, ServerPool, UsableServers } from "../../src/coordination/relay/mod.js";
import { hashKey } from "../../src/protocol/relay/mod.js";
import { type Homes, VersionOrderState } from "../../src/state/relay/mod.js";
import { KeyedLogModel } from "../../standin/keyed_log_model.js";
import { VirtualClock } from "../../standin/virtual_clock.js";
import { FollowingNode, readServerEntry } from "../support/following_node.js";
import type { Scenario } from "../support/world.js";

/** Time in which a node reads what was written, in milliseconds. */
const SETTLE_MS = 2_500;

/** Time from a restore until an order is written again or ends, in milliseconds. */
const LATER_MS = 1_000;

/** Topic of the operator's records. */
const TOPIC = "keyed.op";

const SERVICE = "service";

/** Regions of the failure domains a and b; that of c is unknown. */
const REGIONS: ReadonlyMap<string, string> = new Map([["a", "north"], ["b", "south"]]);

/** Share of the calls that a running rollout gives to the new version at its start. */
const CANARY_SHARE = 0.04;

/** Steps that lead to what a node reads. */
const RECORDS: Readonly<Record<string, string>> = {
    "an order for b": "start, order b",
    "orders for b and c": "start, order b, order c",
    "an order for b and its end": "start, order b, settle, end b",
    "an order for b, its end and another order": "start, order b, settle, end b, settle, order b",
    "an order for b and its end at once": "start, order b, end b",
    "the end of an order for b that was never given": "start, end b",
    "an order for b and the same order again": "start, order b, order b",
    "a number as an order for b": "start, number b",
    "a list as an order for b": "start, list b",
    "an order for b, and then a number": "start, order b, settle, number b",
    "an order for b, and then a number in a compacted log": "start, order b, settle, down, settle, number b, compact, up",
    "an order without a domain": "start, order ",
    "an order for b before its start": "order b, start",
    "an order for b and its end before its start": "order b, end b, start",
    "an order for b in a compacted log": "start, down, settle, order b, compact, up",
    "an order for b, and its end in a compacted log": "start, order b, settle, down, settle, end b, compact, up",
    "an order for b, and the log goes away": "start, order b, settle, down",
    "an order for b, and its end while the log is away": "start, order b, settle, down, settle, end b",
    "an order for b, and its end before the log returns": "start, order b, settle, down, settle, end b, settle, up",
};

/** Steps that lead to a restore of the log, and what happens later. */
const RESTORES: Readonly<Record<string, string>> = {
    "the copy lacks": "start, copy, order b, settle, restore",
    "the copy lacks and that is written again after 1 s": "start, copy, order b, settle, restore, later, order b",
    "the copy lacks and that ends after 1 s": "start, copy, order b, settle, restore, later, end b",
    "the copy lacks, and the log goes away after 1 s": "start, copy, order b, settle, restore, later, down",
    "the copy contains": "start, order b, settle, copy, restore",
    "had ended and the copy contains": "start, order b, settle, copy, end b, settle, restore",
};

/** State of a scenario of this file. */
interface EmptiedScenario extends Scenario {
    clock: VirtualClock;
    platformLog: KeyedLogModel;
    following: FollowingNode;
    /** Details of the lines about orders. */
    orderLines: Readonly<Record<string, unknown>>[];
    restoredAtMs: number;
    pool: ServerPool;
    usable: UsableServers;
    emptiedDomains: Set<string>;
    homes: Homes | undefined;
}

After(async function(this: EmptiedScenario) {
    await this.following?.stop();
});

When(/^a node reads (.*)$/, async function(this: EmptiedScenario, records: string) {
    makeNode(this);
    await play(this, RECORDS[records] ?? assert.fail(records));
    await this.clock.advance(SETTLE_MS);
});

Then(/^it has emptied (nothing|[a-c](?:, [a-c])*)$/, function(this: EmptiedScenario, names: string) {
    const expected = names === "nothing" ? [] : names.split(", ");
    assert.deepEqual(["a", "b", "c"].filter(domain => this.following.emptiedDomains.has(domain)), expected);
    assert.equal(this.following.emptiedDomains.size, expected.length);
    assert(this.following.emptiedDomains.isLoaded);
});

Then(
    "it has logged {int} orders, each with its offset, and {int} that it cannot read",
    function(this: EmptiedScenario, lines: number, ignored: number) {
        assert.equal(this.orderLines.length, lines);
        assert(this.orderLines.every(({ offset }) => typeof offset === "number"));
        assert.equal(new Set(this.orderLines.map(({ offset }) => offset)).size, lines);
        const ignoredLines = this.following.lines.filter(({ msg }) => msg === "domain: order ignored");
        assert.equal(ignoredLines.length, ignored);
    },
);

When(/^the log is restored after an order that (.*)$/, async function(this: EmptiedScenario, events: string) {
    makeNode(this);
    await play(this, RESTORES[events] ?? assert.fail(events));
});

Then(
    /^the domain is (emptied|in use) (\d+) ms after the restore$/,
    async function(this: EmptiedScenario, state: string, afterMs: string) {
        await this.clock.advance(this.restoredAtMs + Number(afterMs) - this.clock.now());
        assert.equal(this.following.emptiedDomains.has("b"), state === "emptied");
    },
);

Given(
    /^servers (.*) and a rollout to version v2 that is (running|completed|rolledBack)$/,
    async function(this: EmptiedScenario, fleet: string, state: string) {
        makeNode(this);
        this.platformLog.put(TOPIC, "rollout/service", { Service: SERVICE, Target: "v2", DurationS: 60 });
        if (state !== VersionOrderState.Running) {
            this.platformLog.put("keyed.status", "rollout/service", {
                State: state === VersionOrderState.Completed ? "completed" : "rolled_back",
                Target: "v2",
            });
        }
        await play(this, "start");
        this.pool = new ServerPool(this.clock, new PeerTable(this.clock));
        for (const text of fleet === "none" ? [] : fleet.split(", ")) {
            const [version, , domain] = text.split(" ");
            this.pool.put(readServerEntry(`${version} in ${domain}`, { Version: version, Zone: domain }));
        }
    },
);

When(/^there (?:is|are) (?:an order|orders) for (.*)$/, function(this: EmptiedScenario, domains: string) {
    this.emptiedDomains = new Set(domains === "none" ? [] : domains.split(" and "));
    const filter = new ServerFilter(this.emptiedDomains, domain => REGIONS.get(domain));
    this.usable = new UsableServers(this.pool, filter, this.following.rollouts);
});

When(/^the homes of the call are (.*)$/, function(this: EmptiedScenario, homes: string) {
    this.homes = new Set(homes === "no region" ? [] : homes.split(", "));
});

Then(/^a call of the (old|new) version gets (.*)$/, function(this: EmptiedScenario, version: string, expected: string) {
    const id = findId(version === "new");
    const candidates = this.usable.candidates(SERVICE, id, this.homes);
    const exclusion = this.usable.findExclusion(SERVICE, id, this.homes);
    if (expected === "the list itself") {
        const list = this.pool.openServers(SERVICE);
        assert.equal(new ServerFilter(this.emptiedDomains).usable(list), list);
        assert.equal(new ServerFilter(new Set()).usable(list), list);
        assert.deepEqual([...candidates], [...list]);
        return;
    }
    const names = candidates.map(({ server }) => server.id).join(", ");
    const outcome = exclusion === undefined ? "a wait" : `refused: ${exclusion}`;
    assert.equal(names === "" ? outcome : names, expected);
    assert.equal(exclusion !== undefined, expected.startsWith("refused"));
});

function makeNode(scenario: EmptiedScenario): void {
    scenario.clock = new VirtualClock();
    scenario.platformLog = new KeyedLogModel(scenario.clock);
    scenario.platformLog.put(TOPIC, "another-key", {});
    scenario.orderLines = [];
    scenario.following = new FollowingNode(scenario.platformLog, scenario.clock, 1, 0, {
        onDomainChange: (text, detail) => scenario.orderLines.push(detail),
    });
}

/** Plays steps, separated by commas. */
async function play(scenario: EmptiedScenario, steps: string): Promise<void> {
    const { clock, platformLog } = scenario;
    for (const step of steps.split(", ")) {
        const [verb, domain = ""] = step.split(" ");
        switch (verb) {
            case "start":
                scenario.following.start();
                await clock.advance(SETTLE_MS);
                break;
            case "settle":
                await clock.advance(SETTLE_MS);
                break;
            case "later":
                await clock.advance(LATER_MS);
                break;
            case "order":
                platformLog.put(TOPIC, `evacuate/${domain}`, {});
                break;
            case "end":
                platformLog.put(TOPIC, `evacuate/${domain}`, undefined);
                break;
            case "number":
                platformLog.put(TOPIC, `evacuate/${domain}`, 7);
                break;
            case "list":
                platformLog.put(TOPIC, `evacuate/${domain}`, []);
                break;
            case "down":
                platformLog.isDown = true;
                break;
            case "up":
                platformLog.isDown = false;
                break;
            case "compact":
                platformLog.compact(TOPIC);
                break;
            case "copy":
                platformLog.copy();
                break;
            case "restore":
                platformLog.restore();
                scenario.restoredAtMs = clock.now();
                break;
            default:
                assert.fail(step);
        }
    }
}

/** Returns the id of a call that the rollout assigns to the new version, or to the old one. */
function findId(isTarget: boolean): string {
    for (let index = 0;; index += 1) {
        const id = `call-${index}`;
        if (hashKey(id) / 0x1_0000_0000 < CANARY_SHARE === isTarget) {
            return id;
        }
    }
}
