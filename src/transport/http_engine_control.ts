/**
 * Client for configuring engines over HTTP.
 *
 * @module
 */

import { z } from "zod";
import { EngineControl, type EngineOrder, EngineRole, type EngineState, OrderError, OrderFault } from "../protocol/mod.js";
import type { Vm } from "../state/mod.js";
import type { HttpClient } from "./http_client.js";

/** Timeout for reading an engine's state, in milliseconds. */
const STATE_TIMEOUT_MS = 1_000;

/** HTTP status with which an engine rejects an order whose fencing number is too low. */
const FENCED_STATUS = 412;

const stateSchema = z.object({
    model: z.string(),
    version: z.string(),
    adapters: z.array(z.string()),
    role: z.enum(EngineRole),
    loading: z.boolean(),
});

/** Client for engines that accept orders with `PUT /setup` and report their state with `GET /setup`. */
export class HttpEngineControl extends EngineControl {
    /** @param client Connection pools. */
    constructor(private readonly client: HttpClient) {
        super();
    }

    override async order(vm: Vm, order: EngineOrder, signal: AbortSignal): Promise<void> {
        const step = "order setup";
        let status: number;
        try {
            ({ status } = await this.client.request(vm.address, {
                method: "PUT",
                path: "/setup",
                headers: { "content-type": "application/json" },
                body: Buffer.from(JSON.stringify(order)),
            }, { signal }));
        }
        catch (cause) {
            throw new OrderError(step, vm.id, OrderFault.NoAnswer, cause);
        }
        if (status === FENCED_STATUS) {
            throw new OrderError(step, vm.id, OrderFault.Fenced);
        }
        if (status !== 202) {
            throw new OrderError(step, vm.id, OrderFault.NoAnswer, new Error(`status ${status}`));
        }
    }

    override async readState(vm: Vm): Promise<EngineState> {
        try {
            const request = { method: "GET", path: "/setup", headers: {} };
            const { body } = await this.client.request(vm.address, request, { timeoutMs: STATE_TIMEOUT_MS });
            return stateSchema.parse(JSON.parse(body.toString("utf8")));
        }
        catch (cause) {
            throw new OrderError("read setup", vm.id, OrderFault.NoAnswer, cause);
        }
    }
}
