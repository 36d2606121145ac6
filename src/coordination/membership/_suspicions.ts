/**
 * Suspicions that have been neither refuted nor expired.
 *
 * @module
 */

/** Suspicion timeout with a single accuser, in milliseconds. */
const MAX_SUSPICION_TIMEOUT_MS = 2_500;

/** Suspicion timeout with all confirmations, in milliseconds. */
const MIN_SUSPICION_TIMEOUT_MS = 1_250;

/** Independent confirmations, beyond the first accuser, that reduce the timeout to its minimum. */
const MAX_CONFIRMATIONS = 2;

/** Suspicion of one member. */
interface Suspicion {
    startedAtMs: number;
    readonly accusers: Set<string>;
}

/** Pending suspicions of this node by member id. */
export class Suspicions {
    private readonly suspicions = new Map<string, Suspicion>();

    /** Number of pending suspicions. */
    get size(): number {
        return this.suspicions.size;
    }

    /**
     * Starts a suspicion or adds an accuser to it.
     *
     * @returns `true` if the accuser was added, in which case the suspicion should be disseminated.
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

    /** Removes the suspicion of a member. */
    clear(id: string): void {
        this.suspicions.delete(id);
    }

    /** Extends all suspicion timeouts by time in which this node could not receive refutations. */
    postpone(durationMs: number): void {
        for (const suspicion of this.suspicions.values()) {
            suspicion.startedAtMs += durationMs;
        }
    }

    /** Lists the members whose suspicion timeout has expired. */
    listExpired(nowMs: number): readonly string[] {
        const expired = [...this.suspicions].filter(([, suspicion]) =>
            nowMs - suspicion.startedAtMs >= suspicionTimeoutMs(suspicion)
        );
        return expired.map(([id]) => id);
    }
}

/** Timeout that decreases with the logarithm of the number of accusers; see Dadgar et al., "Lifeguard" (2018), section 4.2. */
function suspicionTimeoutMs(suspicion: Suspicion): number {
    const confirmations = Math.min(MAX_CONFIRMATIONS, suspicion.accusers.size - 1);
    const progress = Math.log(confirmations + 1) / Math.log(MAX_CONFIRMATIONS + 1);
    return MAX_SUSPICION_TIMEOUT_MS - (MAX_SUSPICION_TIMEOUT_MS - MIN_SUSPICION_TIMEOUT_MS) * progress;
}
