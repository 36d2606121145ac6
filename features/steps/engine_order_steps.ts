/**
 * Steps about leases and orders to engines.
 *
 * @module
 */

import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { EngineReconciler, LeaseHolder, type ReconcileResult } from "../../src/coordination/mod.js";
import { EngineRole } from "../../src/protocol/mod.js";
import { EventRing, HybridClock, type Vm, VmRole, VmState } from "../../src/state/mod.js";
import { EngineControlModel, LocalEngineControl } from "../../standin/engine_control_model.js";
import { ENGINE_PROFILES, EngineModel } from "../../standin/engine_model.js";
import { LogModel } from "../../standin/log_model.js";
import { VirtualClock } from "../../standin/virtual_clock.js";
import { WeightStoreModel } from "../../standin/weight_store_model.js";
import type { Scenario } from "../support/world.js";

/** Group of the scenarios. */
const GROUP = "language-model/kigali-a";

/** Rate of the weight store in bytes a second, and bytes of one load. */
const BYTES_PER_SECOND = 1_000;
const BYTES_PER_LOAD = 5_000;

/** Time after which a scenario's work has ended, in milliseconds. */
const SETTLE_MS = 150_000;

/** Engines with their platform, and the nodes that want to give orders. */
class OrderScenario {
    readonly clock = new VirtualClock();
    readonly log = new LogModel(this.clock);
    readonly weightStore = new WeightStoreModel(this.clock, BYTES_PER_SECOND);
    readonly engines = new Map<string, EngineControlModel>();
    readonly vms: Vm[] = [];
    readonly ring = new EventRing("entry-1", new HybridClock(this.clock));
    readonly stopped = new AbortController();
    holders: LeaseHolder[] = [];
    fencingNumbers: (number | undefined)[] = [];
    leastServing = Infinity;
    result: ReconcileResult | undefined;

    constructor(count: number, checksFencing: boolean) {
        for (let index = 1; index <= count; index++) {
            const id = `engine-${index}`;
            const engine = new EngineModel(this.clock, ENGINE_PROFILES.fast);
            const { clock, weightStore } = this;
            const orders = new EngineControlModel({ clock, engine, weightStore, bytesPerLoad: BYTES_PER_LOAD, checksFencing });
            this.engines.set(id, orders);
            this.vms.push({ id, role: VmRole.Backend, address: id, failureDomain: "kigali-a", state: VmState.Live });
        }
    }

    holder(node: string): LeaseHolder {
        const holder = new LeaseHolder({ node, group: GROUP, clock: this.clock, log: this.log });
        this.holders.push(holder);
        return holder;
    }

    async acquire(holder: LeaseHolder): Promise<number> {
        const fencingNumber = await this.clock.runUntil(holder.acquire(this.stopped.signal));
        assert.ok(fencingNumber !== undefined);
        return fencingNumber;
    }

    /** Brings the engines to a version, for as long as the work takes. */
    run(lease: LeaseHolder, fencingNumber: number, settings: RunSettings): Promise<ReconcileResult> {
        const control = new LocalEngineControl(this.clock, this.engines);
        control.delayMs = settings.delayMs ?? 0;
        const { clock, ring, weightStore } = this;
        const runner = new EngineReconciler({ clock, ring, weightStore, control, lease });
        const goal = {
            servers: this.vms,
            setup: { model: "default", version: settings.version, adapters: [], role: EngineRole.Both },
            deadlineMs: clock.now() + (settings.deadlineSeconds ?? 200) * 1_000,
            bytesPerLoad: BYTES_PER_LOAD,
            neededServing: settings.neededServing ?? 4,
        };
        return runner.reconcile(goal, fencingNumber, this.stopped.signal);
    }

    async watchServing(): Promise<void> {
        while (!this.stopped.signal.aborted) {
            const serving = [...this.engines.values()].filter(engine => !engine.state.loading).length;
            this.leastServing = Math.min(this.leastServing, serving);
            await this.clock.sleep(100);
        }
    }
}

/** Settings of one node's work. */
interface RunSettings {
    readonly version: string;
    readonly delayMs?: number;
    readonly neededServing?: number;
    readonly deadlineSeconds?: number;
}

const scenarios = new WeakMap<Scenario, OrderScenario>();

Given(/^(\d+) engines under orders that (check|ignore) fencing numbers$/, function(this: Scenario, count: string, check: string) {
    scenarios.set(this, new OrderScenario(Number(count), check === "check"));
});

Given("the answers of the log of leases are lost", function(this: Scenario) {
    of(this).log.faults.loseAnswers = true;
});

Given("a node that holds the lease and is paused for {int} seconds", async function(this: Scenario, seconds: number) {
    const scenario = of(this);
    const holder = scenario.holder("entry-1");
    scenario.fencingNumbers = [await scenario.acquire(holder)];
    // A paused process renews nothing while the time goes on.
    await scenario.clock.advance(seconds * 1_000);
});

Given(
    "a node whose order for version {string} is held up for {int} seconds after its check, while its lease runs out",
    async function(this: Scenario, version: string, seconds: number) {
        const scenario = of(this);
        const holder = scenario.holder("entry-1");
        const fencingNumber = await scenario.acquire(holder);
        // The check comes just before the end of the lease.
        await scenario.clock.advance(14_500);
        void scenario.run(holder, fencingNumber, { version, delayMs: seconds * 1_000, neededServing: 5 });
    },
);

Given("{int} loads of others at the weight store", function(this: Scenario, count: number) {
    const scenario = of(this);
    for (let load = 0; load < count; load++) {
        void scenario.weightStore.load(BYTES_PER_SECOND * 20);
    }
});

When("two nodes want the lease of the group at once", async function(this: Scenario) {
    const scenario = of(this);
    const { signal } = scenario.stopped;
    for (const node of ["entry-1", "entry-2"]) {
        void scenario.holder(node).acquire(signal);
    }
    await scenario.clock.advance(8_000);
});

When("one node wants the lease of the group", async function(this: Scenario) {
    const scenario = of(this);
    void scenario.holder("entry-1").acquire(scenario.stopped.signal);
    await scenario.clock.advance(8_000);
});

When("it goes on to order version {string}", async function(this: Scenario, version: string) {
    const scenario = of(this);
    const [holder] = scenario.holders;
    void holder.maintain(scenario.stopped.signal);
    void scenario.run(holder, scenario.fencingNumbers[0] ?? 0, { version });
    await scenario.clock.advance(SETTLE_MS);
});

When("another node takes the lease and orders version {string}", async function(this: Scenario, version: string) {
    const scenario = of(this);
    const holder = scenario.holder("entry-2");
    const fencingNumber = await scenario.acquire(holder);
    void holder.maintain(scenario.stopped.signal);
    const work = async () => {
        // The owner goes on looking after its goal, so that it sees what a late order has changed.
        while (!scenario.stopped.signal.aborted) {
            await scenario.run(holder, fencingNumber, { version });
            await scenario.clock.sleep(1_000);
        }
    };
    void work();
    await scenario.clock.advance(SETTLE_MS);
});

When(
    "a node orders version {string} with {int} engines needed and {int} seconds to the deadline",
    async function(this: Scenario, version: string, neededServing: number, deadlineSeconds: number) {
        const scenario = of(this);
        const holder = scenario.holder("entry-1");
        const fencingNumber = await scenario.acquire(holder);
        void holder.maintain(scenario.stopped.signal);
        void scenario.watchServing();
        void scenario.run(holder, fencingNumber, { version, neededServing, deadlineSeconds });
        await scenario.clock.advance(SETTLE_MS);
    },
);

Then("only one of them may give orders", function(this: Scenario) {
    assert.equal(of(this).holders.filter(holder => holder.isValid()).length, 1);
});

Then("it may give orders", function(this: Scenario) {
    assert.ok(of(this).holders[0].isValid());
});

Then("no engine has got an order", function(this: Scenario) {
    for (const engine of of(this).engines.values()) {
        assert.deepEqual(engine.acceptedSetups, []);
    }
});

Then("all engines are at version {string}", async function(this: Scenario, version: string) {
    const scenario = of(this);
    scenario.stopped.abort();
    await scenario.clock.advance(1_000);
    for (const engine of scenario.engines.values()) {
        assert.equal(engine.state.version, version);
        assert.ok(!engine.state.loading);
    }
});

Then(
    "the engines have taken {int} orders for version {string} after the first for {string}",
    function(this: Scenario, count: number, bad: string, good: string) {
        let late = 0;
        for (const { acceptedSetups: taken } of of(this).engines.values()) {
            const first = taken.findIndex(setup => setup.version === good);
            late += taken.filter((setup, index) => first >= 0 && index > first && setup.version === bad).length;
        }
        assert.equal(late, count);
    },
);

Then("at least {int} engines serve at any time", function(this: Scenario, count: number) {
    assert.ok(of(this).leastServing >= count, `${of(this).leastServing} engines served`);
});

Then(/^the group (is|is not) announced as late$/, function(this: Scenario, late: string) {
    assert.equal(of(this).ring.list().some(event => event.kind === "late"), late === "is");
});

function of(scenario: Scenario): OrderScenario {
    const found = scenarios.get(scenario);
    if (found === undefined) {
        throw new Error("Cannot use engines: no step has made them");
    }
    return found;
}
