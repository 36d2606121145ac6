/**
 * Prometheus metrics of a daemon.
 *
 * @module
 */

import { collectDefaultMetrics, Counter, Gauge, Histogram, Registry } from "prom-client";
import { CallObserver, type CallTimings } from "../coordination/mod.js";
import type { AcceptedCall, Refusal } from "../protocol/mod.js";
import type { ConnectionBound } from "../transport/mod.js";

/** Bucket bounds of the latency histograms, in seconds. */
const LATENCY_BUCKETS_S = [0.005, 0.01, 0.02, 0.036, 0.05, 0.1, 0.2, 0.4, 0.72, 1, 2, 5, 10, 30, 60];

/** Milliseconds in a second. */
const MS_PER_SECOND = 1_000;

/** Quantity that is bounded by a named limit. */
export interface LimitedQuantity {
    /** Name of the limit, such as `MAX_BODY_BYTES`; used as a metric label. */
    readonly name: string;
    readonly limit: number;
    /** Returns the current value. */
    readonly read: () => number;
}

/** Values of what is done about callers that keep to no limit. */
export interface InputGauges {
    readonly evictions: () => number;
    readonly pacedConnections: () => number;
    /** Bounds on the connections of each port, by its use. */
    readonly connections: () => Iterable<readonly [string, ConnectionBound]>;
}

/** Records calls, and exposes every limited quantity together with its limit. */
export class Metrics extends CallObserver {
    readonly registry = new Registry();
    private readonly accepted = new Counter({
        name: "foxtailrail_calls_accepted_total",
        help: "Calls accepted for scheduling.",
        labelNames: ["tier", "operation"] as const,
        registers: [this.registry],
    });
    private readonly answered = new Counter({
        name: "foxtailrail_calls_answered_total",
        help: "Calls that got their whole answer, by whether it came within the promise.",
        labelNames: ["tier", "operation", "kept"] as const,
        registers: [this.registry],
    });
    private readonly refused = new Counter({
        name: "foxtailrail_calls_refused_total",
        help: "Calls refused, by type and by whether they can have run.",
        labelNames: ["tier", "type", "executed"] as const,
        registers: [this.registry],
    });
    private readonly firstToken = new Histogram({
        name: "foxtailrail_first_token_seconds",
        help: "Time from acceptance to the first token.",
        labelNames: ["tier"] as const,
        buckets: LATENCY_BUCKETS_S,
        registers: [this.registry],
    });
    private readonly longestGap = new Histogram({
        name: "foxtailrail_longest_gap_seconds",
        help: "Longest time between two tokens of an answer.",
        labelNames: ["tier"] as const,
        buckets: LATENCY_BUCKETS_S,
        registers: [this.registry],
    });

    constructor() {
        super();
        collectDefaultMetrics({ register: this.registry });
    }

    /** Registers metrics of the quantities and their limits. */
    registerLimitMetrics(quantities: readonly LimitedQuantity[]): void {
        const used = new Gauge({
            name: "foxtailrail_limit_used",
            help: "Quantity that has a named limit.",
            labelNames: ["limit"] as const,
            registers: [this.registry],
            collect: () => {
                for (const quantity of quantities) {
                    used.set({ limit: quantity.name }, quantity.read());
                }
            },
        });
        const limits = new Gauge({
            name: "foxtailrail_limit",
            help: "Value of a named limit.",
            labelNames: ["limit"] as const,
            registers: [this.registry],
        });
        for (const quantity of quantities) {
            limits.set({ limit: quantity.name }, quantity.limit);
        }
    }

    /** Registers metrics of what is done about callers that keep to no limit. */
    registerInputMetrics({ evictions, pacedConnections, connections }: InputGauges): void {
        const evicted: Gauge = new Gauge({
            name: "foxtailrail_evictions",
            help: "Bodies and messages that were given up because they held most of the memory.",
            registers: [this.registry],
            collect: () => evicted.set(evictions()),
        });
        const paced: Gauge = new Gauge({
            name: "foxtailrail_paced_connections",
            help: "Connections that wait for their turn because they bring many small pieces.",
            registers: [this.registry],
            collect: () => paced.set(pacedConnections()),
        });
        const givenUp = new Gauge({
            name: "foxtailrail_given_up_connections",
            help: "Connections that were closed because their port had too many, since the start.",
            labelNames: ["port", "reason"] as const,
            registers: [this.registry],
            collect: () => {
                for (const [port, { stalled, refused, heads }] of connections()) {
                    givenUp.set({ port, reason: "stalled" }, stalled);
                    givenUp.set({ port, reason: "refused" }, refused);
                    givenUp.set({ port, reason: "head" }, heads);
                }
            },
        });
    }

    /**
     * Registers a metric of the time at which the certificate for peers expires.
     *
     * @param readExpiry Returns the time in milliseconds since the Unix epoch, or `undefined` if TLS is off.
     */
    registerCertificateMetric(readExpiry: () => number | undefined): void {
        const gauge: Gauge = new Gauge({
            name: "foxtailrail_certificate_expiry_seconds",
            help: "Time at which the certificate for peers expires, in seconds since the Unix epoch; 0 with plain text.",
            registers: [this.registry],
            collect: () => gauge.set((readExpiry() ?? 0) / MS_PER_SECOND),
        });
    }

    override recordAccepted(call: AcceptedCall): void {
        this.accepted.inc({ tier: call.tier.name, operation: call.operation.name });
    }

    override recordAnswered(call: AcceptedCall, timings: CallTimings): void {
        const tier = call.tier.name;
        this.answered.inc({ tier, operation: call.operation.name, kept: String(timings.metObjectives) });
        this.firstToken.observe({ tier }, timings.firstTokenMs / MS_PER_SECOND);
        this.longestGap.observe({ tier }, timings.longestGapMs / MS_PER_SECOND);
    }

    override recordRefused(call: AcceptedCall | undefined, refusal: Refusal): void {
        this.refused.inc({ tier: call?.tier.name ?? "none", type: refusal.type, executed: refusal.executed });
    }
}
