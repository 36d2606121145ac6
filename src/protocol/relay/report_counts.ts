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

/** Returns the tokens used from each shared bucket, by the bucket's key. */
export function totalsByBucketKey(report: PeerReport): Map<number, number> {
    return new Map(report.bucketKeys.map((key, index) => [key, report.bucketTotals[index] ?? 0]));
}
