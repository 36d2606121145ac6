/**
 * Quotas of workspaces in tokens, kept over all nodes without a coordinator.
 *
 * Answers the load of one workspace that sends many times its usual: its excess is refused at once and takes nothing from others.
 *
 * @module
 */

import type { Clock, RelayWorkspace } from "../../state/relay/mod.js";

/** Milliseconds in a second. */
const MS_PER_SECOND = 1_000;

/** Time over which the rate of peers is estimated between their reports, in milliseconds; about three reports. */
const RATE_WINDOW_MS = 600;

/** Longest time for which a peer's last rate is extrapolated, in milliseconds; a peer that is silent for longer is cut off or gone. */
const MAX_EXTRAPOLATION_MS = 1_000;

/** Part of a burst that a node allows when it starts among others that may have used it up. */
const RESTART_BURST_FRACTION = 0.3;

/** What a node knows of a peer's use of a workspace's quota. */
interface PeerUsage {
    totalTokens: number;
    tokensPerMs: number;
    reportedAtMs: number;
}

/** Tokens left to a workspace as this node sees it. */
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
    /** Nodes that cannot be heard but may serve callers, and nodes in all. */
    readonly unreachableShare: () => number;
}

/**
 * Token bucket for each workspace that counts the use of all nodes. Reports of peers are a fraction of a second old; their use
 * since then is extrapolated, and what was missed is owed by the bucket. The share of nodes that are not heard is left to them.
 */
export class WorkspaceQuota {
    private readonly buckets = new Map<string, Bucket>();

    /** @param settings See {@linkcode WorkspaceQuotaSettings}. */
    constructor(private readonly settings: WorkspaceQuotaSettings) {}

    /**
     * Takes a call's tokens from its workspace's quota.
     *
     * @returns 0 when the call is within the quota, otherwise the time until it may be, in milliseconds.
     */
    consume(workspace: RelayWorkspace, tokens: number): number {
        if (workspace.tokensPerSecond === undefined) {
            return 0;
        }
        const bucket = this.refill(workspace);
        const unseen = this.extrapolatePeerTokens(bucket);
        if (bucket.levelTokens - unseen <= 0) {
            const missing = unseen - bucket.levelTokens + tokens;
            return missing / workspace.tokensPerSecond * MS_PER_SECOND;
        }
        bucket.levelTokens -= tokens;
        bucket.ownTotalTokens += tokens;
        return 0;
    }

    /** Gives back the tokens of a call that has not run. */
    refund(workspace: RelayWorkspace, tokens: number): void {
        const bucket = this.buckets.get(workspace.name);
        if (workspace.tokensPerSecond !== undefined && bucket !== undefined) {
            bucket.levelTokens += tokens;
            bucket.ownTotalTokens -= tokens;
        }
    }

    /** Tokens that this node has let through since its start, by workspace. */
    *ownTotals(): Iterable<readonly [string, number]> {
        for (const [name, bucket] of this.buckets) {
            yield [name, bucket.ownTotalTokens];
        }
    }

    /** Takes a peer's totals; `incarnation` names the peer and its start. */
    recordPeerTotal(workspace: RelayWorkspace, incarnation: string, totalTokens: number): void {
        if (workspace.tokensPerSecond === undefined) {
            return;
        }
        const bucket = this.refill(workspace);
        const now = this.settings.clock.now();
        const use = bucket.peers.get(incarnation);
        if (use === undefined) {
            bucket.peers.set(incarnation, { totalTokens, tokensPerMs: 0, reportedAtMs: now });
            return;
        }
        const used = totalTokens - use.totalTokens;
        bucket.levelTokens -= used;
        const elapsedMs = Math.max(1, now - use.reportedAtMs);
        const weight = Math.min(1, elapsedMs / RATE_WINDOW_MS);
        use.tokensPerMs += (Math.max(0, used) / elapsedMs - use.tokensPerMs) * weight;
        use.totalTokens = totalTokens;
        use.reportedAtMs = now;
    }

    /** Forgets a peer that has gone. */
    forgetPeer(incarnation: string): void {
        for (const bucket of this.buckets.values()) {
            bucket.peers.delete(incarnation);
        }
    }

    private refill(workspace: RelayWorkspace): Bucket {
        const now = this.settings.clock.now();
        let bucket = this.buckets.get(workspace.name);
        if (bucket === undefined) {
            const levelTokens = workspace.burstTokens * (this.settings.isFirstStart ? 1 : RESTART_BURST_FRACTION);
            bucket = { workspace, levelTokens, filledAtMs: now, ownTotalTokens: 0, peers: new Map() };
            this.buckets.set(workspace.name, bucket);
        }
        const heardShare = 1 - this.settings.unreachableShare();
        const gained = (now - bucket.filledAtMs) / MS_PER_SECOND * (workspace.tokensPerSecond ?? 0) * heardShare;
        bucket.workspace = workspace;
        bucket.levelTokens = Math.min(workspace.burstTokens * heardShare, bucket.levelTokens + gained);
        bucket.filledAtMs = now;
        return bucket;
    }

    private extrapolatePeerTokens(bucket: Bucket): number {
        const now = this.settings.clock.now();
        let tokens = 0;
        for (const use of bucket.peers.values()) {
            const ageMs = now - use.reportedAtMs;
            if (ageMs <= MAX_EXTRAPOLATION_MS) {
                tokens += use.tokensPerMs * ageMs;
            }
        }
        return tokens;
    }
}
