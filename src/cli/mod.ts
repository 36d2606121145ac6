/**
 * Operators' command line.
 *
 * @module
 */

export * from "./document_diff.js";
export * from "./operator_client.js";
export * from "./rollout_client.js";
export * from "./table.js";
