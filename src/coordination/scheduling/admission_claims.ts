/**
 * Claims by which nodes stop lower tiers together, so that no node sheds a tier while another admits a lower one.
 *
 * @module
 */

import type { Clock } from "../../state/mod.js";

/** Time within which a claim reaches every node that can be reached, in milliseconds. */
export const CLAIM_PROPAGATION_MS = 1_000;

/** Time that a claim stays in force after its last publication; a silent peer's claim decays to "all tiers admitted" then. */
export const CLAIM_TTL_MS = 3_000;

/** Time by which each rank stays stopped longer than the rank above it, in milliseconds. */
const RANK_STAGGER_MS = 300;

/** Time within which a claim that lapsed and is made again counts as recurring, in milliseconds. */
const RECURRENCE_WINDOW_MS = 10_000;

/** Longest time for which a recurring claim is prolonged after the last reason, in milliseconds. */
const MAX_EXTENSION_MS = 20_000;

/** Time that a node needs to act on a claim that has come, in milliseconds. */
const REACTION_MS = 200;

/** Claim that ranks below one are not admitted. */
interface Claim {
    /** Lowest rank still admitted. */
    readonly lowestRank: number;
    /** Time since which it is in force. */
    readonly sinceMs: number;
    /** Time of its last publication. */
    publishedMs: number;
    /** Time at which this node last had reason for it; `undefined` for claims of peers. */
    lastNeededMs?: number;
    /** Time for which this node prolongs it after the last reason, in milliseconds. */
    extensionMs?: number;
}

/** Claim as it is published. */
export interface PublishedClaim {
    readonly lowestRank: number;
    /** Time for which it has been in force, in milliseconds. */
    readonly inForceMs: number;
}

/** Claims of this node and its peers on one pool. */
export class AdmissionClaims {
    private readonly own = new Map<number, Claim>();
    private readonly peers = new Map<string, Claim>();

    /** @param clock Clock that claims age by. */
    constructor(private readonly clock: Clock) {}

    /**
     * Claims, or goes on to claim, that ranks below one are not admitted.
     *
     * @returns Whether the claim is new and must be published at once.
     */
    claim(lowestRank: number): boolean {
        const nowMs = this.clock.now();
        const known = this.own.get(lowestRank);
        if (known !== undefined && nowMs - known.publishedMs < CLAIM_TTL_MS) {
            known.lastNeededMs = nowMs;
            return false;
        }
        const recurs = known !== undefined && nowMs - known.publishedMs < RECURRENCE_WINDOW_MS;
        const lingerMs = recurs ? Math.min(MAX_EXTENSION_MS, 2 * (known.extensionMs ?? 0) + CLAIM_TTL_MS) : 0;
        this.own.set(lowestRank, { lowestRank, sinceMs: nowMs, publishedMs: nowMs, lastNeededMs: nowMs, extensionMs: lingerMs });
        return true;
    }

    /**
     * Takes a claim of a peer.
     *
     * @param origin Node that claims.
     * @param claim Claim as it was published.
     * @param ageMs Time since then, in milliseconds.
     */
    receivePeerClaim(origin: string, claim: PublishedClaim, ageMs: number): void {
        const publishedMs = this.clock.now() - ageMs;
        const sinceMs = publishedMs - claim.inForceMs;
        this.peers.set(`${origin} ${claim.lowestRank}`, { lowestRank: claim.lowestRank, sinceMs, publishedMs });
    }

    /** Prolongs the claims that this node has had reason for since their last publication, and returns them. */
    renew(): readonly PublishedClaim[] {
        const nowMs = this.clock.now();
        const renewed: PublishedClaim[] = [];
        for (const claim of this.own.values()) {
            const wantedUntilMs = (claim.lastNeededMs ?? 0) + (claim.extensionMs ?? 0);
            if (wantedUntilMs >= claim.publishedMs && nowMs - claim.publishedMs < CLAIM_TTL_MS) {
                claim.publishedMs = nowMs;
                renewed.push({ lowestRank: claim.lowestRank, inForceMs: Math.round(nowMs - claim.sinceMs) });
            }
        }
        return renewed;
    }

    /** Whether a claim keeps a rank from being admitted and dispatched. */
    isStopped(rank: number): boolean {
        return Number.isFinite(this.stoppedSince(rank, CLAIM_TTL_MS + RANK_STAGGER_MS * rank));
    }

    /**
     * Returns the time since which no node that can be reached admits any rank below one; `Infinity` when some may.
     *
     * Stopping goes upwards: each rank is given up only when all below it have stopped everywhere. Admission comes back downwards.
     *
     * @param rank Rank that is to be shed.
     * @param ranks All ranks in use, the highest first.
     */
    lowerRanksStoppedSince(rank: number, ranks: readonly number[]): number {
        let clearMs = -Infinity;
        for (let index = ranks.length - 1; index >= 0 && ranks[index] > rank; index--) {
            const lower = ranks[index];
            const stoppedMs = this.stoppedSince(lower, CLAIM_TTL_MS + RANK_STAGGER_MS * (lower - 1));
            clearMs = Math.max(stoppedMs + CLAIM_PROPAGATION_MS, clearMs) + REACTION_MS;
        }
        return clearMs;
    }

    /** Forgets claims that have lapsed for every rank. */
    dropExpired(maxAgeMs: number): void {
        const oldestMs = this.clock.now() - maxAgeMs;
        dropOlder(this.own, oldestMs);
        dropOlder(this.peers, oldestMs);
    }

    private stoppedSince(rank: number, holdMs: number): number {
        const nowMs = this.clock.now();
        let earliest = Infinity;
        for (const claims of [this.own, this.peers]) {
            for (const claim of claims.values()) {
                if (claim.lowestRank < rank && nowMs - claim.publishedMs < holdMs) {
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
