/**
 * Order of timers and input in an event loop that was held up.
 *
 * @module
 */

/**
 * Runs an action once everything is read that had arrived on the sockets before.
 *
 * The event loop runs timers before it reads sockets, so after it was held up, a time limit is over before input is seen that arrived
 * long before its end.
 */
export function afterArrivedInput(action: () => void): void {
    // The first pass accepts connections and reads open ones, the second reads those that the first has accepted.
    setImmediate(() => setImmediate(action));
}
