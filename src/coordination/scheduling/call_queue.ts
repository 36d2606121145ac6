/**
 * Queue of one pool: by tier, then fairly by workspace, then by the latest time of dispatch.
 *
 * @module
 */

import { IndexedHeap } from "./_indexed_heap.js";
import type { WaitingCall } from "./waiting_call.js";

/** Workspaces whose first calls are offered for one choice. */
const MAX_CANDIDATES = 4;

/** Workspaces of one tier whose share is remembered; those without waiting calls are forgotten beyond it. */
const MAX_TRACKED_WORKSPACES = 2_000;

/** Calls of one workspace in one tier. */
class WorkspaceQueue {
    readonly calls = new IndexedHeap<WaitingCall>((left, right) => left.latestStartMs - right.latestStartMs);
    tokens = 0;

    constructor(public finishTag: number) {}
}

/**
 * Calls of one tier.
 *
 * Workspaces share by start-time fair queueing, after Goyal, Vin and Cheng, "Start-Time Fair Queuing" (1996), in tokens.
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

    /** Number of workspaces with calls that can still be in time. */
    get activeWorkspaces(): number {
        return this.byFinishTag.size;
    }

    /** Returns the tokens that a workspace has waiting. */
    tokensOf(workspace: string): number {
        return this.workspaces.get(workspace)?.tokens ?? 0;
    }

    /** Adds a call. */
    add(waiting: WaitingCall): void {
        this.count += 1;
        this.tokens += waiting.cost.tokens;
        const own = this.workspaceQueue(waiting);
        if (own.calls.size === 0) {
            own.finishTag = Math.max(own.finishTag, this.virtualTime);
            this.byFinishTag.add(own);
        }
        own.calls.add(waiting);
        own.tokens += waiting.cost.tokens;
    }

    /** Removes a call, whether in time or late. */
    remove(waiting: WaitingCall): void {
        this.count -= 1;
        this.tokens -= waiting.cost.tokens;
        if (!this.late.delete(waiting)) {
            this.removeFromWorkspace(waiting);
        }
    }

    /** Removes a call that is dispatched, and charges its workspace. */
    dequeue(waiting: WaitingCall): void {
        const own = this.workspaces.get(waiting.workspace);
        if (!waiting.isLate && own !== undefined) {
            this.virtualTime = Math.max(this.virtualTime, own.finishTag);
            this.byFinishTag.remove(own);
            own.finishTag += waiting.cost.tokens;
            this.byFinishTag.add(own);
        }
        this.remove(waiting);
    }

    /** Puts a call behind all calls of the tier that can still be in time. */
    markLate(waiting: WaitingCall): void {
        waiting.isLate = true;
        this.removeFromWorkspace(waiting);
        this.late.add(waiting);
    }

    /** Returns the calls that may go next, the fairest first; late calls only when no other waits. */
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

    /** Returns the call that gives way first: a late one, else one of the workspace that was served most. */
    nextToShed(): WaitingCall | undefined {
        const [late] = this.late;
        return late ?? this.byFinishTag.lastLeaf?.calls.lastLeaf;
    }

    private removeFromWorkspace(waiting: WaitingCall): void {
        const own = this.workspaces.get(waiting.workspace);
        if (own === undefined || !own.calls.remove(waiting)) {
            return;
        }
        own.tokens -= waiting.cost.tokens;
        if (own.calls.size === 0) {
            this.byFinishTag.remove(own);
        }
    }

    private workspaceQueue(waiting: WaitingCall): WorkspaceQueue {
        const known = this.workspaces.get(waiting.workspace);
        if (known !== undefined) {
            return known;
        }
        if (this.workspaces.size >= MAX_TRACKED_WORKSPACES) {
            this.dropIdleWorkspaces();
        }
        const own = new WorkspaceQueue(this.virtualTime);
        this.workspaces.set(waiting.workspace, own);
        return own;
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
    /** Bytes that waiting calls hold. */
    bytes = 0;
    private readonly tiers: TierQueue[] = [];
    private readonly byLatestStart = new IndexedHeap<WaitingCall>((left, right) => left.latestStartMs - right.latestStartMs);
    private count = 0;

    /** Number of waiting calls. */
    get size(): number {
        return this.count;
    }

    /** Tiers that have had calls, by rank; ranks without calls are left out. */
    get ranks(): readonly number[] {
        return Object.keys(this.tiers).map(Number);
    }

    /** Returns the calls of one rank. */
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

    /** Removes a call that is not dispatched. */
    remove(waiting: WaitingCall): void {
        this.untrack(waiting);
        this.tier(waiting.rank).remove(waiting);
    }

    /** Removes a call that is dispatched. */
    dequeue(waiting: WaitingCall): void {
        this.untrack(waiting);
        this.tier(waiting.rank).dequeue(waiting);
    }

    /** Returns a call that can no longer be in time and is not yet marked late; it is then marked so. */
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

    /** Returns the tokens waiting in ranks above the given one. */
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
