/**
 * Hold-ups of a node, as a task notices them that has a turn at short intervals.
 *
 * @module
 */

import type { Clock } from "../../state/relay/mod.js";

/** Time after a hold-up in which the node reads what has arrived meanwhile, in milliseconds. */
const READING_MS = 40;

/**
 * Notices that the time between two turns of a task is so long that the node was held up.
 *
 * @example
 * const watch = new TurnWatch(clock, 400);
 * const heldUpMs = watch.recordTurn();
 * if (!watch.isReading) {
 *     giveUpSilentCalls();
 * }
 */
export class TurnWatch {
    private lastTurnAtMs: number;
    private readsUntilMs = 0;

    /**
     * @param clock Clock of the turns.
     * @param minHoldUpMs Time between two turns from which the node was held up, in milliseconds; a multiple of the usual one.
     */
    constructor(private readonly clock: Clock, private readonly minHoldUpMs: number) {
        this.lastTurnAtMs = clock.now();
    }

    /**
     * Records a turn.
     *
     * @returns Time for which the node was held up before it, in milliseconds; 0 if it was not.
     */
    recordTurn(): number {
        const now = this.clock.now();
        const heldUpMs = now - this.lastTurnAtMs;
        this.lastTurnAtMs = now;
        if (heldUpMs < this.minHoldUpMs) {
            return 0;
        }
        this.readsUntilMs = now + READING_MS;
        return heldUpMs;
    }

    /** Records that the task had nothing to do until now. */
    skipTurns(): void {
        this.lastTurnAtMs = this.clock.now();
    }

    /** Whether the node may not have read yet what arrived while it was held up. */
    get isReading(): boolean {
        return this.clock.now() < this.readsUntilMs;
    }
}
