/**
 * Pressure on the tiers of one pool.
 *
 * @module
 */

/** Time for which signs must go on to count as pressure, in milliseconds: a short burst is no reason to stop lower tiers. */
const MIN_PRESSURE_MS = 200;

/** Longest time between two signs of the same pressure, in milliseconds. */
const MAX_PAUSE_MS = 500;

/** Signs of one tier. */
interface Signs {
    readonly sinceMs: number;
    lastMs: number;
}

/** Tells lasting pressure from short bursts. */
export class Pressure {
    private readonly signs = new Map<number, Signs>();

    /**
     * Records a sign that a rank's calls may not keep their promises.
     *
     * @returns Whether the pressure lasts.
     */
    recordSign(rank: number, nowMs: number): boolean {
        const known = this.signs.get(rank);
        if (known === undefined || nowMs - known.lastMs > MAX_PAUSE_MS) {
            this.signs.set(rank, { sinceMs: nowMs, lastMs: nowMs });
            return false;
        }
        known.lastMs = nowMs;
        return nowMs - known.sinceMs >= MIN_PRESSURE_MS;
    }
}
