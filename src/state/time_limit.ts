/**
 * Time limit of an action that input ends.
 *
 * @module
 */

import { afterArrivedInput } from "./arrived_input.js";

/**
 * Starts a time limit, for actions that have no clock. What arrives before its end is read first, so that its receiver may still end it.
 *
 * @param limitMs Time limit, in milliseconds.
 * @param onOver Called when the time is over, unless the limit was ended before.
 * @returns Function that ends the limit.
 */
export function startTimeLimit(limitMs: number, onOver: () => void): () => void {
    let isEnded = false;
    const timer = setTimeout(() =>
        afterArrivedInput(() => {
            if (!isEnded) {
                onOver();
            }
        }), limitMs);
    return () => {
        isEnded = true;
        clearTimeout(timer);
    };
}
