/**
 * Simulated control interface of an engine, with or without a check of the fencing number.
 *
 * @module
 */

import {
    EngineControl,
    type EngineOrder,
    EngineRole,
    type EngineSetup,
    type EngineState,
    OrderError,
    OrderFault,
} from "../src/protocol/mod.js";
import type { Clock, Vm } from "../src/state/mod.js";
import type { EngineModel } from "./engine_model.js";
import type { WeightStoreModel } from "./weight_store_model.js";

/** Settings of an {@linkcode EngineControlModel}. */
export interface EngineControlModelSettings {
    readonly clock: Clock;
    readonly engine: EngineModel;
    readonly weightStore: WeightStoreModel;
    /** Bytes that each setup change loads from the weight store. */
    readonly bytesPerLoad: number;
    /** Whether orders with a fencing number lower than the highest one seen are rejected. */
    readonly checksFencing: boolean;
}

/** Accepts setup orders for one engine and applies them; the engine refuses connections while weights load. */
export class EngineControlModel {
    /** Setups of the accepted orders, in the order of their arrival. */
    readonly acceptedSetups: EngineSetup[] = [];
    private highestFencingNumber = -1;
    private setup: EngineSetup;
    private loading = false;
    private pendingSetup: EngineSetup | undefined;

    /** @param settings See {@linkcode EngineControlModelSettings}. */
    constructor(private readonly settings: EngineControlModelSettings) {
        this.setup = { model: "default", version: settings.engine.version, adapters: [], role: EngineRole.Both };
    }

    /** Setup and loading state that the engine reports. */
    get state(): EngineState {
        return { ...this.setup, loading: this.loading };
    }

    /**
     * Accepts an order unless its fencing number is stale.
     *
     * @returns Whether the order was accepted; an engine that does not check fencing numbers accepts every order.
     */
    tryAccept(order: EngineOrder): boolean {
        if (this.settings.checksFencing && order.fencingNumber < this.highestFencingNumber) {
            return false;
        }
        this.highestFencingNumber = Math.max(this.highestFencingNumber, order.fencingNumber);
        this.acceptedSetups.push(order.setup);
        this.pendingSetup = order.setup;
        if (!this.loading) {
            void this.loadPending();
        }
        return true;
    }

    private async loadPending(): Promise<void> {
        const { engine, weightStore, bytesPerLoad } = this.settings;
        this.loading = true;
        engine.faults.refuse = true;
        while (this.pendingSetup !== undefined) {
            const setup = this.pendingSetup;
            this.pendingSetup = undefined;
            await weightStore.load(bytesPerLoad);
            this.setup = setup;
            engine.version = setup.version;
        }
        engine.faults.refuse = false;
        this.loading = false;
    }
}

/** Control client for engines in the same process, with a configurable delay of orders. */
export class LocalEngineControl extends EngineControl {
    /** Network delay of orders, in milliseconds. */
    delayMs = 0;

    /**
     * @param clock Clock that times the delays.
     * @param engines Control models by VM id.
     */
    constructor(private readonly clock: Clock, private readonly engines: ReadonlyMap<string, EngineControlModel>) {
        super();
    }

    override async order(vm: Vm, order: EngineOrder, signal: AbortSignal): Promise<void> {
        // The order is delivered even when the sender gives up waiting.
        const arrival = this.clock.sleep(this.delayMs).then(() => this.engines.get(vm.id)?.tryAccept(order));
        const givenUp = new Promise<"givenUp">(resolve => {
            signal.addEventListener("abort", () => resolve("givenUp"), { once: true });
        });
        const result = await Promise.race([arrival, givenUp]);
        if (result === "givenUp") {
            throw new OrderError("order setup", vm.id, OrderFault.NoAnswer);
        }
        if (result !== true) {
            throw new OrderError("order setup", vm.id, OrderFault.Fenced);
        }
    }

    override async readState(vm: Vm): Promise<EngineState> {
        const engine = this.engines.get(vm.id);
        if (engine === undefined) {
            throw new OrderError("read setup", vm.id, OrderFault.NoAnswer);
        }
        return engine.state;
    }
}
