/**
 * Daemon and its settings.
 *
 * @module
 */

export * from "./claim_desk.js";
export * from "./configuration_desk.js";
export * from "./daemon.js";
export * from "./entry_node.js";
export * from "./metrics.js";
export * from "./operator_desk.js";
export * from "./peer_desk.js";
export * from "./scheduling_metrics.js";
export * from "./settings.js";
export { SettingsError } from "./settings_file.js";
export * from "./timeline_sender.js";
