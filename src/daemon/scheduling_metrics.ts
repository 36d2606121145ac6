/**
 * Metrics of the scheduler.
 *
 * @module
 */

import { Counter, Gauge, type Registry } from "prom-client";
import type { PoolScheduler, TieredScheduler } from "../coordination/mod.js";
import { MAX_WAITING_BYTES, MAX_WAITING_CALLS } from "../coordination/mod.js";
import type { LimitedQuantity } from "./metrics.js";

/** Maximum number of backend servers of a pool with a label of their own; the others are summed under the label `other`. */
const MAX_SERVER_LABELS = 48;

/**
 * Registers metrics of a scheduler's queues, admission claims, windows, shed calls and ejections.
 *
 * @param registry Registry to which the metrics are added.
 * @param scheduler Scheduler that is observed.
 * @param tierName Returns the name of the tier with a rank.
 */
export function registerSchedulingMetrics(
    registry: Registry,
    scheduler: TieredScheduler,
    tierName: (rank: number) => string,
): void {
    registerQueueMetrics(registry, scheduler, tierName);
    registerWindowMetrics(registry, scheduler);
    registerEventCounters(registry, scheduler);
}

/** Returns the limits on waiting calls, each with the value of the pool that is closest to it. */
export function schedulingLimits(scheduler: TieredScheduler): readonly LimitedQuantity[] {
    const maxOverPools = (read: (pool: PoolScheduler) => number) => Math.max(0, ...Array.from(scheduler.pools.values(), read));
    return [
        { name: "MAX_WAITING_CALLS", limit: MAX_WAITING_CALLS, read: () => maxOverPools(pool => pool.queue.size) },
        { name: "MAX_WAITING_BYTES", limit: MAX_WAITING_BYTES, read: () => maxOverPools(pool => pool.queue.bytes) },
    ];
}

function registerQueueMetrics(registry: Registry, scheduler: TieredScheduler, tierName: (rank: number) => string): void {
    const waiting = new Gauge({
        name: "foxtailrail_waiting_calls",
        help: "Calls that wait for a backend server, by pool and tier.",
        labelNames: ["pool", "tier"] as const,
        registers: [registry],
        collect: () => {
            for (const [pool, { queue }] of scheduler.pools) {
                for (const rank of queue.ranks) {
                    waiting.set({ pool, tier: tierName(rank) }, queue.tier(rank).size);
                }
            }
        },
    });
    const stopped = new Gauge({
        name: "foxtailrail_tier_stopped",
        help: "Whether a tier is stopped by an admission claim of this node or a peer, by pool.",
        labelNames: ["pool", "tier"] as const,
        registers: [registry],
        collect: () => {
            for (const [pool, { queue, claims }] of scheduler.pools) {
                for (const rank of queue.ranks) {
                    stopped.set({ pool, tier: tierName(rank) }, claims.isRankStopped(rank) ? 1 : 0);
                }
            }
        },
    });
}

function registerWindowMetrics(registry: Registry, scheduler: TieredScheduler): void {
    const labelNames = ["pool", "server"] as const;
    const limit = new Gauge({
        name: "foxtailrail_window_tokens",
        help: "Window of each backend server in this node's subset, in tokens; calls for plain services.",
        labelNames,
        registers: [registry],
        collect: () => {
            limit.reset();
            outstanding.reset();
            for (const [pool, { servers }] of scheduler.pools) {
                for (const [index, window] of [...servers.windows].entries()) {
                    const server = index < MAX_SERVER_LABELS ? window.server.vm.id : "other";
                    limit.inc({ pool, server }, window.limit);
                    outstanding.inc({ pool, server }, window.outstandingTokens);
                }
            }
        },
    });
    const outstanding = new Gauge({
        name: "foxtailrail_outstanding_tokens",
        help: "Work of this node outstanding at each backend server in its subset, in tokens; calls for plain services.",
        labelNames,
        registers: [registry],
    });
}

function registerEventCounters(registry: Registry, scheduler: TieredScheduler): void {
    const sheds = new Counter({
        name: "foxtailrail_calls_shed_total",
        help: "Calls shed, by tier and reason.",
        labelNames: ["tier", "reason"] as const,
        registers: [registry],
        collect: () => {
            sheds.reset();
            for (const { tier, reason, count } of scheduler.counts.shedCounts) {
                sheds.inc({ tier, reason }, count);
            }
        },
    });
    const ejections = new Counter({
        name: "foxtailrail_ejections_total",
        help: "Ejections of backend servers whose calls failed.",
        registers: [registry],
        collect: () => {
            ejections.reset();
            ejections.inc(scheduler.counts.ejections);
        },
    });
    const stale = new Counter({
        name: "foxtailrail_stale_prefixes_total",
        help: "Answers of which less of the prompt was cached than the prefix index held.",
        registers: [registry],
        collect: () => {
            stale.reset();
            stale.inc(scheduler.counts.stalePrefixes);
        },
    });
}
