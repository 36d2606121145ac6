/**
 * Queue of one pool, ordered by tier, then fairly between workspaces, then by latest start.
 *
 * @module
 */

import { IndexedHeap } from "./_indexed_heap.js";
import type { WaitingCall } from "./waiting_call.js";

/** Maximum number of workspaces whose first calls are considered for one dispatch. */
const MAX_CANDIDATES = 4;

/** Maximum number of workspaces tracked in one tier before those without waiting calls are dropped. */
const MAX_TRACKED_WORKSPACES = 2_000;

/** Waiting calls of one workspace in one tier. */
class WorkspaceQueue {
    readonly calls = new IndexedHeap<WaitingCall>((left, right) => left.latestStartMs - right.latestStartMs);
    tokens = 0;

    constructor(public finishTag: number) {}
}

/**
 * Waiting calls of one tier.
 *
 * Workspaces share the capacity, in tokens, by start-time fair queueing; see Goyal, Vin and Cheng, "Start-Time Fair Queuing"
 * (1996).
 */
export class TierQueue {
    /** Tokens of all waiting calls. */
    tokens = 0;
    private readonly workspaces = new Map<string, WorkspaceQueue>();
    private readonly byFinishTag = new IndexedHeap<WorkspaceQueue>((left, right) => left.finishTag - right.finishTag);
    private readonly late = new Set<WaitingCall>();
    private virtualTime = 0;
    private count = 0;

    /** Number of waiting calls. */
    get size(): number {
        return this.count;
    }

    /** Number of workspaces with calls that are not late. */
    get activeWorkspaces(): number {
        return this.byFinishTag.size;
    }

    /** Returns the tokens of a workspace's waiting calls that are not late. */
    tokensOf(workspace: string): number {
        return this.workspaces.get(workspace)?.tokens ?? 0;
    }

    /** Adds a call. */
    add(waiting: WaitingCall): void {
        this.count += 1;
        this.tokens += waiting.cost.tokens;
        const queue = this.workspaceQueue(waiting);
        if (queue.calls.size === 0) {
            queue.finishTag = Math.max(queue.finishTag, this.virtualTime);
            this.byFinishTag.add(queue);
        }
        queue.calls.add(waiting);
        queue.tokens += waiting.cost.tokens;
    }

    /** Removes a call, late or not. */
    remove(waiting: WaitingCall): void {
        this.count -= 1;
        this.tokens -= waiting.cost.tokens;
        if (!this.late.delete(waiting)) {
            this.removeFromWorkspace(waiting);
        }
    }

    /** Removes a call for dispatch, and charges its workspace. */
    dequeue(waiting: WaitingCall): void {
        const queue = this.workspaces.get(waiting.workspace);
        if (!waiting.isLate && queue !== undefined) {
            this.virtualTime = Math.max(this.virtualTime, queue.finishTag);
            this.byFinishTag.remove(queue);
            queue.finishTag += waiting.cost.tokens;
            this.byFinishTag.add(queue);
        }
        this.remove(waiting);
    }

    /** Marks a call as late, which puts it behind all calls of the tier that are not late. */
    markLate(waiting: WaitingCall): void {
        waiting.isLate = true;
        this.removeFromWorkspace(waiting);
        this.late.add(waiting);
    }

    /** Returns the candidates for the next dispatch in fair order; a late call only when no other call waits. */
    dispatchCandidates(): readonly WaitingCall[] {
        if (this.byFinishTag.size === 0) {
            const [first] = this.late;
            return first === undefined ? [] : [first];
        }
        const heads: WorkspaceQueue[] = [];
        while (heads.length < MAX_CANDIDATES && this.byFinishTag.size > 0) {
            heads.push(this.byFinishTag.pop() as WorkspaceQueue);
        }
        for (const head of heads) {
            this.byFinishTag.add(head);
        }
        return heads.map(head => head.calls.first as WaitingCall);
    }

    /** Returns the call to shed first: a late one, else one of a workspace with a comparatively high finish tag. */
    nextToShed(): WaitingCall | undefined {
        const [late] = this.late;
        return late ?? this.byFinishTag.lastLeaf?.calls.lastLeaf;
    }

    private removeFromWorkspace(waiting: WaitingCall): void {
        const queue = this.workspaces.get(waiting.workspace);
        if (queue === undefined || !queue.calls.remove(waiting)) {
            return;
        }
        queue.tokens -= waiting.cost.tokens;
        if (queue.calls.size === 0) {
            this.byFinishTag.remove(queue);
        }
    }

    private workspaceQueue(waiting: WaitingCall): WorkspaceQueue {
        const existing = this.workspaces.get(waiting.workspace);
        if (existing !== undefined) {
            return existing;
        }
        if (this.workspaces.size >= MAX_TRACKED_WORKSPACES) {
            this.dropIdleWorkspaces();
        }
        const queue = new WorkspaceQueue(this.virtualTime);
        this.workspaces.set(waiting.workspace, queue);
        return queue;
    }

    private dropIdleWorkspaces(): void {
        for (const [name, { calls }] of this.workspaces) {
            if (calls.size === 0) {
                this.workspaces.delete(name);
            }
        }
    }
}

/** Waiting calls of one pool. */
export class CallQueue {
    /** Memory held by waiting calls, in bytes. */
    bytes = 0;
    private readonly tiers: TierQueue[] = [];
    private readonly byLatestStart = new IndexedHeap<WaitingCall>((left, right) => left.latestStartMs - right.latestStartMs);
    private count = 0;

    /** Number of waiting calls. */
    get size(): number {
        return this.count;
    }

    /** Ranks of the tiers that have had calls, the highest first. */
    get ranks(): readonly number[] {
        return Object.keys(this.tiers).map(Number);
    }

    /** Returns the queue of the tier with a rank. */
    tier(rank: number): TierQueue {
        this.tiers[rank] ??= new TierQueue();
        return this.tiers[rank];
    }

    /** Adds a call. */
    add(waiting: WaitingCall): void {
        this.count += 1;
        this.bytes += waiting.bytes;
        this.tier(waiting.rank).add(waiting);
        this.byLatestStart.add(waiting);
    }

    /** Removes a call without dispatch. */
    remove(waiting: WaitingCall): void {
        this.untrack(waiting);
        this.tier(waiting.rank).remove(waiting);
    }

    /** Removes a call for dispatch. */
    dequeue(waiting: WaitingCall): void {
        this.untrack(waiting);
        this.tier(waiting.rank).dequeue(waiting);
    }

    /** Marks one call whose latest start has passed as late, and returns it; `undefined` when there is none. */
    markNextLate(nowMs: number): WaitingCall | undefined {
        const { first } = this.byLatestStart;
        if (first === undefined || first.latestStartMs >= nowMs) {
            return undefined;
        }
        this.byLatestStart.remove(first);
        this.tier(first.rank).markLate(first);
        return first;
    }

    /** Returns the lowest rank with a waiting call. */
    lowestRank(): number | undefined {
        for (let rank = this.tiers.length - 1; rank >= 0; rank--) {
            if ((this.tiers[rank]?.size ?? 0) > 0) {
                return rank;
            }
        }
        return undefined;
    }

    /** Returns the tokens of waiting calls in ranks above the given one. */
    tokensAbove(rank: number): number {
        let tokens = 0;
        for (let above = 0; above < rank; above++) {
            tokens += this.tiers[above]?.tokens ?? 0;
        }
        return tokens;
    }

    private untrack(waiting: WaitingCall): void {
        this.count -= 1;
        this.bytes -= waiting.bytes;
        this.byLatestStart.remove(waiting);
    }
}
