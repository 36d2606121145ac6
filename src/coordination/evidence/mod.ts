/**
 * Evidence of calls on two versions, and the sequential test that decides from it whether the new one is worse.
 *
 * @module
 */

export * from "./block_statistics.js";
export * from "./evidence_monitor.js";
export * from "./evidence_slice.js";
export * from "./latency_histogram.js";
export * from "./sequential_test.js";
