/**
 * Command line of the operators: client, time lines and tables.
 *
 * @module
 */

export * from "./merged_timeline.js";
export * from "./operator_client.js";
export * from "./table.js";
export * from "./timeline_page.js";
