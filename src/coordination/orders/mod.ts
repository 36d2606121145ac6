/**
 * Leases of groups of backend servers, and the orders that the lease holder sends to their engines.
 *
 * @module
 */

export * from "./engine_reconciler.js";
export * from "./lease_holder.js";
export * from "./lease_registry.js";
export * from "./load_plan.js";
