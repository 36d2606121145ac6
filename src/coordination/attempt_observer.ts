/**
 * Observer of the attempts on backend servers.
 *
 * @module
 */

/** Result of one finished attempt. */
export interface AttemptResult {
    readonly pool: string;
    readonly operation: string;
    /** Version of the backend server according to its last load report. */
    readonly version: string;
    readonly engineClass: string;
    /** Requests at the backend server when the attempt started, as known to this node. */
    readonly serverLoad: number;
    /** Whether the complete answer was received. */
    readonly completed: boolean;
    /** Time from dispatch to the first token, or to the complete answer of a plain service, in milliseconds. */
    readonly firstTokenMs: number | undefined;
    /** Longest time between two tokens, in milliseconds; `undefined` with fewer than two tokens. */
    readonly longestGapMs: number | undefined;
}

/** Receives the result of each attempt. */
export abstract class AttemptObserver {
    /** Records a finished attempt; attempts cancelled because the caller disconnected are not reported. */
    abstract recordAttempt(result: AttemptResult): void;
}

/** Discards all results. */
export class NoopAttemptObserver extends AttemptObserver {
    override recordAttempt(): void {
        // Results are discarded.
    }
}
