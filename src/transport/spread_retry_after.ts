/**
 * Times after which refused calls may come again.
 *
 * @module
 */

/** Shortest time, step between two times and number of steps, in milliseconds. */
const MIN_RETRY_AFTER_MS = 1_000;
const STEP_MS = 125;
const STEPS = 16;

/** Spreads the calls that are refused together over two seconds, so that they do not come back at once. */
export class SpreadRetryAfter {
    private count = 0;

    /** Returns the time for the next call, in milliseconds. */
    next(): number {
        this.count += 1;
        return MIN_RETRY_AFTER_MS + this.count % STEPS * STEP_MS;
    }
}
