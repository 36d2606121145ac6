/**
 * State of the rollout of one service.
 *
 * @module
 */

import { type LogPosition, RolloutVerdict } from "../../protocol/relay/mod.js";
import { type VersionOrder, VersionOrderState } from "../../state/relay/mod.js";
import type { RolloutEvidence } from "./rollout_evidence.js";

/** Rollout of one service. */
export interface VersionRollout {
    readonly order: VersionOrder;
    readonly serviceKey: number;
    readonly evidence: RolloutEvidence;
    /** Place of the order in the log. */
    position: LogPosition;
    startedAtMs: number;
    /** Whether the log holds the start time. */
    isStartKnown: boolean;
    /** Share of the calls that go to the new version, from 0 to 1. */
    share: number;
    state: VersionOrderState;
    /** Time at which a final state was decided or read, in milliseconds since the Unix epoch. */
    finalAtMs: number | undefined;
    /** State recorded in the log. */
    storedState: VersionOrderState | undefined;
    /** Whether the states in the log have been read since the order was first seen. */
    isStateKnown: boolean;
    /** Whether the last access to the log for this rollout succeeded. */
    isLogAnswering: boolean;
    /** Highest step of the alarm ratio that was logged. */
    loggedStep: number;
    /** Whether the log has been restored from an older copy since the order was first seen. */
    isRestored: boolean;
}

/** @returns Whether the log holds a final state. */
export function hasStoredFinalState(rollout: VersionRollout): boolean {
    return rollout.storedState !== undefined && isFinal(rollout.storedState);
}

/** @returns Final state to report to the peers: a completion only once the log holds it, a rollback at once. */
export function verdictOf({ state, storedState }: VersionRollout): RolloutVerdict {
    if (state === VersionOrderState.RolledBack) {
        return RolloutVerdict.ROLLED_BACK;
    }
    return storedState === VersionOrderState.Completed ? RolloutVerdict.COMPLETED : RolloutVerdict.UNDECIDED;
}

/** @returns Final state that a peer reports, or `undefined` while the rollout is running there. */
export function stateOf(verdict: RolloutVerdict): VersionOrderState | undefined {
    switch (verdict) {
        case RolloutVerdict.COMPLETED:
            return VersionOrderState.Completed;
        case RolloutVerdict.ROLLED_BACK:
            return VersionOrderState.RolledBack;
        default:
            return undefined;
    }
}

/** @returns Whether a state is never left. */
export function isFinal(state: VersionOrderState): boolean {
    return state !== VersionOrderState.Running;
}
