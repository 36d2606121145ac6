/**
 * Simulated plain service that counts its side effects.
 *
 * @module
 */

import type { ServiceAnswer, ServiceRequest } from "../src/protocol/mod.js";
import type { Clock } from "../src/state/mod.js";

/** Faults that tests inject. */
export interface ServiceFaults {
    /** Connections are refused. */
    refuse: boolean;
    /** The connection breaks after the effect has taken place. */
    breakAfterEffect: boolean;
    /** Answers carry the id of another request. */
    cross: boolean;
    /** Latency of answers, in milliseconds. */
    delayMs: number;
}

/** Counts side effects by idempotency key; shared by the servers of a pool. */
export class EffectLedger {
    private readonly effects = new Map<string, number>();

    /** Records one effect of a key. */
    record(key: string): void {
        this.effects.set(key, this.count(key) + 1);
    }

    /** Returns the number of effects of a key. */
    count(key: string): number {
        return this.effects.get(key) ?? 0;
    }

    /** Total number of effects over all keys. */
    get total(): number {
        return [...this.effects.values()].reduce((sum, count) => sum + count, 0);
    }

    /** Returns the number of effects of each key. */
    counts(): Readonly<Record<string, number>> {
        return Object.fromEntries(this.effects);
    }
}

/** Simulated plain service, used in process by tests and served over HTTP by stand-in processes. */
export class ServiceModel {
    readonly faults: ServiceFaults = { refuse: false, breakAfterEffect: false, cross: false, delayMs: 5 };
    /** Number of received requests. */
    requests = 0;

    /**
     * @param clock Clock that times the answers.
     * @param ledger Ledger that records the effects.
     */
    constructor(private readonly clock: Clock, readonly ledger: EffectLedger) {}

    /**
     * Answers one request. Every request but a GET has one effect; repeated idempotency keys are not deduplicated.
     *
     * @param request Request to answer.
     * @param signal Aborts the wait for the answer; the effect still takes place.
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
