/**
 * Access to the counts of a report by key.
 *
 * @module
 */

import type { PeerReport } from "../gen/relay.js";

/** Returns the calls in flight at each backend server, by the server's key. */
export function callsByServerKey(report: PeerReport): Map<number, number> {
    return new Map(report.serverKeys.map((key, index) => [key, report.serverCalls[index] ?? 0]));
}

/** Returns the tokens admitted for each workspace, by the workspace's key. */
export function tokensByWorkspaceKey(report: PeerReport): Map<number, number> {
    return new Map(report.workspaceKeys.map((key, index) => [key, report.workspaceTokens[index] ?? 0]));
}
