/**
 * Daemon and its settings.
 *
 * @module
 */

export * from "./daemon.js";
export * from "./entry_node.js";
export * from "./metrics.js";
export * from "./scheduling_metrics.js";
export * from "./settings.js";
