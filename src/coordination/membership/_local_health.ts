/**
 * Health of this node itself, so that a slow node does not accuse others.
 *
 * After Dadgar, Phillips and Currey, "Lifeguard: Local Health Awareness for More Accurate Failure Detection" (2018), section 4.1.
 *
 * @module
 */

/** Worst score. */
export const MAX_LOCAL_HEALTH_SCORE = 8;

/** Score that rises while this node is slow and stretches its timeouts. */
export class LocalHealth {
    private value = 0;

    /** From 0, healthy, to {@linkcode MAX_LOCAL_HEALTH_SCORE}. */
    get score(): number {
        return this.value;
    }

    /** Factor for timeouts and intervals. */
    get factor(): number {
        return 1 + this.value;
    }

    /** Takes a sign that this node is slow, cut off or accused. */
    worsen(): void {
        this.value = Math.min(MAX_LOCAL_HEALTH_SCORE, this.value + 1);
    }

    /** Takes a probe that was answered in time. */
    improve(): void {
        this.value = Math.max(0, this.value - 1);
    }
}
