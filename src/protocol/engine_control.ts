/**
 * Orders to engines: the end state that is wanted, and the state that is read back.
 *
 * @module
 */

import type { Vm } from "../state/mod.js";

/** Part of the work that an engine does. */
export enum EngineRole {
    Prefill = "prefill",
    Decode = "decode",
    Both = "both",
}

/** What an engine has loaded and does. */
export interface EngineSetup {
    readonly model: string;
    readonly version: string;
    readonly adapters: readonly string[];
    readonly role: EngineRole;
}

/** State of an engine as it reports it. */
export interface EngineState extends EngineSetup {
    /** Whether the engine is loading and takes no requests. */
    readonly loading: boolean;
}

/** Order that states the wanted end state; sending it twice does no more than sending it once. */
export interface EngineOrder {
    /** Whole setup that the engine shall have. */
    readonly setup: EngineSetup;
    /** Offset of the lease under which the order is given; engines that check it refuse lower ones than they have seen. */
    readonly fencingNumber: number;
}

/** Why an order was not taken. */
export enum OrderFault {
    /** The engine has seen an order with a higher fencing number. */
    Fenced = "fenced",
    /** No answer came; the order can have been taken all the same. */
    NoAnswer = "noAnswer",
}

/** Order that was not taken, or whose answer did not come. */
export class OrderError extends Error {
    override readonly name = "OrderError";

    /**
     * @param step What was tried, such as `order setup`.
     * @param peer Backend server that was addressed.
     * @param fault Why it failed.
     * @param cause Error underneath.
     */
    constructor(readonly step: string, readonly peer: string, readonly fault: OrderFault, cause?: unknown) {
        super(`Cannot ${step} at ${peer}: ${cause instanceof Error ? cause.message : fault}`, { cause });
    }
}

/** Connection to the engines' control. */
export abstract class EngineControl {
    /**
     * Gives an order.
     *
     * @param signal Ends the wait for the answer when aborted.
     * @throws {OrderError} When the engine refused it or did not answer.
     */
    abstract order(vm: Vm, order: EngineOrder, signal: AbortSignal): Promise<void>;

    /**
     * Reads an engine's state.
     *
     * @throws {OrderError} When no answer came.
     */
    abstract readState(vm: Vm): Promise<EngineState>;
}

/** Tells whether an engine has the wanted setup. */
export function hasSetup(state: EngineState, setup: EngineSetup): boolean {
    const adapters = [...state.adapters].sort().join(" ");
    return !state.loading && state.model === setup.model && state.version === setup.version && state.role === setup.role &&
        adapters === [...setup.adapters].sort().join(" ");
}
