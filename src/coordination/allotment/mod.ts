/**
 * What all nodes share out among themselves without a coordinator: demand, and each node's part of a common rate.
 *
 * @module
 */

export * from "./allotted_share.js";
export * from "./bounded_rate.js";
export * from "./call_allowance.js";
export * from "./demand.js";
export * from "./interval_allotment.js";
export * from "./shared_rate.js";
export * from "./shared_token_bucket.js";
