/**
 * Control of engines: orders that declare the desired setup, and the state that engines report.
 *
 * @module
 */

import type { Vm } from "../state/mod.js";

/** Phase of inference that an engine performs. */
export enum EngineRole {
    Prefill = "prefill",
    Decode = "decode",
    Both = "both",
}

/** Model, version, adapters and role of an engine. */
export interface EngineSetup {
    readonly model: string;
    readonly version: string;
    readonly adapters: readonly string[];
    readonly role: EngineRole;
}

/** State reported by an engine. */
export interface EngineState extends EngineSetup {
    /** Whether the engine is loading and accepts no requests. */
    readonly loading: boolean;
}

/** Idempotent order that declares the desired state of an engine. */
export interface EngineOrder {
    /** Complete setup that the engine should have. */
    readonly setup: EngineSetup;
    /** Fencing token: log offset of the order's lease. Engines that check it reject numbers lower than the highest one seen. */
    readonly fencingNumber: number;
}

/** Reason why an order failed. */
export enum OrderFault {
    /** The engine rejected the order because it has seen a higher fencing number. */
    Fenced = "fenced",
    /** No answer was received; the order may have been applied nevertheless. */
    NoAnswer = "noAnswer",
}

/** Failure of a call to an engine's control interface. */
export class OrderError extends Error {
    override readonly name = "OrderError";

    /**
     * @param step Operation that failed, such as `order setup`.
     * @param peer Backend server that was addressed.
     * @param fault Reason for the failure.
     * @param cause Underlying error.
     */
    constructor(readonly step: string, readonly peer: string, readonly fault: OrderFault, cause?: unknown) {
        super(`Cannot ${step} at ${peer}: ${cause instanceof Error ? cause.message : fault}`, { cause });
    }
}

/** Client for the control interface of engines. */
export abstract class EngineControl {
    /**
     * Sends an order to an engine.
     *
     * @param signal Stops waiting for the answer when aborted.
     * @throws {OrderError} When the engine rejected the order or did not answer.
     */
    abstract order(vm: Vm, order: EngineOrder, signal: AbortSignal): Promise<void>;

    /**
     * Reads the state of an engine.
     *
     * @throws {OrderError} When no answer was received.
     */
    abstract readState(vm: Vm): Promise<EngineState>;
}

/** Returns whether an engine has finished loading and has the given setup; the order of adapters does not matter. */
export function hasSetup(state: EngineState, setup: EngineSetup): boolean {
    const adapters = [...state.adapters].sort().join(" ");
    return !state.loading && state.model === setup.model && state.version === setup.version && state.role === setup.role &&
        adapters === [...setup.adapters].sort().join(" ");
}
