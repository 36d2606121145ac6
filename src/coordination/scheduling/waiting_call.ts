/**
 * Call that waits for a backend server.
 *
 * @module
 */

import type { AcceptedCall, Refusal } from "../../protocol/mod.js";
import type { PrefixHolder } from "../../state/mod.js";
import type { Assignment, AssignSettings } from "../scheduler.js";
import type { CallCost } from "./cost_model.js";

/** Settings of a {@linkcode WaitingCall}. */
export interface WaitingCallSettings {
    readonly call: AcceptedCall;
    readonly assignSettings: AssignSettings;
    readonly cost: CallCost;
    /** Time at which the call began to wait, in milliseconds since the Unix epoch. */
    readonly arrivedAtMs: number;
    /** Latest time of a dispatch that can keep the promise, in milliseconds since the Unix epoch. */
    readonly latestStartMs: number;
    /** Backend servers that hold the beginning of the prompt. Defaults to none. */
    readonly prefixHolders?: readonly PrefixHolder[];
}

/** Call in a queue, with the promise of its assignment. */
export class WaitingCall {
    readonly call: AcceptedCall;
    readonly assignSettings: AssignSettings;
    readonly cost: CallCost;
    readonly arrivedAtMs: number;
    readonly latestStartMs: number;
    /** Whether the call can no longer be dispatched in time. */
    isLate = false;
    /** Backend servers that held the beginning of the prompt when they were last looked up. */
    prefixHolders: readonly PrefixHolder[];
    /** Time of that look-up, in milliseconds since the Unix epoch. */
    holdersLookedUpAtMs: number;
    /** Whether the call has left the queue. */
    isSettled = false;
    /** Resolves when the call may be dispatched; rejects when it is shed. */
    readonly assigned: Promise<Assignment>;
    private resolveAssigned!: (assignment: Assignment) => void;
    private rejectAssigned!: (refusal: Refusal) => void;

    /** @param settings See {@linkcode WaitingCallSettings}. */
    constructor(settings: WaitingCallSettings) {
        this.call = settings.call;
        this.assignSettings = settings.assignSettings;
        this.cost = settings.cost;
        this.arrivedAtMs = settings.arrivedAtMs;
        this.latestStartMs = settings.latestStartMs;
        this.prefixHolders = settings.prefixHolders ?? [];
        this.holdersLookedUpAtMs = settings.arrivedAtMs;
        this.assigned = new Promise((resolve, reject) => {
            this.resolveAssigned = resolve;
            this.rejectAssigned = reject;
        });
    }

    /** Importance of the call's tier: 0 is the highest. */
    get rank(): number {
        return this.call.tier.rank;
    }

    /** Name of the workspace that the call belongs to. */
    get workspace(): string {
        return this.call.workspace.name;
    }

    /** Bytes that the call holds in memory. */
    get bytes(): number {
        return this.call.incoming.body.length;
    }

    /** Whether the call was accepted before and waits for another attempt. */
    get isRetry(): boolean {
        return this.assignSettings.excluded.size > 0;
    }

    /** Gives the call its backend server. */
    resolve(assignment: Assignment): void {
        this.isSettled = true;
        this.resolveAssigned(assignment);
    }

    /** Sheds the call. */
    reject(refusal: Refusal): void {
        this.isSettled = true;
        this.rejectAssigned(refusal);
    }
}
