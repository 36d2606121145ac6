/**
 * Dispatch of a call to a plain service.
 *
 * @module
 */

import type { PlainService, ServiceAnswer } from "../protocol/mod.js";
import type { CallScope } from "./_call_scope.js";
import type { DispatchPermit } from "./dispatch_guard.js";
import type { Dispatch } from "./dispatcher.js";
import type { Assignment } from "./scheduler.js";

/** Path prefix that names the service. */
const SERVICE_PREFIX = /^\/v1\/services\/[^/]+/;

/** Settings of a {@linkcode ServiceDispatch}. */
export interface ServiceDispatchSettings {
    readonly scope: CallScope;
    readonly permit: DispatchPermit;
    readonly service: PlainService;
}

/** Sends one call to a plain service and buffers its complete answer. */
export class ServiceDispatch implements Dispatch {
    readonly scope: CallScope;
    readonly permit: DispatchPermit;
    /** Complete answer; `undefined` until it is received. */
    answer: ServiceAnswer | undefined;

    /** @param settings See {@linkcode ServiceDispatchSettings}. */
    constructor(private readonly settings: ServiceDispatchSettings) {
        this.scope = settings.scope;
        this.permit = settings.permit;
    }

    receivedTokens(): number {
        return 0;
    }

    async attempt(assignment: Assignment, signal: AbortSignal): Promise<void> {
        const { incoming } = this.scope.call;
        const request = {
            id: incoming.id,
            method: incoming.method,
            target: `${incoming.path.replace(SERVICE_PREFIX, "") || "/"}${incoming.query}`,
            contentType: incoming.contentType,
            idempotencyKey: incoming.idempotencyKey,
            body: incoming.body,
        };
        this.answer = await this.settings.service.send(assignment.server.vm, request, signal);
    }
}
