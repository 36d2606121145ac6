/**
 * Decision about a service's move to another version of its backend servers.
 *
 * A version may turn bad at any time, so it gets a small share of the calls until right before the deadline. The move of all
 * calls is made so late that even a bad version stays within the calls that it may get at most.
 *
 * @module
 */

import { VersionOrderState } from "../../state/relay/mod.js";
import type { RolloutTallies } from "./version_call_counter.js";

/** Part of the largest allowed share that a version on trial gets; leaves calls for the move itself. */
const CANARY_FRACTION = 0.4;

/** Part of the calls allowed at most that is planned with; the rest covers calls that are counted late. */
const CALL_BUDGET_FRACTION = 0.85;

/** Calls of a version before it is judged. */
const MIN_CALLS = 10;

/** Bad calls of a version before it is judged. */
const MIN_BAD_CALLS = 4;

/** Share of bad calls by which a bad version exceeds the one before. */
const MAX_BAD_SHARE_EXCESS = 0.12;

/** Time before the deadline at which the move is declared done, in milliseconds; time to write it and to try again. */
const COMPLETION_LEAD_MS = 1_100;

/** Bounds of a move. */
export interface RolloutBounds {
    /** Largest share of the calls that an unproved version may get, from 0 to 1. */
    readonly maxShare: number;
    /** Calls that it may get whatever the share. */
    readonly slackCalls: number;
}

/** Time of a move. */
export interface RolloutTiming {
    /** Time since the order, in milliseconds. */
    readonly elapsedMs: number;
    /** Time from the order to its deadline, in milliseconds. */
    readonly durationMs: number;
}

/** What is to be done now. */
export interface RolloutDecision {
    /** Share of calls for the new version, from 0 to 1. */
    readonly share: number;
    readonly state: VersionOrderState;
}

/**
 * Decides what a version gets next.
 *
 * @param evidence Calls at both versions over all nodes.
 * @param time Time of the move.
 * @param bounds Bounds of the move.
 */
export function decideRollout(evidence: RolloutTallies, time: RolloutTiming, bounds: RolloutBounds): RolloutDecision {
    if (isTargetBad(evidence)) {
        return { share: 0, state: VersionOrderState.RolledBack };
    }
    const leftMs = time.durationMs - time.elapsedMs;
    if (leftMs <= COMPLETION_LEAD_MS) {
        return { share: 1, state: VersionOrderState.Completed };
    }
    const callsSoFar = evidence.target.calls + evidence.present.calls;
    const callsPerMs = callsSoFar / Math.max(1, time.elapsedMs);
    const allowedCalls = (bounds.maxShare * callsPerMs * time.durationMs + bounds.slackCalls) * CALL_BUDGET_FRACTION;
    const isMoveAffordable = evidence.target.calls + callsPerMs * leftMs <= allowedCalls;
    const share = isMoveAffordable && evidence.target.calls >= MIN_CALLS ? 1 : bounds.maxShare * CANARY_FRACTION;
    return { share, state: VersionOrderState.Running };
}

function isTargetBad({ target, present }: RolloutTallies): boolean {
    if (target.calls < MIN_CALLS || target.bad < MIN_BAD_CALLS) {
        return false;
    }
    const presentShare = present.calls === 0 ? 0 : present.bad / present.calls;
    return target.bad / target.calls - presentShare > MAX_BAD_SHARE_EXCESS;
}
