/**
 * Token quotas of workspaces, enforced across all nodes without a coordinator.
 *
 * If a workspace sends many times its usual load, the excess is refused at once and takes no capacity from others.
 *
 * @module
 */

import { hashKey } from "../../protocol/relay/mod.js";
import type { Clock, RelayWorkspace } from "../../state/relay/mod.js";
import { SharedTokenBucket } from "../allotment/mod.js";

/** Milliseconds in a second. */
const MS_PER_SECOND = 1_000;

/** Fraction of the burst that a node allows after a restart, since its peers may have used the rest. */
const RESTART_BURST_FRACTION = 0.3;

/** Settings of {@linkcode WorkspaceQuota}. */
export interface WorkspaceQuotaSettings {
    readonly clock: Clock;
    /** Whether the whole system starts for the first time, so that no burst has been used yet. */
    readonly isFirstStart: boolean;
    /** Returns the share of all nodes that are unreachable but may still serve callers, from 0 to 1. */
    readonly unreachableShare: () => number;
}

/** Token buckets of the workspaces. */
export class WorkspaceQuota {
    private readonly buckets = new Map<string, SharedTokenBucket>();

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
        const { available } = bucket;
        if (available <= 0) {
            return (tokens - available) / workspace.tokensPerSecond * MS_PER_SECOND;
        }
        bucket.use(tokens);
        return 0;
    }

    /** Refunds the tokens of a call that has not run. */
    refund(workspace: RelayWorkspace, tokens: number): void {
        if (workspace.tokensPerSecond !== undefined) {
            this.buckets.get(workspace.name)?.use(-tokens);
        }
    }

    /** Returns the tokens that this node has admitted since its start, by the workspace's key in reports. */
    *ownTotals(): Iterable<readonly [number, number]> {
        for (const [name, bucket] of this.buckets) {
            yield [hashKey(name), bucket.ownTotal];
        }
    }

    /** Records a peer's total for a workspace; `incarnation` identifies the peer and its start. */
    recordPeerTotal(workspace: RelayWorkspace, incarnation: string, totalTokens: number): void {
        if (workspace.tokensPerSecond !== undefined) {
            this.refill(workspace).recordPeerTotal(incarnation, totalTokens);
        }
    }

    /** Removes a peer that is gone. */
    removePeer(incarnation: string): void {
        for (const bucket of this.buckets.values()) {
            bucket.removePeer(incarnation);
        }
    }

    /** Returns a workspace's bucket, refilled up to now. */
    private refill({ name, burstTokens, tokensPerSecond = 0 }: RelayWorkspace): SharedTokenBucket {
        let bucket = this.buckets.get(name);
        if (bucket === undefined) {
            bucket = new SharedTokenBucket(
                this.settings.clock,
                burstTokens * (this.settings.isFirstStart ? 1 : RESTART_BURST_FRACTION),
            );
            this.buckets.set(name, bucket);
        }
        bucket.refill({ tokensPerSecond, burst: burstTokens }, 1 - this.settings.unreachableShare());
        return bucket;
    }
}
