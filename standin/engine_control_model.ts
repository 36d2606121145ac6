/**
 * Orders as an engine of the stand-in takes them, with or without a check of the fencing number.
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
    /** Bytes that a change of model, version or adapters loads. */
    readonly bytesPerLoad: number;
    /** Whether orders with a lower fencing number than one seen are refused. */
    readonly checksFencing: boolean;
}

/** Order side of one engine. */
export class EngineControlModel {
    /** Setups that were ordered and taken, in order. */
    readonly acceptedSetups: EngineSetup[] = [];
    private highestFencingNumber = -1;
    private setup: EngineSetup;
    private loading = false;
    private pendingSetup: EngineSetup | undefined;

    /** @param settings See {@linkcode EngineControlModelSettings}. */
    constructor(private readonly settings: EngineControlModelSettings) {
        this.setup = { model: "default", version: settings.engine.version, adapters: [], role: EngineRole.Both };
    }

    /** State that the engine reports. */
    get state(): EngineState {
        return { ...this.setup, loading: this.loading };
    }

    /**
     * Takes an order.
     *
     * @returns Whether the order was taken; only an engine that checks fencing numbers refuses any.
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

/** Control of engines in the same process, with orders that a test holds up on their way. */
export class LocalEngineControl extends EngineControl {
    /** Time that orders spend on their way, in milliseconds. */
    delayMs = 0;

    /**
     * @param clock Clock that delays are timed by.
     * @param engines Order sides by VM id.
     */
    constructor(private readonly clock: Clock, private readonly engines: ReadonlyMap<string, EngineControlModel>) {
        super();
    }

    override async order(vm: Vm, order: EngineOrder, signal: AbortSignal): Promise<void> {
        // The order goes on its way even when the sender gives up.
        const arrival = this.clock.sleep(this.delayMs).then(() => this.engines.get(vm.id)?.tryAccept(order));
        const givenUp = new Promise<"givenUp">(resolve => {
            signal.addEventListener("abort", () => resolve("givenUp"), { once: true });
        });
        const taken = await Promise.race([arrival, givenUp]);
        if (taken === "givenUp") {
            throw new OrderError("order setup", vm.id, OrderFault.NoAnswer);
        }
        if (taken !== true) {
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
