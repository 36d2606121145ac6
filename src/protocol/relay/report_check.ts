/**
 * Check of reports of other nodes.
 *
 * @module
 */

import type { PeerReport } from "../gen/relay.js";
import { isSocketAddress } from "./socket_address.js";

/** Largest figure of a report. Sums of larger ones lose whole numbers, and become infinite. */
const MAX_FIGURE = Number.MAX_SAFE_INTEGER;

/** Most calls of a service or at a server, in all reports; the nodes of a fleet don't hold as many in memory. */
const MAX_CALLS = 1_000_000;

/** Returns what is wrong with a report as a sentence; `undefined` for one that can be used. */
export function checkReport(report: PeerReport): string | undefined {
    if (report.node === "") {
        return "The report names no node.";
    }
    if (!isSocketAddress(report.address)) {
        return `The address "${report.address}" is no IPv4 address with a port.`;
    }
    if (!hasOnlyFigures(report) || !hasPlausibleCalls(report)) {
        return "The report contains a figure that is no number or too large.";
    }
    return undefined;
}

/** @returns Whether a fleet can have as many calls as a report states; others seem to take all slots. */
function hasPlausibleCalls({ serverCalls, demands, workspaceLoads }: PeerReport): boolean {
    for (const { inTimeCalls, lateCalls, arrivalsPerSecond, aboveShareCalls, aboveShareArrivalsPerSecond } of demands) {
        if (Math.max(inTimeCalls, lateCalls, arrivalsPerSecond, aboveShareCalls, aboveShareArrivalsPerSecond) > MAX_CALLS) {
            return false;
        }
    }
    for (const { heldCalls, waitingCalls, arrivalsPer10Seconds, endsPer10Seconds, usualSlotHundredths } of workspaceLoads) {
        const figures = [...heldCalls, ...waitingCalls, ...arrivalsPer10Seconds, ...endsPer10Seconds, ...usualSlotHundredths];
        if (figures.some(figure => figure > MAX_CALLS)) {
            return false;
        }
    }
    return serverCalls.every(calls => calls <= MAX_CALLS);
}

/** @returns Whether all numbers in a message, at any depth, can be added up. */
function hasOnlyFigures(value: unknown): boolean {
    if (typeof value === "number") {
        return Math.abs(value) <= MAX_FIGURE;
    }
    if (typeof value !== "object" || !value) {
        return true;
    }
    for (const item of Array.isArray(value) ? value as readonly unknown[] : Object.values(value)) {
        if (!hasOnlyFigures(item)) {
            return false;
        }
    }
    return true;
}
