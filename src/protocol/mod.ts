/**
 * Messages, codecs, and interfaces to everything outside a daemon.
 *
 * @module
 */

export * from "./call.js";
export * from "./chat_completion.js";
export * from "./claim_peer.js";
export * from "./configuration_check.js";
export * from "./configuration_peer.js";
export * from "./configuration_record.js";
export * from "./configuration_snapshot.js";
export * from "./dissemination.js";
export * from "./engine.js";
export * from "./engine_control.js";
export * from "./errors.js";
export * as claimWire from "./gen/claims.js";
export * as configurationWire from "./gen/configuration.js";
export * as rolloutWire from "./gen/rollouts.js";
export * as schedulingWire from "./gen/scheduling.js";
export * from "./lease_record.js";
export * from "./log_service.js";
export * from "./member_view.js";
export * from "./operator.js";
export * from "./peer.js";
export * from "./plain_service.js";
export * from "./prefix_blocks.js";
export * from "./refusal.js";
export * from "./rollout_operator.js";
export * from "./rollout_record.js";
export * from "./schema_problem.js";
export * from "./vm_list.js";
export * from "./webhook.js";
export * from "./weight_store.js";
export * as wire from "./wire.js";
