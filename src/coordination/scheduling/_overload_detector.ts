/**
 * Pressure on the tiers of one pool.
 *
 * @module
 */

/** Time for which signs must go on to count as pressure, in milliseconds: a short burst is no reason to stop lower tiers. */
const MIN_OVERLOAD_MS = 200;

/** Longest time between two signs of the same pressure, in milliseconds. */
const MAX_SIGNAL_GAP_MS = 500;

/** Signs of one tier. */
interface OverloadEpisode {
    readonly sinceMs: number;
    lastSignalMs: number;
}

/** Tells lasting pressure from short bursts. */
export class OverloadDetector {
    private readonly episodes = new Map<number, OverloadEpisode>();

    /**
     * Records a sign that a rank's calls may not keep their promises.
     *
     * @returns Whether the pressure lasts.
     */
    recordSignal(rank: number, nowMs: number): boolean {
        const known = this.episodes.get(rank);
        if (known === undefined || nowMs - known.lastSignalMs > MAX_SIGNAL_GAP_MS) {
            this.episodes.set(rank, { sinceMs: nowMs, lastSignalMs: nowMs });
            return false;
        }
        known.lastSignalMs = nowMs;
        return nowMs - known.sinceMs >= MIN_OVERLOAD_MS;
    }
}
