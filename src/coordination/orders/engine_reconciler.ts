/**
 * Reconciles the engines of a group with the setup that their goal states.
 *
 * @module
 */

import {
    type EngineControl,
    type EngineSetup,
    type EngineState,
    hasSetup,
    OrderError,
    OrderFault,
    type WeightStore,
    type WeightStoreState,
} from "../../protocol/mod.js";
import { type Clock, type EventRing, Part, type Vm } from "../../state/mod.js";
import { type LeaseHolder, MAX_ORDER_MS } from "./lease_holder.js";
import { planLoads } from "./load_plan.js";

/** Interval between reconciliation passes, in milliseconds. */
const RECONCILE_INTERVAL_MS = 1_000;

/** Goal state of a group. */
export interface GroupGoal {
    readonly servers: readonly Vm[];
    /** Setup that every engine of the group must have. */
    readonly setup: EngineSetup;
    readonly deadlineMs: number;
    /** Bytes that each engine loads to reach the setup. */
    readonly bytesPerLoad: number;
    /** Minimum number of engines of the group that keep serving, to meet the tiers' latency objectives. */
    readonly minServing: number;
}

/** Result of a reconciliation. */
export enum ReconcileResult {
    /** Every engine has reported the goal's setup. */
    Reached = "reached",
    /** The lease has expired or another node holds it. */
    LeaseLost = "leaseLost",
    /** The signal was aborted. */
    Stopped = "stopped",
}

/** Settings of an {@linkcode EngineReconciler}. */
export interface EngineReconcilerSettings {
    readonly clock: Clock;
    readonly ring: EventRing;
    readonly control: EngineControl;
    readonly weightStore: WeightStore;
    readonly lease: LeaseHolder;
}

/** Sends orders to engines under a lease, and reads their state back until it matches the goal. */
export class EngineReconciler {
    private lateRecorded = false;

    /** @param settings See {@linkcode EngineReconcilerSettings}. */
    constructor(private readonly settings: EngineReconcilerSettings) {}

    /**
     * Brings a group to its goal state.
     *
     * @param goal Goal state of the group.
     * @param fencingNumber Fencing number of the lease.
     * @param signal Stops the reconciliation when aborted.
     */
    async reconcile(goal: GroupGoal, fencingNumber: number, signal: AbortSignal): Promise<ReconcileResult> {
        while (!signal.aborted) {
            const states = await this.readStates(goal);
            if (goal.servers.every(vm => matchesSetup(states.get(vm.id), goal.setup))) {
                return ReconcileResult.Reached;
            }
            for (const vm of await this.chooseNext(goal, states)) {
                if (!this.settings.lease.isValid()) {
                    this.recordEvent("leaseLost", vm, `No order was sent to ${vm.id}: the lease has expired.`);
                    return ReconcileResult.LeaseLost;
                }
                await this.sendOrder(vm, goal, fencingNumber);
            }
            await this.settings.clock.sleep(RECONCILE_INTERVAL_MS, signal);
        }
        return ReconcileResult.Stopped;
    }

    private async chooseNext(goal: GroupGoal, states: ReadonlyMap<string, EngineState>): Promise<readonly Vm[]> {
        const { clock } = this.settings;
        const loading = goal.servers.filter(vm => states.get(vm.id)?.loading);
        const waiting = goal.servers.filter(vm => isServing(states.get(vm.id)) && !matchesSetup(states.get(vm.id), goal.setup));
        const serving = goal.servers.filter(vm => isServing(states.get(vm.id))).length;
        const store = await this.readLoads();
        if (store === undefined) {
            return [];
        }
        const plan = planLoads({
            remainingLoads: waiting.length + loading.length,
            bytesPerLoad: goal.bytesPerLoad,
            bytesPerSecond: store.bytesPerSecond,
            otherLoads: Math.max(0, store.activeLoads - loading.length),
            remainingMs: goal.deadlineMs - clock.now(),
            serving: serving + loading.length,
            minServing: goal.minServing,
        });
        if (!plan.meetsDeadline && !this.lateRecorded) {
            this.lateRecorded = true;
            const text = `The group cannot be loaded by its deadline: loading takes ${Math.round(plan.expectedMs / 1_000)} s.`;
            this.settings.ring.record({ part: Part.Order, kind: "late", text });
        }
        return waiting.slice(0, Math.max(0, plan.concurrency - loading.length));
    }

    /** @returns The loads at the weight store, or `undefined` if it did not answer. */
    private async readLoads(): Promise<WeightStoreState | undefined> {
        try {
            return await this.settings.weightStore.readState();
        }
        catch (error) {
            const text = `No order is sent before the weight store answers: ${(error as Error).message}.`;
            this.settings.ring.record({ part: Part.Order, kind: "loadsUnknown", text, warning: true });
            return undefined;
        }
    }

    private async sendOrder(vm: Vm, goal: GroupGoal, fencingNumber: number): Promise<void> {
        const { clock, control } = this.settings;
        const timeout = new AbortController();
        const done = new AbortController();
        void clock.sleep(MAX_ORDER_MS, done.signal).then(elapsed => elapsed && timeout.abort());
        try {
            await control.order(vm, { setup: goal.setup, fencingNumber }, timeout.signal);
            this.recordEvent(
                "ordered",
                vm,
                `${vm.id} was ordered to version ${goal.setup.version} under lease ${fencingNumber}.`,
            );
        }
        catch (error) {
            const fenced = error instanceof OrderError && error.fault === OrderFault.Fenced;
            this.recordEvent(fenced ? "fenced" : "orderFailed", vm, `${(error as Error).message}.`);
        }
        finally {
            done.abort();
        }
    }

    private async readStates(goal: GroupGoal): Promise<ReadonlyMap<string, EngineState>> {
        const states = new Map<string, EngineState>();
        for (const vm of goal.servers) {
            try {
                states.set(vm.id, await this.settings.control.readState(vm));
            }
            catch (error) {
                this.recordEvent("stateUnknown", vm, `${(error as Error).message}.`);
            }
        }
        return states;
    }

    private recordEvent(kind: string, vm: Vm, text: string): void {
        this.settings.ring.record({ part: Part.Order, kind, text, peer: vm.id });
    }
}

function isServing(state: EngineState | undefined): boolean {
    return state !== undefined && !state.loading;
}

function matchesSetup(state: EngineState | undefined, setup: EngineSetup): boolean {
    return state !== undefined && hasSetup(state, setup);
}
