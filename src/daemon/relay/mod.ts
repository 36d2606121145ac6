/**
 * Daemon of a relay node: its log follower, logging, metrics and settings.
 *
 * @module
 */

export { SettingsError } from "../settings_file.js";
export * from "./log_follower.js";
export * from "./record_reader.js";
export * from "./relay_log.js";
export * from "./relay_metrics.js";
export * from "./relay_node.js";
export * from "./relay_settings.js";
