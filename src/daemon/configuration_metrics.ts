/**
 * Metrics of a node's configuration log.
 *
 * @module
 */

import { Counter, Gauge, type Registry } from "prom-client";
import type { EntryNode } from "./entry_node.js";

/**
 * Registers metrics of the configuration version in force and of the progress of reading the configuration log.
 *
 * @param registry Registry to which the metrics are added.
 * @param node Node whose configuration is observed.
 */
export function registerConfigurationMetrics(registry: Registry, node: EntryNode): void {
    const { configurationFollower: follower, view } = node;
    const gauges = [
        {
            name: "version",
            help: "Version of the configuration in force; -1 before the first.",
            read: () => view.published.version,
        },
        { name: "next_offset", help: "First offset of the log not read yet.", read: () => follower.stateMachine.nextOffset },
        { name: "log_failing", help: "1 while the log cannot be read.", read: () => Number(follower.isLogFailing) },
        {
            name: "incomplete",
            help: "1 after a record of a later format was skipped.",
            read: () => Number(!follower.stateMachine.isComplete),
        },
    ];
    for (const { name, help, read } of gauges) {
        const gauge: Gauge = new Gauge({
            name: `foxtailrail_configuration_${name}`,
            help,
            registers: [registry],
            collect: () => gauge.set(read()),
        });
    }
    let previousSkipped = 0;
    const skipped: Counter = new Counter({
        name: "foxtailrail_configuration_skipped_total",
        help: "Records skipped as malformed, wrong or of a later format.",
        registers: [registry],
        collect: () => {
            skipped.inc(follower.stateMachine.skippedCount - previousSkipped);
            previousSkipped = follower.stateMachine.skippedCount;
        },
    });
}
