/**
 * Steps about leases of engine groups and orders to their engines.
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

/** Group of engines under test. */
const GROUP = "language-model/kigali-a";

/** Bandwidth of the weight store, in bytes per second. */
const BYTES_PER_SECOND = 1_000;

/** Size of one model load, in bytes. */
const BYTES_PER_LOAD = 5_000;

/** Time after which all reconciliation of a scenario has ended, in milliseconds. */
const SETTLE_MS = 150_000;

/** Engines with the lease log and weight store, and the nodes that send them orders. */
class OrderScenario {
    readonly clock = new VirtualClock();
    readonly log = new LogModel(this.clock);
    readonly weightStore = new WeightStoreModel(this.clock, BYTES_PER_SECOND);
    readonly engines = new Map<string, EngineControlModel>();
    readonly vms: Vm[] = [];
    readonly ring = new EventRing("entry-1", new HybridClock(this.clock));
    readonly abortController = new AbortController();
    leaseHolders: LeaseHolder[] = [];
    fencingNumbers: (number | undefined)[] = [];
    minServing = Infinity;
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

    addLeaseHolder(node: string): LeaseHolder {
        const holder = new LeaseHolder({ node, group: GROUP, clock: this.clock, log: this.log });
        this.leaseHolders.push(holder);
        return holder;
    }

    async acquire(holder: LeaseHolder): Promise<number> {
        const fencingNumber = await this.clock.runUntil(holder.acquire(this.abortController.signal));
        assert.ok(fencingNumber !== undefined);
        return fencingNumber;
    }

    /** Reconciles the engines with a version; resolves when the reconciliation ends. */
    startReconciliation(lease: LeaseHolder, fencingNumber: number, settings: ReconciliationSettings): Promise<ReconcileResult> {
        const control = new LocalEngineControl(this.clock, this.engines);
        control.delayMs = settings.delayMs ?? 0;
        const { clock, ring, weightStore } = this;
        const runner = new EngineReconciler({ clock, ring, weightStore, control, lease });
        const goal = {
            servers: this.vms,
            setup: { model: "default", version: settings.version, adapters: [], role: EngineRole.Both },
            deadlineMs: clock.now() + (settings.deadlineSeconds ?? 200) * 1_000,
            bytesPerLoad: BYTES_PER_LOAD,
            minServing: settings.neededServing ?? 4,
        };
        return runner.reconcile(goal, fencingNumber, this.abortController.signal);
    }

    async trackMinServing(): Promise<void> {
        while (!this.abortController.signal.aborted) {
            const serving = [...this.engines.values()].filter(engine => !engine.state.loading).length;
            this.minServing = Math.min(this.minServing, serving);
            await this.clock.sleep(100);
        }
    }
}

/** Settings of one reconciliation. */
interface ReconciliationSettings {
    readonly version: string;
    readonly delayMs?: number;
    readonly neededServing?: number;
    readonly deadlineSeconds?: number;
}

const scenarios = new WeakMap<Scenario, OrderScenario>();

Given(/^(\d+) engines that (check|ignore) fencing numbers$/, function(this: Scenario, count: string, check: string) {
    scenarios.set(this, new OrderScenario(Number(count), check === "check"));
});

Given("the replies of the lease log are lost", function(this: Scenario) {
    scenarioOf(this).log.faults.loseAnswers = true;
});

Given("a node that holds the lease and is paused for {int} seconds", async function(this: Scenario, seconds: number) {
    const scenario = scenarioOf(this);
    const holder = scenario.addLeaseHolder("entry-1");
    scenario.fencingNumbers = [await scenario.acquire(holder)];
    // A paused process does not renew its lease while time passes.
    await scenario.clock.advance(seconds * 1_000);
});

Given(
    "a node whose order for version {string} is delayed for {int} seconds after the lease check, while its lease expires",
    async function(this: Scenario, version: string, seconds: number) {
        const scenario = scenarioOf(this);
        const holder = scenario.addLeaseHolder("entry-1");
        const fencingNumber = await scenario.acquire(holder);
        // The lease is checked just before it expires.
        await scenario.clock.advance(14_500);
        void scenario.startReconciliation(holder, fencingNumber, { version, delayMs: seconds * 1_000, neededServing: 5 });
    },
);

Given("{int} model loads of others at the weight store", function(this: Scenario, count: number) {
    const scenario = scenarioOf(this);
    for (let load = 0; load < count; load++) {
        void scenario.weightStore.load(BYTES_PER_SECOND * 20);
    }
});

Given("the weight store is down for the next {int} seconds", function(this: Scenario, seconds: number) {
    const { clock, weightStore } = scenarioOf(this);
    weightStore.isDown = true;
    void clock.sleep(seconds * 1_000).then(() => {
        weightStore.isDown = false;
    });
});

Then("the outage of the weight store is recorded", function(this: Scenario) {
    assert(scenarioOf(this).ring.list().some(event => event.kind === "loadsUnknown"));
});

When("two nodes request the lease of the group at once", async function(this: Scenario) {
    const scenario = scenarioOf(this);
    const { signal } = scenario.abortController;
    for (const node of ["entry-1", "entry-2"]) {
        void scenario.addLeaseHolder(node).acquire(signal);
    }
    await scenario.clock.advance(8_000);
});

When("one node requests the lease of the group", async function(this: Scenario) {
    const scenario = scenarioOf(this);
    void scenario.addLeaseHolder("entry-1").acquire(scenario.abortController.signal);
    await scenario.clock.advance(8_000);
});

When("it resumes and orders version {string}", async function(this: Scenario, version: string) {
    const scenario = scenarioOf(this);
    const [holder] = scenario.leaseHolders;
    void holder.maintain(scenario.abortController.signal);
    void scenario.startReconciliation(holder, scenario.fencingNumbers[0] ?? 0, { version });
    await scenario.clock.advance(SETTLE_MS);
});

When("another node acquires the lease and orders version {string}", async function(this: Scenario, version: string) {
    const scenario = scenarioOf(this);
    const holder = scenario.addLeaseHolder("entry-2");
    const fencingNumber = await scenario.acquire(holder);
    void holder.maintain(scenario.abortController.signal);
    const reconcileRepeatedly = async () => {
        // The holder keeps reconciling, so that it reverts the effect of a delayed order.
        while (!scenario.abortController.signal.aborted) {
            await scenario.startReconciliation(holder, fencingNumber, { version });
            await scenario.clock.sleep(1_000);
        }
    };
    void reconcileRepeatedly();
    await scenario.clock.advance(SETTLE_MS);
});

When(
    "a node orders version {string} with {int} engines required to serve and {int} seconds to the deadline",
    async function(this: Scenario, version: string, neededServing: number, deadlineSeconds: number) {
        const scenario = scenarioOf(this);
        const holder = scenario.addLeaseHolder("entry-1");
        const fencingNumber = await scenario.acquire(holder);
        void holder.maintain(scenario.abortController.signal);
        void scenario.trackMinServing();
        void scenario.startReconciliation(holder, fencingNumber, { version, neededServing, deadlineSeconds });
        await scenario.clock.advance(SETTLE_MS);
    },
);

Then("only one of them holds a valid lease", function(this: Scenario) {
    assert.equal(scenarioOf(this).leaseHolders.filter(holder => holder.isValid()).length, 1);
});

Then("it holds a valid lease", function(this: Scenario) {
    assert.ok(scenarioOf(this).leaseHolders[0].isValid());
});

Then("no engine has accepted an order", function(this: Scenario) {
    for (const engine of scenarioOf(this).engines.values()) {
        assert.deepEqual(engine.acceptedSetups, []);
    }
});

Then("all engines are at version {string}", async function(this: Scenario, version: string) {
    const scenario = scenarioOf(this);
    scenario.abortController.abort();
    await scenario.clock.advance(1_000);
    for (const engine of scenario.engines.values()) {
        assert.equal(engine.state.version, version);
        assert.ok(!engine.state.loading);
    }
});

Then(
    "the engines have accepted {int} orders for version {string} after the first for {string}",
    function(this: Scenario, count: number, previous: string, current: string) {
        let delayed = 0;
        for (const { acceptedSetups: taken } of scenarioOf(this).engines.values()) {
            const first = taken.findIndex(setup => setup.version === current);
            delayed += taken.filter((setup, index) => first >= 0 && index > first && setup.version === previous).length;
        }
        assert.equal(delayed, count);
    },
);

Then("at least {int} engines serve at any time", function(this: Scenario, count: number) {
    assert.ok(scenarioOf(this).minServing >= count, `${scenarioOf(this).minServing} engines served`);
});

Then(/^the group (is|is not) reported as late$/, function(this: Scenario, late: string) {
    assert.equal(scenarioOf(this).ring.list().some(event => event.kind === "late"), late === "is");
});

function scenarioOf(scenario: Scenario): OrderScenario {
    const orderScenario = scenarios.get(scenario);
    if (orderScenario === undefined) {
        throw new Error("Cannot use the engines: no step has created them");
    }
    return orderScenario;
}
