/**
 * Operators' command line.
 *
 * @module
 */

export * from "./merged_timeline.js";
export * from "./operator_client.js";
export * from "./table.js";
export * from "./timeline_page.js";
