/**
 * Replication of the configuration to a node, and proposal of changes.
 *
 * @module
 */

export { MAX_REMEMBERED_CHANGES } from "./_change_history.js";
export { MAX_KEPT_RECORDS } from "./_recent_records.js";
export { withTimeout } from "./_timeout.js";
export * from "./change_outcome.js";
export * from "./configuration_follower.js";
export * from "./configuration_proposer.js";
export * from "./configuration_state_machine.js";
export * from "./snapshot_store.js";
