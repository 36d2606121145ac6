/**
 * Exports of the operators' command line: client, timelines and tables.
 *
 * @module
 */

export * from "./merged_timeline.js";
export * from "./operator_client.js";
export * from "./table.js";
export * from "./timeline_page.js";
