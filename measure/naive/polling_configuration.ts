/**
 * Naive configuration: each node reads the whole document every few seconds, and knows no peers.
 *
 * @module
 */

import type { RandomSource } from "../../src/state/mod.js";

/** Time between two reads, in milliseconds. */
const POLL_INTERVAL_MS = 5_000;

/** Run of the naive configuration. */
export interface PollingSettings {
    readonly nodes: number;
    readonly changes: number;
    /** Time for which the log is cut off after each change, in milliseconds; 0 for a whole fleet. */
    readonly isolationMs: number;
    readonly random: RandomSource;
}

/**
 * Draws the times from the landing of a change to in force.
 *
 * A node reads at a fixed interval from a random time on; while it is cut off its reads fail, so that the first read after the cut
 * brings the change.
 *
 * @param run See {@linkcode PollingSettings}.
 * @returns Times in milliseconds, one for each change and node.
 */
export function drawPollingDelays({ nodes, changes, isolationMs: cutMs, random }: PollingSettings): readonly number[] {
    const delaysMs: number[] = [];
    for (let node = 0; node < nodes; node += 1) {
        const phaseMs = random.next() * POLL_INTERVAL_MS;
        for (let change = 0; change < changes; change += 1) {
            const landedAtMs = random.next() * 3_600_000;
            const readableAtMs = landedAtMs + cutMs;
            const reads = Math.ceil((readableAtMs - phaseMs) / POLL_INTERVAL_MS);
            delaysMs.push(phaseMs + reads * POLL_INTERVAL_MS - landedAtMs);
        }
    }
    return delaysMs;
}

/**
 * Returns the bytes that a node reads in a second.
 *
 * @param documentBytes Size of the whole document.
 */
export function pollingBytesPerSecond(documentBytes: number): number {
    return documentBytes * 1_000 / POLL_INTERVAL_MS;
}
