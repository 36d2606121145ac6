/**
 * Daemon and its settings.
 *
 * @module
 */

export * from "./claim_desk.js";
export * from "./daemon.js";
export * from "./entry_node.js";
export * from "./metrics.js";
export * from "./settings.js";
