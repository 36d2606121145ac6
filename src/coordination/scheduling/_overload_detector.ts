/**
 * Detection of sustained overload in the tiers of one pool.
 *
 * @module
 */

/** Minimum duration of an episode that counts as overload, in milliseconds; a short burst is no reason to stop lower tiers. */
const MIN_OVERLOAD_MS = 200;

/** Maximum time between two signals of the same episode, in milliseconds. */
const MAX_SIGNAL_GAP_MS = 500;

/** Uninterrupted series of overload signals of one tier. */
interface OverloadEpisode {
    readonly sinceMs: number;
    lastSignalMs: number;
}

/** Distinguishes sustained overload from short bursts. */
export class OverloadDetector {
    private readonly episodes = new Map<number, OverloadEpisode>();

    /**
     * Records a signal that calls of a rank may miss their latency objectives.
     *
     * @returns Whether the overload is sustained.
     */
    recordSignal(rank: number, nowMs: number): boolean {
        const episode = this.episodes.get(rank);
        if (episode === undefined || nowMs - episode.lastSignalMs > MAX_SIGNAL_GAP_MS) {
            this.episodes.set(rank, { sinceMs: nowMs, lastSignalMs: nowMs });
            return false;
        }
        episode.lastSignalMs = nowMs;
        return nowMs - episode.sinceMs >= MIN_OVERLOAD_MS;
    }
}
