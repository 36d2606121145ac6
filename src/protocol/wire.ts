/**
 * Messages and services between daemons, and from operators to daemons.
 *
 * @module
 */

export * from "./gen/operator.js";
export * from "./gen/peer.js";
// Every generated file exports these.
export { type MessageFns, protobufFileName, protobufPackage } from "./gen/peer.js";
