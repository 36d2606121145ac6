/**
 * HTTP and UDP transport of the relay for opaque calls.
 *
 * @module
 */

export { bindWithRetry } from "../bind_retry.js";
export { ConnectionBound, type GivenUpConnections, MAX_HELD_HEAD_BYTES } from "../connection_bound.js";
export { HttpClient } from "../http_client.js";
export { HttpExchange } from "../http_exchange.js";
export { InputLimits } from "../input_limits.js";
export { readWholeAnswer } from "../whole_answer.js";
export * from "./caller_server.js";
export * from "./connection_probe.js";
export * from "./detour_server.js";
export * from "./http_detour_client.js";
export * from "./http_relay_answer.js";
export * from "./http_relay_client.js";
export * from "./peer_socket.js";
export * from "./status_server.js";
