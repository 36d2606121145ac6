/**
 * Gossip-based membership of the entry VMs and dissemination of their shared values.
 *
 * @module
 */

export * from "./byte_budget.js";
export * from "./gossip_dissemination.js";
export * from "./member.js";
export { MAX_MEMBERS } from "./member_table.js";
export * from "./membership.js";
