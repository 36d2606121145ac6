/**
 * Choice of the node that adds up the reports of a failure domain.
 *
 * @module
 */

import { hashKey } from "../../protocol/relay/mod.js";
import type { Clock } from "../../state/relay/mod.js";

/** Time without a report of an aggregator after which the next node is asked, in milliseconds; five reports. */
const RESPONSE_TIMEOUT_MS = 1_000;

/** Time until a silent node is asked again, in milliseconds; doubles each time. */
const INITIAL_BACKOFF_MS = 2_000;

/** Longest time until a silent node is asked again, in milliseconds. */
const MAX_BACKOFF_MS = 30_000;

/** Node that may add up reports. */
export interface AggregatorCandidate {
    readonly node: string;
    readonly address: string;
    /** Processors of the node, as a number of cores; the strongest node is asked first. */
    readonly cores: number;
}

/** Nodes to which reports go. */
export interface AggregatorSelection {
    /** Node whose sums are used. */
    readonly selected: AggregatorCandidate | undefined;
    /** Stronger nodes that were silent and are asked again. */
    readonly probed: readonly AggregatorCandidate[];
}

/** What is known of a node as an aggregator. */
interface CandidateState {
    lastHeardAtMs: number;
    waitStartedAtMs: number;
    backoffMs: number;
    isSuspected: boolean;
}

/**
 * Chooses the strongest node that answers, without an election: whoever is sent reports adds them up, and whoever falls silent is
 * replaced by the next node.
 */
export class AggregatorSelector {
    private readonly candidateStates = new Map<string, CandidateState>();

    /**
     * @param clock Clock that measures silences.
     * @param self Name of this node, which is always available to itself.
     */
    constructor(private readonly clock: Clock, private readonly self: string) {}

    /** Records that a node has sent sums. */
    recordResponse(node: string): void {
        const now = this.clock.now();
        this.candidateStates.set(node, {
            lastHeardAtMs: now,
            waitStartedAtMs: now,
            backoffMs: INITIAL_BACKOFF_MS,
            isSuspected: false,
        });
    }

    /**
     * Chooses among the nodes of one failure domain.
     *
     * @param candidates Nodes in any order.
     */
    select(candidates: readonly AggregatorCandidate[]): AggregatorSelection {
        const asked: AggregatorCandidate[] = [];
        for (const candidate of [...candidates].sort(compareCandidates)) {
            if (candidate.node === this.self || !this.checkSuspected(candidate.node)) {
                return { selected: candidate, probed: asked };
            }
            if (this.checkProbing(candidate.node)) {
                asked.push(candidate);
            }
        }
        return { selected: undefined, probed: asked };
    }

    private checkSuspected(node: string): boolean {
        const now = this.clock.now();
        const standing = this.candidateStates.get(node);
        if (standing === undefined) {
            this.candidateStates.set(node, {
                lastHeardAtMs: 0,
                waitStartedAtMs: now,
                backoffMs: INITIAL_BACKOFF_MS,
                isSuspected: false,
            });
            return false;
        }
        if (!standing.isSuspected && now - Math.max(standing.lastHeardAtMs, standing.waitStartedAtMs) > RESPONSE_TIMEOUT_MS) {
            standing.isSuspected = true;
            standing.waitStartedAtMs = now;
        }
        return standing.isSuspected;
    }

    /** @returns Whether a silent node is now sent reports again, to see whether it answers. */
    private checkProbing(node: string): boolean {
        const standing = this.candidateStates.get(node);
        if (standing === undefined) {
            return false;
        }
        const pausedMs = this.clock.now() - standing.waitStartedAtMs - standing.backoffMs;
        if (pausedMs > RESPONSE_TIMEOUT_MS) {
            standing.waitStartedAtMs = this.clock.now();
            standing.backoffMs = Math.min(MAX_BACKOFF_MS, standing.backoffMs * 2);
            return false;
        }
        return pausedMs >= 0;
    }
}

function compareCandidates(left: AggregatorCandidate, right: AggregatorCandidate): number {
    return right.cores - left.cores || hashKey(left.node) - hashKey(right.node) || (left.node < right.node ? -1 : 1);
}
