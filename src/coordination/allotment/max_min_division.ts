/**
 * Max-min fair division of a resource among claims of unequal weight.
 *
 * When a few claimants ask for many times their usual amount, those that ask for less than their share get all of it, and what they leave
 * is divided among the others by weight.
 *
 * @module
 */

/** Claim of one claimant. */
export interface ShareClaim {
    /** Amount that the claimant can use, 0 or more. */
    readonly demand: number;
    /** Weight of the claimant, above 0. */
    readonly weight: number;
}

/**
 * Divides a resource.
 *
 * @param amount Amount to divide, 0 or more.
 * @param claims Claims by key.
 * @returns Share of each claimant by key, at most its demand.
 */
export function divideMaxMin(amount: number, claims: ReadonlyMap<number, ShareClaim>): Map<number, number> {
    const sorted = [...claims].sort(([, left], [, right]) => left.demand / left.weight - right.demand / right.weight);
    let remainingAmount = amount;
    let remainingWeight = sorted.reduce((sum, [, { weight }]) => sum + weight, 0);
    const shares = new Map<number, number>();
    for (const [key, { demand, weight }] of sorted) {
        const share = Math.min(demand, remainingAmount * weight / remainingWeight);
        shares.set(key, share);
        remainingAmount = Math.max(0, remainingAmount - share);
        remainingWeight -= weight;
    }
    return shares;
}
