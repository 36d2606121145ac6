/**
 * Evidence of all nodes about the versions of one rollout.
 *
 * @module
 */

import { type PeerReport, ReportScope, RolloutVerdict, type VersionCount, type VersionSlice } from "../../protocol/relay/mod.js";
import type { Clock } from "../../state/relay/mod.js";
import { bucketOf, EvidenceMonitor, type EvidenceMonitorSettings, Metric } from "../evidence/mod.js";

/** Length of a slice, in milliseconds; defined by the reports. */
const SLICE_MS = 1_000;

/** Number of slices for which reports contain the outcomes; several lost datagrams do not reach it. */
const REPORTED_SLICES = 4;

/**
 * Time for which broken connections to one server count as one failed call, in milliseconds. The end of one server breaks many calls at
 * all nodes and says no more about its version than one of them.
 */
const OUTAGE_MS = 5_000;

/** Settings for rollouts that last seconds, with a look at each decision. */
const SHORT_ROLLOUT_SETTINGS: EvidenceMonitorSettings = {
    sliceMs: SLICE_MS,
    blockMs: SLICE_MS,
    closeAgeMs: 6_000,
    minDurationMs: 15_000,
    looksPerBlock: 4,
    falseAlarmProbability: 0.02,
    expectedViews: 1,
};

/** Calls of one version in a slice. */
interface OwnSlice {
    completed: number;
    failed: number;
    readonly firstEvent: Map<number, number>;
    readonly interval: Map<number, number>;
    readonly brokenServers: Set<number>;
}

/** This node's calls of one version. */
class OwnArm {
    sentCalls = 0;
    private readonly slices = new Map<number, OwnSlice>();

    constructor(readonly isTarget: boolean, private readonly clock: Clock) {}

    /** Slice of the current time. */
    get current(): OwnSlice {
        const index = Math.floor(this.clock.now() / SLICE_MS);
        let slice = this.slices.get(index);
        if (slice === undefined) {
            slice = { completed: 0, failed: 0, firstEvent: new Map(), interval: new Map(), brokenServers: new Set() };
            this.slices.set(index, slice);
        }
        return slice;
    }

    /** Returns the slices that peers may not have yet, and drops older ones. */
    recentSlices(): readonly VersionSlice[] {
        const oldest = Math.floor(this.clock.now() / SLICE_MS) - REPORTED_SLICES;
        const recent: VersionSlice[] = [];
        for (const [index, slice] of this.slices) {
            if (index < oldest) {
                this.slices.delete(index);
                continue;
            }
            recent.push({
                index,
                completed: slice.completed,
                failed: slice.failed,
                firstEvent: [...slice.firstEvent].flat(),
                interval: [...slice.interval].flat(),
                brokenServers: [...slice.brokenServers],
            });
        }
        return recent;
    }
}

/** What the evidence says about the new version. */
export interface RolloutFinding {
    /** Calls sent to the new version, and to all versions. */
    readonly targetCalls: number;
    readonly allCalls: number;
    /** Ended calls of the new version, and how many of them failed. */
    readonly endedCalls: number;
    readonly failedCalls: number;
    /** Calls of the new version that have ended since the last one that failed. */
    readonly callsSinceFailure: number;
    /** Ended calls of the other versions, and how many of them failed. */
    readonly otherEndedCalls: number;
    readonly otherFailedCalls: number;
    /** Highest statistic of the sequential test as a share of its alarm threshold. */
    readonly alarmRatio: number;
    /** Metric of that statistic. */
    readonly metric: Metric;
}

/** Collects this node's calls during a rollout, merges those of the peers and runs the sequential test on them. */
export class RolloutEvidence {
    private readonly target: OwnArm;
    private readonly present: OwnArm;
    private readonly monitor: EvidenceMonitor;
    /** Calls that each node has sent, by version. Counts of nodes that are gone are kept. */
    private readonly sentCalls = new Map<string, { readonly isTarget: boolean; readonly calls: number }>();
    /** Slice of the last outage of a server that was counted, by server key. */
    private readonly outages = new Map<number, number>();
    /** Failed calls of the new version at the last evaluation, and its ended calls when their number last changed. */
    private knownFailures = 0;
    private endedAtLastFailure = 0;

    /**
     * @param durationMs Time from the order to its deadline, in milliseconds.
     * @param clock Clock that assigns calls to slices.
     */
    constructor(durationMs: number, private readonly clock: Clock) {
        this.target = new OwnArm(true, clock);
        this.present = new OwnArm(false, clock);
        this.monitor = new EvidenceMonitor(durationMs, undefined, SHORT_ROLLOUT_SETTINGS);
    }

    /** Counts a call that was sent. */
    recordSent(isTarget: boolean): void {
        this.arm(isTarget).sentCalls += 1;
    }

    /** Counts a call that the server answered, completely or with an error. */
    recordAnswered(isTarget: boolean, isFailed: boolean): void {
        const { current } = this.arm(isTarget);
        current.completed += isFailed ? 0 : 1;
        current.failed += isFailed ? 1 : 0;
    }

    /** Counts a call whose connection the server refused or closed. */
    recordBroken(isTarget: boolean, serverKey: number): void {
        this.arm(isTarget).current.brokenServers.add(serverKey);
    }

    /** Counts a time to the first event, in milliseconds. */
    recordFirstEvent(isTarget: boolean, latencyMs: number): void {
        addToHistogram(this.arm(isTarget).current.firstEvent, latencyMs);
    }

    /** Counts a time between events, in milliseconds. */
    recordInterval(isTarget: boolean, intervalMs: number): void {
        addToHistogram(this.arm(isTarget).current.interval, intervalMs);
    }

    /** Returns this node's calls, to be reported to its peers. */
    counts(serviceKey: number, order: number): readonly VersionCount[] {
        return [this.target, this.present].map(arm => ({
            serviceKey,
            order,
            isTarget: arm.isTarget,
            calls: arm.sentCalls,
            slices: arm.recentSlices(),
            verdict: RolloutVerdict.UNDECIDED,
        }));
    }

    /** Merges the calls that a peer reported for this rollout; order and repetition do not matter. */
    merge(report: PeerReport, count: VersionCount): void {
        this.mergeCount(originOf(report), count);
    }

    /** Runs the test on all calls known so far. */
    evaluate(): RolloutFinding {
        for (const count of this.counts(0, 0)) {
            this.mergeCount("own", count);
        }
        let targetCalls = 0;
        let allCalls = 0;
        for (const { isTarget, calls } of this.sentCalls.values()) {
            targetCalls += isTarget ? calls : 0;
            allCalls += calls;
        }
        const [finding] = this.monitor.evaluate(this.clock.now()).values();
        const { attempts = 0, total = 0, failed = 0, totalFailed = 0 } = finding ?? {};
        if (failed !== this.knownFailures) {
            this.knownFailures = failed;
            this.endedAtLastFailure = attempts;
        }
        return {
            targetCalls,
            allCalls,
            endedCalls: attempts,
            failedCalls: failed,
            callsSinceFailure: attempts - this.endedAtLastFailure,
            otherEndedCalls: total - attempts,
            otherFailedCalls: totalFailed - failed,
            alarmRatio: finding?.alarmRatio ?? 0,
            metric: finding?.metric ?? Metric.Failures,
        };
    }

    private mergeCount(origin: string, { isTarget, calls, slices }: VersionCount): void {
        const key = `${origin} ${isTarget}`;
        this.sentCalls.set(key, { isTarget, calls: Math.max(calls, this.sentCalls.get(key)?.calls ?? 0) });
        for (const slice of slices) {
            this.putCell(key, slice.index, isTarget, slice);
            for (const serverKey of slice.brokenServers) {
                this.mergeOutage(serverKey, slice.index, isTarget);
            }
        }
    }

    private mergeOutage(serverKey: number, index: number, isTarget: boolean): void {
        const known = this.outages.get(serverKey);
        if (known === undefined || Math.abs(index - known) * SLICE_MS >= OUTAGE_MS) {
            this.outages.set(serverKey, index);
            this.putCell(`outage ${serverKey}`, index, isTarget, { completed: 0, failed: 1, firstEvent: [], interval: [] });
        }
    }

    private putCell(
        origin: string,
        index: number,
        candidate: boolean,
        { completed, failed, firstEvent, interval }: Omit<VersionSlice, "index" | "brokenServers">,
    ): void {
        const cell = { operation: "", engineClass: "", loadBand: 0, candidate, completed, failed };
        this.monitor.put(origin, [{ index, cells: [{ ...cell, firstToken: firstEvent, gap: interval }] }]);
    }

    private arm(isTarget: boolean): OwnArm {
        return isTarget ? this.target : this.present;
    }
}

/** @returns Name under which a report's calls are merged: of the node's incarnation, or of the nodes that the report sums. */
function originOf({ node, startedAtMs, scope, failureDomain }: PeerReport): string {
    switch (scope) {
        case ReportScope.FLEET:
            return "fleet";
        case ReportScope.DOMAIN:
            return `domain ${failureDomain}`;
        default:
            return `${node}@${startedAtMs}`;
    }
}

function addToHistogram(histogram: Map<number, number>, latencyMs: number): void {
    const bucket = bucketOf(latencyMs);
    histogram.set(bucket, (histogram.get(bucket) ?? 0) + 1);
}
