/**
 * Claims on idempotency keys: the order of the records in the log decides which call with a key is dispatched.
 *
 * @module
 */

export * from "./claim_guard.js";
export * from "./claim_index.js";
export * from "./claim_key.js";
export * from "./claim_outbox.js";
export * from "./claim_router.js";
export * from "./claim_stream.js";
export * from "./claim_streams.js";
export * from "./rendezvous.js";
export * from "./standalone_claim_client.js";
export * from "./unknown_calls.js";
