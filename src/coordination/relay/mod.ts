/**
 * Scheduling, admission control, retries, peer reports and rollouts of the relay of opaque calls.
 *
 * @module
 */

export { RetryBudget } from "../retry_budget.js";
export * from "./admission_gate.js";
export * from "./aggregator_selector.js";
export * from "./arrival_rate.js";
export * from "./background_task.js";
export * from "./brittle_servers.js";
export * from "./call_fingerprint.js";
export * from "./call_priority.js";
export * from "./call_quarantine.js";
export * from "./call_record.js";
export * from "./call_traits.js";
export * from "./cold_rules.js";
export * from "./cold_servers.js";
export * from "./detour_attempt.js";
export * from "./detour_call.js";
export * from "./detour_hedge.js";
export * from "./detour_peers.js";
export * from "./era_guarded_log.js";
export * from "./event_stream_splitter.js";
export * from "./final_answer.js";
export * from "./fleet_share.js";
export * from "./incarnation_key.js";
export * from "./log_health.js";
export * from "./mesh_exchange.js";
export * from "./node_directory.js";
export * from "./order_history.js";
export * from "./peer_reporter.js";
export * from "./peer_table.js";
export * from "./placement.js";
export * from "./prompt_locations.js";
export * from "./read_timing.js";
export * from "./relay_handler.js";
export * from "./relayed_call.js";
export * from "./report_exchange.js";
export * from "./report_sums.js";
export * from "./rollout_decision.js";
export * from "./rollout_evidence.js";
export * from "./rollout_log.js";
export * from "./server_answer.js";
export * from "./server_call_observer.js";
export * from "./server_catalog.js";
export * from "./server_limits.js";
export * from "./server_pool.js";
export * from "./server_reach.js";
export * from "./server_state.js";
export * from "./server_statements.js";
export * from "./service_scheduler.js";
export * from "./slot_reservation.js";
export * from "./stop_deadline.js";
export * from "./suspect_table.js";
export * from "./topic_follower.js";
export * from "./topic_read.js";
export * from "./topic_views.js";
export * from "./tree_exchange.js";
export * from "./turn_watch.js";
export * from "./version_count_sums.js";
export * from "./version_rollout.js";
export * from "./version_rollouts.js";
export * from "./wait_limits.js";
export * from "./wakeable_pause.js";
export * from "./work_steps.js";
export * from "./workspace_quota.js";
