/**
 * Where the figures of each attempt at a backend server go.
 *
 * @module
 */

/** Figures of one attempt that ended. */
export interface AttemptResult {
    readonly pool: string;
    readonly operation: string;
    /** Version that the backend server ran, by its last report. */
    readonly version: string;
    readonly engineClass: string;
    /** Requests at the backend server when the attempt began, as far as this node knew. */
    readonly serverLoad: number;
    /** Whether the whole answer came. */
    readonly whole: boolean;
    /** Time from dispatch to the first token, or to the whole answer of a plain service, in milliseconds. */
    readonly firstTokenMs: number | undefined;
    /** Longest time between two tokens, in milliseconds; `undefined` with fewer than two tokens. */
    readonly longestGapMs: number | undefined;
}

/** Is told of each attempt. */
export abstract class AttemptObserver {
    /** An attempt ended; those that their callers abandoned are left out. */
    abstract recordAttempt(figures: AttemptResult): void;
}

/** Keeps nothing. */
export class NoopAttemptObserver extends AttemptObserver {
    override recordAttempt(): void {
        // Nothing is kept.
    }
}
