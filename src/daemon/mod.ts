/**
 * Daemon and its settings.
 *
 * @module
 */

export * from "./daemon.js";
export * from "./entry_node.js";
export * from "./metrics.js";
export * from "./peer_desk.js";
export * from "./settings.js";
