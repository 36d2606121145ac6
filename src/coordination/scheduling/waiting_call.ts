/**
 * Call that waits in a queue for a backend server.
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
    /** Time at which the call entered the queue, in milliseconds since the Unix epoch. */
    readonly arrivedAtMs: number;
    /** Latest dispatch time that can meet the latency objectives, in milliseconds since the Unix epoch. */
    readonly latestStartMs: number;
    /** Backend servers that have a prefix of the prompt cached. Defaults to none. */
    readonly prefixHolders?: readonly PrefixHolder[];
}

/** Queued call with the JavaScript promise of its assignment. */
export class WaitingCall {
    readonly call: AcceptedCall;
    readonly assignSettings: AssignSettings;
    readonly cost: CallCost;
    readonly arrivedAtMs: number;
    readonly latestStartMs: number;
    /** Whether the latest start has passed. */
    isLate = false;
    /** Backend servers that had a prefix of the prompt cached at the last lookup. */
    prefixHolders: readonly PrefixHolder[];
    /** Time of that lookup, in milliseconds since the Unix epoch. */
    holdersLookedUpAtMs: number;
    /** Whether the call has left the queue. */
    isSettled = false;
    /** Resolves when the call may be dispatched; rejects when it is shed or withdrawn. */
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

    /** Rank of the call's tier; 0 is the highest priority. */
    get rank(): number {
        return this.call.tier.rank;
    }

    /** Name of the call's workspace. */
    get workspace(): string {
        return this.call.workspace.name;
    }

    /** Size of the call's body, in bytes. */
    get bytes(): number {
        return this.call.incoming.body.length;
    }

    /** Whether an earlier attempt failed and the call waits for another one. */
    get isRetry(): boolean {
        return this.assignSettings.excludedServers.size > 0;
    }

    /** Settles the call with an assignment. */
    resolve(assignment: Assignment): void {
        this.isSettled = true;
        this.resolveAssigned(assignment);
    }

    /** Settles the call with a refusal. */
    reject(refusal: Refusal): void {
        this.isSettled = true;
        this.rejectAssigned(refusal);
    }
}
