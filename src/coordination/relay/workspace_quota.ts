/**
 * Token quotas of workspaces, enforced across all nodes without a coordinator.
 *
 * If a workspace sends many times its usual load, the excess is refused at once and takes no capacity from others.
 *
 * @module
 */

import type { Clock, RelayWorkspace } from "../../state/relay/mod.js";

/** Milliseconds in a second. */
const MS_PER_SECOND = 1_000;

/** Time window over which a peer's usage rate is estimated, in milliseconds; about three reports. */
const RATE_WINDOW_MS = 600;

/** Longest time for which a peer's last rate is extrapolated, in milliseconds; a peer silent for longer is partitioned or gone. */
const MAX_EXTRAPOLATION_MS = 1_000;

/** Fraction of the burst that a node allows after a restart, since its peers may have used the rest. */
const RESTART_BURST_FRACTION = 0.3;

/** Reported usage of a workspace's quota by one peer. */
interface PeerUsage {
    totalTokens: number;
    tokensPerMs: number;
    reportedAtMs: number;
}

/** Token bucket of one workspace as this node sees it. */
interface Bucket {
    workspace: RelayWorkspace;
    levelTokens: number;
    filledAtMs: number;
    ownTotalTokens: number;
    readonly peers: Map<string, PeerUsage>;
}

/** Settings of {@linkcode WorkspaceQuota}. */
export interface WorkspaceQuotaSettings {
    readonly clock: Clock;
    /** Whether the whole system starts for the first time, so that no burst has been used yet. */
    readonly isFirstStart: boolean;
    /** Returns the share of all nodes that are unreachable but may still serve callers, from 0 to 1. */
    readonly unreachableShare: () => number;
}

/**
 * Token buckets that count the usage of all nodes for each workspace. Reports of peers are a fraction of a second old: usage since
 * the last report is extrapolated, and usage that the extrapolation missed is charged once it is reported, so a level can be
 * negative. The share of unreachable nodes is reserved for them.
 */
export class WorkspaceQuota {
    private readonly buckets = new Map<string, Bucket>();

    /** @param settings See {@linkcode WorkspaceQuotaSettings}. */
    constructor(private readonly settings: WorkspaceQuotaSettings) {}

    /**
     * Charges a call's tokens to its workspace's quota.
     *
     * @returns 0 if the call is within the quota, otherwise the time after which to retry, in milliseconds.
     */
    consume(workspace: RelayWorkspace, tokens: number): number {
        if (workspace.tokensPerSecond === undefined) {
            return 0;
        }
        const bucket = this.refill(workspace);
        const unreported = this.extrapolatePeerTokens(bucket);
        if (bucket.levelTokens - unreported <= 0) {
            const missing = unreported - bucket.levelTokens + tokens;
            return missing / workspace.tokensPerSecond * MS_PER_SECOND;
        }
        bucket.levelTokens -= tokens;
        bucket.ownTotalTokens += tokens;
        return 0;
    }

    /** Refunds the tokens of a call that has not run. */
    refund(workspace: RelayWorkspace, tokens: number): void {
        const bucket = this.buckets.get(workspace.name);
        if (workspace.tokensPerSecond !== undefined && bucket !== undefined) {
            bucket.levelTokens += tokens;
            bucket.ownTotalTokens -= tokens;
        }
    }

    /** Returns the tokens that this node has admitted since its start, by workspace. */
    *ownTotals(): Iterable<readonly [string, number]> {
        for (const [name, bucket] of this.buckets) {
            yield [name, bucket.ownTotalTokens];
        }
    }

    /** Records a peer's total for a workspace; `incarnation` identifies the peer and its start. */
    recordPeerTotal(workspace: RelayWorkspace, incarnation: string, totalTokens: number): void {
        if (workspace.tokensPerSecond === undefined) {
            return;
        }
        const bucket = this.refill(workspace);
        const now = this.settings.clock.now();
        const usage = bucket.peers.get(incarnation);
        if (usage === undefined) {
            bucket.peers.set(incarnation, { totalTokens, tokensPerMs: 0, reportedAtMs: now });
            return;
        }
        const used = totalTokens - usage.totalTokens;
        bucket.levelTokens -= used;
        const elapsedMs = Math.max(1, now - usage.reportedAtMs);
        const weight = Math.min(1, elapsedMs / RATE_WINDOW_MS);
        usage.tokensPerMs += (Math.max(0, used) / elapsedMs - usage.tokensPerMs) * weight;
        usage.totalTokens = totalTokens;
        usage.reportedAtMs = now;
    }

    /** Removes a peer that is gone. */
    removePeer(incarnation: string): void {
        for (const bucket of this.buckets.values()) {
            bucket.peers.delete(incarnation);
        }
    }

    /** Returns a workspace's bucket, refilled up to now. */
    private refill(workspace: RelayWorkspace): Bucket {
        const now = this.settings.clock.now();
        let bucket = this.buckets.get(workspace.name);
        if (bucket === undefined) {
            const levelTokens = workspace.burstTokens * (this.settings.isFirstStart ? 1 : RESTART_BURST_FRACTION);
            bucket = { workspace, levelTokens, filledAtMs: now, ownTotalTokens: 0, peers: new Map() };
            this.buckets.set(workspace.name, bucket);
        }
        const reachableShare = 1 - this.settings.unreachableShare();
        const refilledTokens = (now - bucket.filledAtMs) / MS_PER_SECOND * (workspace.tokensPerSecond ?? 0) * reachableShare;
        bucket.workspace = workspace;
        bucket.levelTokens = Math.min(workspace.burstTokens * reachableShare, bucket.levelTokens + refilledTokens);
        bucket.filledAtMs = now;
        return bucket;
    }

    /** Returns the tokens that peers are estimated to have used since their last reports. */
    private extrapolatePeerTokens(bucket: Bucket): number {
        const now = this.settings.clock.now();
        let tokens = 0;
        for (const usage of bucket.peers.values()) {
            const ageMs = now - usage.reportedAtMs;
            if (ageMs <= MAX_EXTRAPOLATION_MS) {
                tokens += usage.tokensPerMs * ageMs;
            }
        }
        return tokens;
    }
}
