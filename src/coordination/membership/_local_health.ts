/**
 * Local health of this node, which keeps a slow node from suspecting healthy members.
 *
 * After Dadgar, Phillips and Currey, "Lifeguard: Local Health Awareness for More Accurate Failure Detection" (2018), section 4.1.
 *
 * @module
 */

/** Highest, and so unhealthiest, local health score. */
export const MAX_LOCAL_HEALTH_SCORE = 8;

/** Score that rises while this node is slow and lengthens its timeouts. */
export class LocalHealth {
    private currentScore = 0;

    /** Score from 0 (healthy) to {@linkcode MAX_LOCAL_HEALTH_SCORE}. */
    get score(): number {
        return this.currentScore;
    }

    /** Local health multiplier of probe timeouts and probe intervals. */
    get timeoutMultiplier(): number {
        return 1 + this.currentScore;
    }

    /** Raises the score after evidence that this node is slow, isolated or suspected by others. */
    worsen(): void {
        this.currentScore = Math.min(MAX_LOCAL_HEALTH_SCORE, this.currentScore + 1);
    }

    /** Lowers the score after a probe that was answered in time. */
    improve(): void {
        this.currentScore = Math.max(0, this.currentScore - 1);
    }
}
