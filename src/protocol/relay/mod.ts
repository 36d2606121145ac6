/**
 * Messages and abstract interfaces of the relay, which forwards opaque calls.
 *
 * @module
 */

export { describeCause, DispatchStep, Executed, PlatformError } from "../errors.js";
export {
    type BrittleServer,
    type CallSuspect,
    type ColdServer,
    DetourCall,
    DetourRoute,
    type LeavingServer,
    type LostService,
    PeerReport,
    ReportScope,
    RolloutVerdict,
    type ServerLimit,
    type ServiceDemand,
    type TopicView,
    type VersionCount,
    type VersionSlice,
    type WorkspaceLoads,
} from "../gen/relay.js";
export { describeIssue } from "../schema_problem.js";
export * from "./call_execution.js";
export * from "./detour_client.js";
export * from "./empty_report.js";
export * from "./key_hash.js";
export * from "./keyed_log.js";
export * from "./peer_link.js";
export * from "./relay_answer.js";
export * from "./relay_call.js";
export * from "./relay_client.js";
export * from "./report_check.js";
export * from "./report_counts.js";
export * from "./socket_address.js";
