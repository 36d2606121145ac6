/**
 * Coordination of calls on a node: admission, scheduling, dispatch and retries, rollouts and cluster membership.
 *
 * @module
 */

export * from "./attempt_meter.js";
export * from "./attempt_observer.js";
export * from "./call_observer.js";
export * from "./call_resolver.js";
export * from "./claims/mod.js";
export * from "./configuration/mod.js";
export * from "./dispatch_guard.js";
export * from "./dispatcher.js";
export * from "./evidence/mod.js";
export * from "./membership/mod.js";
export * from "./orders/mod.js";
export * from "./platform_watcher.js";
export * from "./request_handler.js";
export * from "./retry_budget.js";
export * from "./rollouts/mod.js";
export * from "./scheduler.js";
export * from "./scheduling/mod.js";
export * from "./version_policy.js";
