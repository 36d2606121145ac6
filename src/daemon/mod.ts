/**
 * Daemon and its settings.
 *
 * @module
 */

export * from "./configuration_desk.js";
export * from "./daemon.js";
export * from "./entry_node.js";
export * from "./metrics.js";
export * from "./operator_desk.js";
export * from "./settings.js";
export * from "./timeline_sender.js";
