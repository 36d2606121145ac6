/**
 * Progressive delivery of versions: evidence, sequential test, traffic share, rollback.
 *
 * @module
 */

export * from "./call_fraction.js";
export * from "./evidence_codec.js";
export * from "./local_evidence.js";
export * from "./peer_reports.js";
export * from "./rollout_controller.js";
export * from "./rollout_follower.js";
export * from "./rollout_journal.js";
export * from "./rollout_manager.js";
export * from "./rollout_notifier.js";
export * from "./rollout_operator_service.js";
export * from "./rollout_registry.js";
