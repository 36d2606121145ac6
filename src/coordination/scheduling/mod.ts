/**
 * Scheduling of calls: queueing, choice of a backend server, and load shedding.
 *
 * @module
 */

export * from "./admission_claims.js";
export * from "./cache_event_reader.js";
export * from "./call_queue.js";
export * from "./cost_model.js";
export * from "./pool_scheduler.js";
export * from "./scheduling_counts.js";
export * from "./scheduling_observer.js";
export * from "./server_subset.js";
export * from "./server_window.js";
export * from "./shed_refusal.js";
export * from "./tiered_scheduler.js";
export * from "./waiting_call.js";
