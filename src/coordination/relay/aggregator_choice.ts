/**
 * Choice of the node that adds up the reports of a failure domain.
 *
 * @module
 */

import { hashKey } from "../../protocol/relay/mod.js";
import type { Clock } from "../../state/relay/mod.js";

/** Time without a report of an aggregator after which the next node is asked, in milliseconds; five reports. */
const SILENCE_MS = 1_000;

/** Time until a silent node is asked again, in milliseconds; doubles each time. */
const FIRST_PAUSE_MS = 2_000;

/** Longest time until a silent node is asked again, in milliseconds. */
const MAX_PAUSE_MS = 30_000;

/** Node that may add up reports. */
export interface AggregatorCandidate {
    readonly node: string;
    readonly address: string;
    /** Processors of the node, as a number of cores; the strongest node is asked first. */
    readonly cores: number;
}

/** Nodes to which reports go. */
export interface AggregatorChoice {
    /** Node whose sums are used. */
    readonly chosen: AggregatorCandidate | undefined;
    /** Stronger nodes that were silent and are asked again. */
    readonly asked: readonly AggregatorCandidate[];
}

/** What is known of a node as an aggregator. */
interface Standing {
    heardAtMs: number;
    askedSinceMs: number;
    pauseMs: number;
    isSilent: boolean;
}

/**
 * Chooses the strongest node that answers, without an election: whoever is sent reports adds them up, and whoever falls silent is
 * replaced by the next node.
 */
export class AggregatorChooser {
    private readonly standings = new Map<string, Standing>();

    /**
     * @param clock Clock that measures silences.
     * @param self Name of this node, which is always available to itself.
     */
    constructor(private readonly clock: Clock, private readonly self: string) {}

    /** Records that a node has sent sums. */
    recordHeard(node: string): void {
        const now = this.clock.now();
        this.standings.set(node, { heardAtMs: now, askedSinceMs: now, pauseMs: FIRST_PAUSE_MS, isSilent: false });
    }

    /**
     * Chooses among the nodes of one failure domain.
     *
     * @param candidates Nodes in any order.
     */
    choose(candidates: readonly AggregatorCandidate[]): AggregatorChoice {
        const asked: AggregatorCandidate[] = [];
        for (const candidate of [...candidates].sort(compareCandidates)) {
            if (candidate.node === this.self || !this.isSilent(candidate.node)) {
                return { chosen: candidate, asked };
            }
            if (this.isBeingAsked(candidate.node)) {
                asked.push(candidate);
            }
        }
        return { chosen: undefined, asked };
    }

    private isSilent(node: string): boolean {
        const now = this.clock.now();
        const standing = this.standings.get(node);
        if (standing === undefined) {
            this.standings.set(node, { heardAtMs: 0, askedSinceMs: now, pauseMs: FIRST_PAUSE_MS, isSilent: false });
            return false;
        }
        if (!standing.isSilent && now - Math.max(standing.heardAtMs, standing.askedSinceMs) > SILENCE_MS) {
            standing.isSilent = true;
            standing.askedSinceMs = now;
        }
        return standing.isSilent;
    }

    /** @returns Whether a silent node is now sent reports again, to see whether it answers. */
    private isBeingAsked(node: string): boolean {
        const standing = this.standings.get(node);
        if (standing === undefined) {
            return false;
        }
        const pausedMs = this.clock.now() - standing.askedSinceMs - standing.pauseMs;
        if (pausedMs > SILENCE_MS) {
            standing.askedSinceMs = this.clock.now();
            standing.pauseMs = Math.min(MAX_PAUSE_MS, standing.pauseMs * 2);
            return false;
        }
        return pausedMs >= 0;
    }
}

function compareCandidates(left: AggregatorCandidate, right: AggregatorCandidate): number {
    return right.cores - left.cores || hashKey(left.node) - hashKey(right.node) || (left.node < right.node ? -1 : 1);
}
