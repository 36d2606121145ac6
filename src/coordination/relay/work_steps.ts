/**
 * Work on many items that lets the event loop run in between.
 *
 * @module
 */

import type { Clock } from "../../state/relay/mod.js";

/** Time after which the event loop runs before the next item, in milliseconds; short against all time limits of calls. */
const MAX_STEP_MS = 10;

/**
 * Runs an action for each item, in steps between which the event loop runs timers and reads sockets.
 *
 * @param items Items, in order.
 * @param clock Clock of the steps.
 * @param run Action; what it changes is seen between the steps, so it must leave everything in a valid state.
 */
export async function runInSteps<Item>(items: Iterable<Item>, clock: Clock, run: (item: Item) => void): Promise<void> {
    let startedAtMs = clock.now();
    for (const item of items) {
        if (clock.now() - startedAtMs >= MAX_STEP_MS) {
            await clock.sleep(0);
            startedAtMs = clock.now();
        }
        run(item);
    }
}
