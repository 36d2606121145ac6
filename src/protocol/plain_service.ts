/**
 * Interface to plain services: backend servers that are not model engines.
 *
 * @module
 */

import type { Vm } from "../state/mod.js";

/** Request to a plain service. */
export interface ServiceRequest {
    /** Request id, which the backend server echoes. */
    readonly id: string;
    readonly method: string;
    /** Path relative to the service, with the query. */
    readonly target: string;
    readonly contentType: string | undefined;
    /** Key that identifies the request across retries. */
    readonly idempotencyKey: string | undefined;
    readonly body: Buffer;
}

/** Complete answer of a plain service. */
export interface ServiceAnswer {
    readonly status: number;
    readonly contentType: string;
    readonly body: Buffer;
}

/** Client for plain services. */
export abstract class PlainService {
    /**
     * Sends a request and reads the complete answer.
     *
     * @throws {DispatchError} When the answer is incomplete.
     */
    abstract send(vm: Vm, request: ServiceRequest, signal: AbortSignal): Promise<ServiceAnswer>;
}
