/**
 * Admission claims: nodes announce that they stop lower tiers, so that no node sheds a tier while another admits a lower one.
 *
 * @module
 */

import type { Clock } from "../../state/mod.js";

/** Time within which a claim reaches every reachable node, in milliseconds. */
export const CLAIM_PROPAGATION_MS = 1_000;

/** Lifetime of a claim after its last publication, in milliseconds; the tiers that it stopped are then admitted again. */
export const CLAIM_TTL_MS = 3_000;

/** Additional time for which each rank stays stopped after the rank above it, in milliseconds. */
const RANK_STAGGER_MS = 300;

/** Time after the last publication of an expired claim within which the same claim counts as recurring, in milliseconds. */
const RECURRENCE_WINDOW_MS = 10_000;

/** Maximum time for which a recurring claim is renewed after it was last needed, in milliseconds. */
const MAX_EXTENSION_MS = 20_000;

/** Time that a node needs to act on a received claim, in milliseconds. */
const REACTION_MS = 200;

/** Claim that no rank below `lowestRank` is admitted. */
interface Claim {
    /** Lowest rank still admitted; 0 is the highest. */
    readonly lowestRank: number;
    /** Time since which it is in force. */
    readonly sinceMs: number;
    /** Time of its last publication. */
    publishedMs: number;
    /** Time at which this node last needed it; `undefined` for claims of peers. */
    lastNeededMs?: number;
    /** Time for which this node renews it after it was last needed, in milliseconds; `undefined` for claims of peers. */
    extensionMs?: number;
}

/** Claim as published to peers. */
export interface PublishedClaim {
    readonly lowestRank: number;
    /** Time for which it has been in force, in milliseconds. */
    readonly inForceMs: number;
}

/** Claims of this node and its peers for one pool. */
export class AdmissionClaims {
    private readonly own = new Map<number, Claim>();
    private readonly peers = new Map<string, Claim>();

    /** @param clock Clock by which claims expire. */
    constructor(private readonly clock: Clock) {}

    /**
     * Makes the claim that no rank below the given one is admitted, or records that it is still needed.
     *
     * @returns Whether the claim is new and must be published immediately.
     */
    claim(lowestRank: number): boolean {
        const nowMs = this.clock.now();
        const existing = this.own.get(lowestRank);
        if (existing !== undefined && nowMs - existing.publishedMs < CLAIM_TTL_MS) {
            existing.lastNeededMs = nowMs;
            return false;
        }
        const isRecurring = existing !== undefined && nowMs - existing.publishedMs < RECURRENCE_WINDOW_MS;
        const extensionMs = isRecurring ? Math.min(MAX_EXTENSION_MS, 2 * (existing.extensionMs ?? 0) + CLAIM_TTL_MS) : 0;
        this.own.set(lowestRank, { lowestRank, sinceMs: nowMs, publishedMs: nowMs, lastNeededMs: nowMs, extensionMs });
        return true;
    }

    /**
     * Records a claim received from a peer.
     *
     * @param origin Node that published the claim.
     * @param claim Published claim.
     * @param ageMs Time since its publication, in milliseconds.
     */
    receivePeerClaim(origin: string, claim: PublishedClaim, ageMs: number): void {
        const publishedMs = this.clock.now() - ageMs;
        const sinceMs = publishedMs - claim.inForceMs;
        this.peers.set(`${origin} ${claim.lowestRank}`, { lowestRank: claim.lowestRank, sinceMs, publishedMs });
    }

    /** Renews the claims of this node that were needed since their last publication or are still extended, and returns them. */
    renew(): readonly PublishedClaim[] {
        const nowMs = this.clock.now();
        const renewed: PublishedClaim[] = [];
        for (const claim of this.own.values()) {
            const neededUntilMs = (claim.lastNeededMs ?? 0) + (claim.extensionMs ?? 0);
            if (neededUntilMs >= claim.publishedMs && nowMs - claim.publishedMs < CLAIM_TTL_MS) {
                claim.publishedMs = nowMs;
                renewed.push({ lowestRank: claim.lowestRank, inForceMs: Math.round(nowMs - claim.sinceMs) });
            }
        }
        return renewed;
    }

    /** Whether a claim prevents a rank from being admitted and dispatched. */
    isRankStopped(rank: number): boolean {
        return Number.isFinite(this.stoppedSince(rank, CLAIM_TTL_MS + RANK_STAGGER_MS * rank));
    }

    /**
     * Returns the time since which no reachable node admits any rank below the given one; `Infinity` when some may admit one.
     *
     * Ranks are stopped from the lowest upwards: a rank is shed only after all ranks below it have stopped on every reachable
     * node. Admission resumes from the highest rank downwards.
     *
     * @param rank Rank to shed.
     * @param ranks All ranks in use, the highest first.
     */
    lowerRanksStoppedSince(rank: number, ranks: readonly number[]): number {
        let lowerStoppedMs = -Infinity;
        for (let index = ranks.length - 1; index >= 0 && ranks[index] > rank; index--) {
            const lower = ranks[index];
            const stoppedMs = this.stoppedSince(lower, CLAIM_TTL_MS + RANK_STAGGER_MS * (lower - 1));
            lowerStoppedMs = Math.max(stoppedMs + CLAIM_PROPAGATION_MS, lowerStoppedMs) + REACTION_MS;
        }
        return lowerStoppedMs;
    }

    /** Removes claims whose last publication is older than `maxAgeMs`. */
    dropExpired(maxAgeMs: number): void {
        const oldestMs = this.clock.now() - maxAgeMs;
        dropOlder(this.own, oldestMs);
        dropOlder(this.peers, oldestMs);
    }

    private stoppedSince(rank: number, ttlMs: number): number {
        const nowMs = this.clock.now();
        let earliest = Infinity;
        for (const claims of [this.own, this.peers]) {
            for (const claim of claims.values()) {
                if (claim.lowestRank < rank && nowMs - claim.publishedMs < ttlMs) {
                    earliest = Math.min(earliest, claim.sinceMs);
                }
            }
        }
        return earliest;
    }
}

function dropOlder<Key>(claims: Map<Key, Claim>, oldestMs: number): void {
    for (const [key, claim] of claims) {
        if (claim.publishedMs < oldestMs) {
            claims.delete(key);
        }
    }
}
