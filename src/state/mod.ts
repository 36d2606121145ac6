/**
 * In-memory state of a node.
 *
 * @module
 */

export * from "./arrived_input.js";
export * from "./backend_table.js";
export * from "./block_buffer.js";
export * from "./clock.js";
export * from "./configuration.js";
export * from "./configuration_change.js";
export * from "./configuration_diff.js";
export * from "./configuration_exception.js";
export * from "./configuration_view.js";
export * from "./event_ring.js";
export * from "./growing_buffer.js";
export * from "./hybrid_clock.js";
export * from "./load_view.js";
export * from "./memory_budget.js";
export * from "./prefix_index.js";
export * from "./random.js";
export * from "./time_limit.js";
export * from "./vm.js";
