/**
 * Selection of the node that aggregates the reports of a failure domain.
 *
 * @module
 */

import { hashKey } from "../../protocol/relay/mod.js";
import type { Clock } from "../../state/relay/mod.js";

/** Time without a report from an aggregator after which it is suspected, in milliseconds; ten report intervals. */
const RESPONSE_TIMEOUT_MS = 1_000;

/** Delay before a suspected node is first probed, in milliseconds; doubles after each failed probe. */
const INITIAL_BACKOFF_MS = 2_000;

/** Maximum delay between probes of a suspected node, in milliseconds. */
const MAX_BACKOFF_MS = 30_000;

/** Node that may aggregate reports. */
export interface AggregatorCandidate {
    readonly node: string;
    readonly address: string;
    /** CPU capacity of the node, in cores; the candidate with the most is preferred. */
    readonly cores: number;
}

/** Nodes that reports are sent to. */
export interface AggregatorSelection {
    /** Node whose sums are used; `undefined` when every candidate is suspected. */
    readonly selected: AggregatorCandidate | undefined;
    /** Preferred but suspected nodes that are being probed. */
    readonly probed: readonly AggregatorCandidate[];
}

/** Failure-detection state of a candidate. */
interface CandidateState {
    /** Time of the last response; 0 before the first one. */
    lastResponseAtMs: number;
    /** Start of the wait for a first response, or of the backoff before the next probe. */
    waitStartedAtMs: number;
    backoffMs: number;
    /** Whether the candidate failed to respond within {@linkcode RESPONSE_TIMEOUT_MS}. */
    isSuspected: boolean;
}

/**
 * Selects the responsive node with the most cores, without an election: every node that receives reports aggregates them, and a
 * node that stops responding is replaced by the next candidate.
 */
export class AggregatorSelector {
    private readonly candidateStates = new Map<string, CandidateState>();

    /**
     * @param clock Clock for timeouts and backoffs.
     * @param self Name of this node, which never suspects itself.
     */
    constructor(private readonly clock: Clock, private readonly self: string) {}

    /** Records that a node has sent sums, which clears any suspicion. */
    recordResponse(node: string): void {
        const now = this.clock.now();
        this.candidateStates.set(node, {
            lastResponseAtMs: now,
            waitStartedAtMs: now,
            backoffMs: INITIAL_BACKOFF_MS,
            isSuspected: false,
        });
    }

    /**
     * Selects among the nodes of one failure domain.
     *
     * @param candidates Nodes in any order.
     */
    select(candidates: readonly AggregatorCandidate[]): AggregatorSelection {
        const probed: AggregatorCandidate[] = [];
        for (const candidate of [...candidates].sort(compareCandidates)) {
            if (candidate.node === this.self || !this.checkSuspected(candidate.node)) {
                return { selected: candidate, probed };
            }
            if (this.checkProbing(candidate.node)) {
                probed.push(candidate);
            }
        }
        return { selected: undefined, probed };
    }

    /**
     * Updates the state of a candidate. A new candidate gets the whole timeout for its first response.
     *
     * @returns Whether it is suspected.
     */
    private checkSuspected(node: string): boolean {
        const now = this.clock.now();
        const state = this.candidateStates.get(node);
        if (state === undefined) {
            this.candidateStates.set(node, {
                lastResponseAtMs: 0,
                waitStartedAtMs: now,
                backoffMs: INITIAL_BACKOFF_MS,
                isSuspected: false,
            });
            return false;
        }
        if (!state.isSuspected && now - Math.max(state.lastResponseAtMs, state.waitStartedAtMs) > RESPONSE_TIMEOUT_MS) {
            state.isSuspected = true;
            state.waitStartedAtMs = now;
        }
        return state.isSuspected;
    }

    /**
     * Updates the probe of a suspected candidate. A probe sends it reports for as long as the response timeout.
     *
     * @returns Whether it is being probed.
     */
    private checkProbing(node: string): boolean {
        const state = this.candidateStates.get(node);
        if (state === undefined) {
            return false;
        }
        const probedMs = this.clock.now() - state.waitStartedAtMs - state.backoffMs;
        if (probedMs > RESPONSE_TIMEOUT_MS) {
            state.waitStartedAtMs = this.clock.now();
            state.backoffMs = Math.min(MAX_BACKOFF_MS, state.backoffMs * 2);
            return false;
        }
        return probedMs >= 0;
    }
}

function compareCandidates(left: AggregatorCandidate, right: AggregatorCandidate): number {
    return right.cores - left.cores || hashKey(left.node) - hashKey(right.node) || (left.node < right.node ? -1 : 1);
}
