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
    private currentScore = 0;

    /** From 0, healthy, to {@linkcode MAX_LOCAL_HEALTH_SCORE}. */
    get score(): number {
        return this.currentScore;
    }

    /** Factor for timeouts and intervals. */
    get timeoutMultiplier(): number {
        return 1 + this.currentScore;
    }

    /** Takes a sign that this node is slow, cut off or accused. */
    worsen(): void {
        this.currentScore = Math.min(MAX_LOCAL_HEALTH_SCORE, this.currentScore + 1);
    }

    /** Takes a probe that was answered in time. */
    improve(): void {
        this.currentScore = Math.max(0, this.currentScore - 1);
    }
}
