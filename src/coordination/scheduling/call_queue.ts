/**
 * Queue of one pool: by tier, then fairly by workspace, then by the latest time of dispatch.
 *
 * @module
 */

import { IndexedHeap } from "./_indexed_heap.js";
import type { WaitingCall } from "./waiting_call.js";

/** Workspaces whose first calls are offered for one choice. */
const MAX_OFFERED = 4;

/** Workspaces of one tier whose share is remembered; those without waiting calls are forgotten beyond it. */
const MAX_REMEMBERED_WORKSPACES = 2_000;

/** Calls of one workspace in one tier. */
class WorkspaceQueue {
    readonly calls = new IndexedHeap<WaitingCall>((left, right) => left.startByMs - right.startByMs);
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
    private readonly order = new IndexedHeap<WorkspaceQueue>((left, right) => left.finishTag - right.finishTag);
    private readonly late = new Set<WaitingCall>();
    private virtualTime = 0;
    private count = 0;

    /** Number of waiting calls. */
    get size(): number {
        return this.count;
    }

    /** Number of workspaces with calls that can still be in time. */
    get activeWorkspaces(): number {
        return this.order.size;
    }

    /** Returns the tokens that a workspace has waiting. */
    tokensOf(workspace: string): number {
        return this.workspaces.get(workspace)?.tokens ?? 0;
    }

    /** Adds a call. */
    add(waiting: WaitingCall): void {
        this.count += 1;
        this.tokens += waiting.cost.tokens;
        const own = this.workspaceOf(waiting);
        if (own.calls.size === 0) {
            own.finishTag = Math.max(own.finishTag, this.virtualTime);
            this.order.add(own);
        }
        own.calls.add(waiting);
        own.tokens += waiting.cost.tokens;
    }

    /** Removes a call, whether in time or late. */
    remove(waiting: WaitingCall): void {
        this.count -= 1;
        this.tokens -= waiting.cost.tokens;
        if (!this.late.delete(waiting)) {
            this.detach(waiting);
        }
    }

    /** Removes a call that is dispatched, and charges its workspace. */
    take(waiting: WaitingCall): void {
        const own = this.workspaces.get(waiting.workspace);
        if (!waiting.late && own !== undefined) {
            this.virtualTime = Math.max(this.virtualTime, own.finishTag);
            this.order.remove(own);
            own.finishTag += waiting.cost.tokens;
            this.order.add(own);
        }
        this.remove(waiting);
    }

    /** Puts a call behind all calls of the tier that can still be in time. */
    setLate(waiting: WaitingCall): void {
        waiting.late = true;
        this.detach(waiting);
        this.late.add(waiting);
    }

    /** Returns the calls that may go next, the fairest first; late calls only when no other waits. */
    offered(): readonly WaitingCall[] {
        if (this.order.size === 0) {
            const [first] = this.late;
            return first === undefined ? [] : [first];
        }
        const heads: WorkspaceQueue[] = [];
        while (heads.length < MAX_OFFERED && this.order.size > 0) {
            heads.push(this.order.pop() as WorkspaceQueue);
        }
        for (const head of heads) {
            this.order.add(head);
        }
        return heads.map(head => head.calls.first as WaitingCall);
    }

    /** Returns the call that gives way first: a late one, else one of the workspace that was served most. */
    leastUrgent(): WaitingCall | undefined {
        const [late] = this.late;
        return late ?? this.order.leaf?.calls.leaf;
    }

    private detach(waiting: WaitingCall): void {
        const own = this.workspaces.get(waiting.workspace);
        if (own === undefined || !own.calls.remove(waiting)) {
            return;
        }
        own.tokens -= waiting.cost.tokens;
        if (own.calls.size === 0) {
            this.order.remove(own);
        }
    }

    private workspaceOf(waiting: WaitingCall): WorkspaceQueue {
        const known = this.workspaces.get(waiting.workspace);
        if (known !== undefined) {
            return known;
        }
        if (this.workspaces.size >= MAX_REMEMBERED_WORKSPACES) {
            this.forgetIdle();
        }
        const own = new WorkspaceQueue(this.virtualTime);
        this.workspaces.set(waiting.workspace, own);
        return own;
    }

    private forgetIdle(): void {
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
    private readonly startOrder = new IndexedHeap<WaitingCall>((left, right) => left.startByMs - right.startByMs);
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
        this.startOrder.add(waiting);
    }

    /** Removes a call that is not dispatched. */
    remove(waiting: WaitingCall): void {
        this.forget(waiting);
        this.tier(waiting.rank).remove(waiting);
    }

    /** Removes a call that is dispatched. */
    take(waiting: WaitingCall): void {
        this.forget(waiting);
        this.tier(waiting.rank).take(waiting);
    }

    /** Returns a call that can no longer be in time and is not yet marked late; it is then marked so. */
    nextLate(nowMs: number): WaitingCall | undefined {
        const { first } = this.startOrder;
        if (first === undefined || first.startByMs >= nowMs) {
            return undefined;
        }
        this.startOrder.remove(first);
        this.tier(first.rank).setLate(first);
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

    private forget(waiting: WaitingCall): void {
        this.count -= 1;
        this.bytes -= waiting.bytes;
        this.startOrder.remove(waiting);
    }
}
