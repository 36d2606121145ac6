/**
 * Daemon of an entry VM, its gRPC services, metrics and settings.
 *
 * @module
 */

export * from "./claim_service.js";
export * from "./configuration_services.js";
export * from "./daemon.js";
export * from "./entry_node.js";
export * from "./metrics.js";
export * from "./operator_service.js";
export * from "./peer_service.js";
export * from "./scheduling_metrics.js";
export * from "./settings.js";
export { SettingsError } from "./settings_file.js";
export * from "./timeline_sender.js";
