/**
 * Decision about the rollout of another version of a service's backend servers.
 *
 * A version may start to fail at any time, so it gets a small share of the calls until shortly before the deadline, and then as
 * many calls as a bad version may still get. It is completed only on evidence: without it, or while the test suspects a fault, the
 * rollout continues for some seconds past its deadline.
 *
 * @module
 */

import { VersionOrderState } from "../../state/relay/mod.js";
import { Metric } from "../evidence/mod.js";
import type { RolloutFinding } from "./rollout_evidence.js";

/** Fraction of the maximum share that the new version gets as a canary; the rest of its calls is left for the end. */
const CANARY_FRACTION = 0.4;

/** Fraction of the allowed calls that is planned for; the rest covers calls that are counted late. */
const CALL_BUDGET_FRACTION = 0.85;

/** Maximum share before the completion: with equal loads, the latencies of both versions are comparable. */
const MAX_VERIFICATION_SHARE = 0.5;

/** Step of the share before the completion. */
const SHARE_STEP = 0.05;

/** Time before the deadline from which the share is raised, in milliseconds. */
const VERIFICATION_LEAD_MS = 3_200;

/** Time before the deadline at which the rollout is completed, in milliseconds; leaves time to write the state. */
const COMPLETION_LEAD_MS = 700;

/** Ended calls of the new version without which it is not completed, if waiting provides them. */
const MIN_ENDED_CALLS = 12;

/** Share of the alarm threshold from which a fault is suspected; the version is then not completed. */
const SUSPICION_RATIO = 0.4;

/** Excess of the new version's share of failed calls from which a fault is suspected, from 0 to 1. */
const SUSPICIOUS_FAILURE_EXCESS = 0.08;

/** The same, in standard errors: 5 in 100 versions as good as the others exceed it. */
const SUSPICIOUS_STANDARD_ERRORS = 1.64;

/**
 * Calls without a failure after which earlier failures are no reason for suspicion: a version that fails one in ten is caught before with a
 * probability of 0.96. The test does not decrease its statistic when no call of any version fails.
 */
const MIN_CLEAN_CALLS = 30;

/** Time past the deadline for which a rollout without a clear result continues, in milliseconds. */
const EXTENSION_MS = 4_000;

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
 * @param finding Evidence of all nodes.
 * @param timing Timing of the rollout.
 * @param bounds Limits on the calls of the new version.
 */
export function decideRollout(finding: RolloutFinding, timing: RolloutTiming, bounds: RolloutBounds): RolloutDecision {
    if (finding.alarmRatio >= 1) {
        return { share: 0, state: VersionOrderState.RolledBack };
    }
    const remainingMs = timing.durationMs - timing.elapsedMs;
    if (remainingMs <= COMPLETION_LEAD_MS) {
        return decideAtDeadline(finding, timing);
    }
    const canaryShare = bounds.maxShare * CANARY_FRACTION;
    const share = remainingMs <= VERIFICATION_LEAD_MS ?
        Math.max(canaryShare, verificationShare(finding, timing, bounds)) :
        canaryShare;
    return { share, state: VersionOrderState.Running };
}

function decideAtDeadline(finding: RolloutFinding, { elapsedMs, durationMs }: RolloutTiming): RolloutDecision {
    const extensionLeftMs = durationMs + EXTENSION_MS - elapsedMs;
    const expectedCalls = finding.allCalls / Math.max(1, elapsedMs) * EXTENSION_MS * MAX_VERIFICATION_SHARE;
    const isUnknown = finding.endedCalls < MIN_ENDED_CALLS && finding.endedCalls + expectedCalls >= MIN_ENDED_CALLS;
    if (extensionLeftMs > 0 && (isUnknown || isSuspicious(finding))) {
        return { share: MAX_VERIFICATION_SHARE, state: VersionOrderState.Running };
    }
    if (isSuspicious(finding)) {
        return { share: 0, state: VersionOrderState.RolledBack };
    }
    return { share: 1, state: VersionOrderState.Completed };
}

function isSuspicious(finding: RolloutFinding): boolean {
    const { endedCalls, failedCalls, otherEndedCalls, otherFailedCalls, callsSinceFailure, alarmRatio, metric } = finding;
    if (metric === Metric.Failures && callsSinceFailure >= MIN_CLEAN_CALLS) {
        return false;
    }
    if (alarmRatio >= SUSPICION_RATIO) {
        return true;
    }
    if (endedCalls === 0 || otherEndedCalls === 0) {
        return false;
    }
    const pooledShare = (failedCalls + otherFailedCalls) / (endedCalls + otherEndedCalls);
    const standardError = Math.sqrt(pooledShare * (1 - pooledShare) * (1 / endedCalls + 1 / otherEndedCalls));
    const excess = failedCalls / endedCalls - otherFailedCalls / otherEndedCalls;
    return excess > Math.max(SUSPICIOUS_FAILURE_EXCESS, SUSPICIOUS_STANDARD_ERRORS * standardError);
}

/** @returns Share until the completion that, with all calls after it, leaves the new version within its calls. */
function verificationShare(
    { targetCalls, allCalls }: RolloutFinding,
    { elapsedMs, durationMs }: RolloutTiming,
    bounds: RolloutBounds,
): number {
    const callsPerMs = allCalls / Math.max(1, elapsedMs);
    const allowedCalls = (bounds.maxShare * callsPerMs * durationMs + bounds.slackCalls) * CALL_BUDGET_FRACTION;
    const verificationCalls = allowedCalls - targetCalls - callsPerMs * COMPLETION_LEAD_MS;
    const remainingMs = durationMs - elapsedMs - COMPLETION_LEAD_MS;
    const share = Math.max(0, verificationCalls) / (callsPerMs * remainingMs || 1);
    return Math.min(MAX_VERIFICATION_SHARE, Math.floor(share / SHARE_STEP) * SHARE_STEP);
}
