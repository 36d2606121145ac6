/**
 * Plain services beside the model engines.
 *
 * @module
 */

import type { Vm } from "../state/mod.js";

/** Request to a plain service. */
export interface ServiceRequest {
    /** Id that the backend server echoes. */
    readonly id: string;
    readonly method: string;
    /** Path below the service with the query. */
    readonly target: string;
    readonly contentType: string | undefined;
    /** Key that names the request over retries. */
    readonly idempotencyKey: string | undefined;
    readonly body: Buffer;
}

/** Whole answer of a plain service. */
export interface ServiceAnswer {
    readonly status: number;
    readonly contentType: string;
    readonly body: Buffer;
}

/** Connection to plain services. */
export abstract class PlainService {
    /**
     * Sends a request and reads the whole answer.
     *
     * @throws {DispatchError} When the answer does not come whole.
     */
    abstract send(vm: Vm, request: ServiceRequest, signal: AbortSignal): Promise<ServiceAnswer>;
}
