/**
 * Naive configuration: each node polls the whole document every few seconds and does not communicate with peers.
 *
 * @module
 */

import type { RandomSource } from "../../src/state/mod.js";

/** Polling interval, in milliseconds. */
const POLL_INTERVAL_MS = 5_000;

/** Settings of {@linkcode drawPollingDelays}. */
export interface PollingSettings {
    readonly nodes: number;
    readonly changes: number;
    /** Time after each change during which the node is isolated from the log, in milliseconds; 0 for a connected fleet. */
    readonly isolationMs: number;
    readonly random: RandomSource;
}

/**
 * Draws the delays from the commit of a change to its activation.
 *
 * A node polls at a fixed interval with a random phase. Polls fail while the node is isolated from the log, so the first poll after
 * the isolation returns the change.
 *
 * @param settings See {@linkcode PollingSettings}.
 * @returns Delays in milliseconds, one per change and node.
 */
export function drawPollingDelays({ nodes, changes, isolationMs, random }: PollingSettings): readonly number[] {
    const delaysMs: number[] = [];
    for (let node = 0; node < nodes; node += 1) {
        const phaseMs = random.next() * POLL_INTERVAL_MS;
        for (let change = 0; change < changes; change += 1) {
            const committedAtMs = random.next() * 3_600_000;
            const readableAtMs = committedAtMs + isolationMs;
            const polls = Math.ceil((readableAtMs - phaseMs) / POLL_INTERVAL_MS);
            delaysMs.push(phaseMs + polls * POLL_INTERVAL_MS - committedAtMs);
        }
    }
    return delaysMs;
}

/**
 * Returns the bytes per second that a node reads.
 *
 * @param documentBytes Size of the whole document, in bytes.
 */
export function pollingBytesPerSecond(documentBytes: number): number {
    return documentBytes * 1_000 / POLL_INTERVAL_MS;
}
