/**
 * Orders to engines, under leases of their groups.
 *
 * @module
 */

export * from "./lease_book.js";
export * from "./lease_holder.js";
export * from "./load_plan.js";
export * from "./order_runner.js";
