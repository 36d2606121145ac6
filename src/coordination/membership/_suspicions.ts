/**
 * Suspicions that have neither been refuted nor confirmed by time.
 *
 * @module
 */

/** Longest time that a suspect has to refute, in milliseconds. */
const MAX_SUSPICION_TIMEOUT_MS = 2_500;

/** Shortest time that a suspect has to refute, in milliseconds. */
const MIN_SUSPICION_TIMEOUT_MS = 1_250;

/** Accusers beyond the first after which the shortest time holds. */
const MAX_CONFIRMATIONS = 2;

/** One suspicion. */
interface Suspicion {
    startedAtMs: number;
    readonly accusers: Set<string>;
}

/** Suspicions of a node, by member. */
export class Suspicions {
    private readonly suspicions = new Map<string, Suspicion>();

    /** Number of suspicions. */
    get size(): number {
        return this.suspicions.size;
    }

    /**
     * Adds an accusation.
     *
     * @returns `true` when the accuser is new to the suspicion, so that others should hear of it.
     */
    addAccuser(id: string, accuser: string, nowMs: number): boolean {
        const known = this.suspicions.get(id);
        if (known === undefined) {
            this.suspicions.set(id, { startedAtMs: nowMs, accusers: new Set([accuser]) });
            return true;
        }
        if (known.accusers.has(accuser) || known.accusers.size > MAX_CONFIRMATIONS) {
            return false;
        }
        known.accusers.add(accuser);
        return true;
    }

    /** Ends a suspicion. */
    clear(id: string): void {
        this.suspicions.delete(id);
    }

    /** Moves all suspicions by time that this node itself lost. */
    postpone(durationMs: number): void {
        for (const suspicion of this.suspicions.values()) {
            suspicion.startedAtMs += durationMs;
        }
    }

    /** Returns the members whose time to refute has run out. */
    listExpired(nowMs: number): readonly string[] {
        const expired = [...this.suspicions].filter(([, suspicion]) =>
            nowMs - suspicion.startedAtMs >= suspicionTimeoutMs(suspicion)
        );
        return expired.map(([id]) => id);
    }
}

/** Falls with the logarithm of the number of accusers; see Dadgar et al., "Lifeguard" (2018), section 4.2. */
function suspicionTimeoutMs(suspicion: Suspicion): number {
    const confirmations = Math.min(MAX_CONFIRMATIONS, suspicion.accusers.size - 1);
    const share = Math.log(confirmations + 1) / Math.log(MAX_CONFIRMATIONS + 1);
    return MAX_SUSPICION_TIMEOUT_MS - (MAX_SUSPICION_TIMEOUT_MS - MIN_SUSPICION_TIMEOUT_MS) * share;
}
