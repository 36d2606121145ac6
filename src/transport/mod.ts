/**
 * HTTP and gRPC servers and clients for callers, backend servers, the platform, operators and other daemons.
 *
 * @module
 */

export * from "./certificate_files.js";
export * from "./connection_bound.js";
export * from "./grpc_claim_client.js";
export * from "./grpc_configuration_client.js";
export * from "./grpc_peer_client.js";
export * from "./grpc_server.js";
export * from "./grpc_services.js";
export * from "./http_client.js";
export * from "./http_engine.js";
export * from "./http_engine_control.js";
export * from "./http_exchange.js";
export * from "./http_plain_service.js";
export * from "./http_platform.js";
export * from "./http_server.js";
export * from "./http_webhook.js";
export * from "./input_limits.js";
export * from "./peer_authorizer.js";
