/**
 * Model of a plain service that counts its effects.
 *
 * @module
 */

import type { ServiceAnswer, ServiceRequest } from "../src/protocol/mod.js";
import type { Clock } from "../src/state/mod.js";

/** Faults that a test switches on. */
export interface ServiceFaults {
    /** Connections are refused. */
    refuse: boolean;
    /** The effect takes place and the connection then breaks. */
    breakAfterEffect: boolean;
    /** Answers carry the id of another request. */
    cross: boolean;
    /** Time that an answer takes, in milliseconds. */
    delayMs: number;
}

/** Effects of one key, shared by the servers of a pool. */
export class EffectLedger {
    private readonly effects = new Map<string, number>();

    /** Counts one effect. */
    record(key: string): void {
        this.effects.set(key, this.count(key) + 1);
    }

    /** Returns how often the key took effect. */
    count(key: string): number {
        return this.effects.get(key) ?? 0;
    }

    /** Number of effects over all keys. */
    get total(): number {
        return [...this.effects.values()].reduce((sum, count) => sum + count, 0);
    }

    /** Returns how often each key took effect. */
    counts(): Readonly<Record<string, number>> {
        return Object.fromEntries(this.effects);
    }
}

/** Plain service as a test or a stand-in process runs it. */
export class ServiceModel {
    readonly faults: ServiceFaults = { refuse: false, breakAfterEffect: false, cross: false, delayMs: 5 };
    /** Requests received. */
    requests = 0;

    /**
     * @param clock Clock that answers are timed by.
     * @param ledger Effects, by idempotency key.
     */
    constructor(private readonly clock: Clock, readonly ledger: EffectLedger) {}

    /**
     * Answers one request; changes take effect once for each request received, whatever its key.
     *
     * @param request Request to answer.
     * @param signal Ends the wait for the answer, but not the effect.
     */
    async send(request: ServiceRequest, signal?: AbortSignal): Promise<ServiceAnswer> {
        this.requests += 1;
        if (request.method !== "GET") {
            this.ledger.record(request.idempotencyKey ?? request.id);
        }
        await this.clock.sleep(this.faults.delayMs, signal);
        const answer = { target: request.target, key: request.idempotencyKey, done: true };
        return { status: 200, contentType: "application/json", body: Buffer.from(JSON.stringify(answer)) };
    }
}
