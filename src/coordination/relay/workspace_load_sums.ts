/**
 * Loads of workspaces in reports: their encoding, and their sums over nodes.
 *
 * @module
 */

import type { WorkspaceLoads } from "../../protocol/relay/mod.js";
import { addLoad, largestLoads, NO_LOAD, type ServiceLoads, type WorkspaceLoad } from "../allotment/mod.js";

/** Workspaces of a service in the sum of several nodes; more than one node reports, as the largest differ between nodes. */
const MAX_SUMMED_WORKSPACES = 16;

/** Seconds over which the rates in reports count events, so that whole numbers hold rates below 1. */
const RATE_SECONDS = 10;

const HUNDREDTHS = 100;

/** Returns the message for the loads of a service. */
export function toWorkspaceLoads(serviceKey: number, { shortNodes, workspaces }: ServiceLoads): WorkspaceLoads {
    const loads = [...workspaces.values()];
    return {
        serviceKey,
        shortNodes,
        workspaceKeys: [...workspaces.keys()],
        heldCalls: loads.map(load => Math.round(load.heldCalls)),
        waitingCalls: loads.map(load => Math.round(load.waitingCalls)),
        arrivalsPer10Seconds: loads.map(load => Math.round(load.arrivalsPerSecond * RATE_SECONDS)),
        endsPer10Seconds: loads.map(load => Math.round(load.endsPerSecond * RATE_SECONDS)),
        usualSlotHundredths: loads.map(load => Math.round(load.usualSlots * HUNDREDTHS)),
    };
}

/** Returns the loads of a message. */
export function fromWorkspaceLoads(message: WorkspaceLoads): ServiceLoads {
    const { workspaceKeys, heldCalls, waitingCalls, arrivalsPer10Seconds, endsPer10Seconds, usualSlotHundredths } = message;
    const workspaces = new Map<number, WorkspaceLoad>();
    for (const [index, key] of workspaceKeys.entries()) {
        workspaces.set(key, {
            heldCalls: heldCalls[index] ?? 0,
            waitingCalls: waitingCalls[index] ?? 0,
            arrivalsPerSecond: (arrivalsPer10Seconds[index] ?? 0) / RATE_SECONDS,
            endsPerSecond: (endsPer10Seconds[index] ?? 0) / RATE_SECONDS,
            usualSlots: (usualSlotHundredths[index] ?? 0) / HUNDREDTHS,
        });
    }
    return { shortNodes: message.shortNodes, workspaces };
}

/** Sum of the loads of several nodes, by service. */
export class WorkspaceLoadSums {
    private readonly services = new Map<number, { shortNodes: number; readonly workspaces: Map<number, WorkspaceLoad> }>();

    /** Adds the loads of a report. */
    add(messages: readonly WorkspaceLoads[]): void {
        for (const message of messages) {
            const { shortNodes, workspaces } = fromWorkspaceLoads(message);
            const sum = this.services.get(message.serviceKey) ?? { shortNodes: 0, workspaces: new Map<number, WorkspaceLoad>() };
            this.services.set(message.serviceKey, sum);
            sum.shortNodes += shortNodes;
            for (const [key, load] of workspaces) {
                sum.workspaces.set(key, addLoad(sum.workspaces.get(key) ?? NO_LOAD, load));
            }
        }
    }

    /** Subtracts the part of one node; a workspace that the sum has left out stays out. */
    subtract(messages: readonly WorkspaceLoads[]): void {
        for (const message of messages) {
            const sum = this.services.get(message.serviceKey);
            const part = fromWorkspaceLoads(message);
            if (sum !== undefined) {
                sum.shortNodes = Math.max(0, sum.shortNodes - part.shortNodes);
            }
            for (const [key, load] of part.workspaces) {
                const known = sum?.workspaces.get(key);
                if (known !== undefined) {
                    sum?.workspaces.set(key, addLoad(known, load, -1));
                }
            }
        }
    }

    /** Returns the sum of a service. */
    of(serviceKey: number): ServiceLoads {
        return this.services.get(serviceKey) ?? { shortNodes: 0, workspaces: new Map() };
    }

    /** Returns the messages of the sums, with the largest workspaces of each service. */
    messages(): readonly WorkspaceLoads[] {
        return [...this.services].map(([serviceKey, { shortNodes, workspaces }]) =>
            toWorkspaceLoads(serviceKey, {
                shortNodes,
                workspaces: new Map(largestLoads(workspaces, MAX_SUMMED_WORKSPACES)),
            })
        );
    }
}
