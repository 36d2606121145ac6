/**
 * Generated messages and services for calls between daemons and from operators to daemons.
 *
 * @module
 */

export * from "./gen/operator.js";
export * from "./gen/peer.js";
// All generated files export these names; the explicit export resolves the ambiguity.
export { type MessageFns, protobufFileName, protobufPackage } from "./gen/peer.js";
