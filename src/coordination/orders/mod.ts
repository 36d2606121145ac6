/**
 * Orders to engines, under leases of their groups.
 *
 * @module
 */

export * from "./engine_reconciler.js";
export * from "./lease_holder.js";
export * from "./lease_registry.js";
export * from "./load_plan.js";
