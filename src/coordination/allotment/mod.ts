/**
 * What all nodes share out among themselves without a coordinator: demand, each node's part of a common rate, and the shares of workspaces.
 *
 * @module
 */

export * from "./allotted_share.js";
export * from "./bounded_rate.js";
export * from "./call_allowance.js";
export * from "./demand.js";
export * from "./interval_allotment.js";
export * from "./max_min_division.js";
export * from "./shared_rate.js";
export * from "./shared_token_bucket.js";
export * from "./usual_load.js";
export * from "./workspace_accounts.js";
export * from "./workspace_division.js";
export * from "./workspace_load.js";
export * from "./workspace_shares.js";
