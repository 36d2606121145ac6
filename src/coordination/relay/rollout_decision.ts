/**
 * Decision about the rollout of another version of a service's backend servers.
 *
 * A version may start to fail at any time, so it gets a small share of the calls until shortly before the deadline. All calls are
 * shifted to it so late that even a bad version stays within the number of calls that it may get.
 *
 * @module
 */

import { VersionOrderState } from "../../state/relay/mod.js";
import type { RolloutTallies } from "./version_call_counter.js";

/** Fraction of the maximum share that the new version gets as a canary; the rest of its calls is left for the final shift. */
const CANARY_FRACTION = 0.4;

/** Fraction of the allowed calls that is planned for; the rest covers calls that are counted late. */
const CALL_BUDGET_FRACTION = 0.85;

/** Minimum calls of the new version before it can be judged bad or get all calls. */
const MIN_CALLS = 10;

/** Minimum bad calls of the new version before it can be judged bad. */
const MIN_BAD_CALLS = 4;

/** Excess of the new version's share of bad calls over that of the others above which it is rolled back, from 0 to 1. */
const MAX_BAD_SHARE_EXCESS = 0.12;

/** Time before the deadline at which the rollout is completed, in milliseconds; leaves time to write the state and to retry. */
const COMPLETION_LEAD_MS = 1_100;

/** Limits on the calls that the new version may get. */
export interface RolloutBounds {
    /** Maximum share of the calls that the new version may get before the rollout is completed, from 0 to 1. */
    readonly maxShare: number;
    /** Number of calls allowed in addition to the share. */
    readonly slackCalls: number;
}

/** Timing of a rollout. */
export interface RolloutTiming {
    /** Time since the order, in milliseconds. */
    readonly elapsedMs: number;
    /** Time from the order to its deadline, in milliseconds. */
    readonly durationMs: number;
}

/** Share and state that a rollout gets now. */
export interface RolloutDecision {
    /** Share of the calls that go to the new version, from 0 to 1. */
    readonly share: number;
    readonly state: VersionOrderState;
}

/**
 * Decides the next share and state of a rollout.
 *
 * @param tallies Calls of the new and the other versions over all nodes.
 * @param timing Timing of the rollout.
 * @param bounds Limits on the calls of the new version.
 */
export function decideRollout(tallies: RolloutTallies, timing: RolloutTiming, bounds: RolloutBounds): RolloutDecision {
    if (isTargetBad(tallies)) {
        return { share: 0, state: VersionOrderState.RolledBack };
    }
    const remainingMs = timing.durationMs - timing.elapsedMs;
    if (remainingMs <= COMPLETION_LEAD_MS) {
        return { share: 1, state: VersionOrderState.Completed };
    }
    const totalCalls = tallies.target.calls + tallies.present.calls;
    const callsPerMs = totalCalls / Math.max(1, timing.elapsedMs);
    const allowedCalls = (bounds.maxShare * callsPerMs * timing.durationMs + bounds.slackCalls) * CALL_BUDGET_FRACTION;
    const isFullShiftAllowed = tallies.target.calls + callsPerMs * remainingMs <= allowedCalls;
    const share = isFullShiftAllowed && tallies.target.calls >= MIN_CALLS ? 1 : bounds.maxShare * CANARY_FRACTION;
    return { share, state: VersionOrderState.Running };
}

/** @returns Whether the new version has a significantly larger share of bad calls than the others. */
function isTargetBad({ target, present }: RolloutTallies): boolean {
    if (target.calls < MIN_CALLS || target.bad < MIN_BAD_CALLS) {
        return false;
    }
    const presentShare = present.calls === 0 ? 0 : present.bad / present.calls;
    return target.bad / target.calls - presentShare > MAX_BAD_SHARE_EXCESS;
}
