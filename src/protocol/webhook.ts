/**
 * Webhooks that tell receivers of rollouts.
 *
 * @module
 */

/** Event that a receiver is told of. */
export interface WebhookEvent {
    /** Stable id: every copy of the event carries the same one, whichever node sends it. */
    readonly id: string;
    /** Kind of event, such as `done`, `rolledBack` or `late`. */
    readonly kind: string;
    readonly rollout: string;
    readonly pool: string;
    readonly version: string;
    /** Short sentence for people. */
    readonly reason: string;
}

/** Connection to a webhook receiver. */
export abstract class Webhook {
    /**
     * Delivers an event.
     *
     * @throws {Error} When the receiver did not take it; it can have come all the same.
     */
    abstract deliver(event: WebhookEvent): Promise<void>;
}

/** Tells nobody. */
export class NoopWebhook extends Webhook {
    override async deliver(): Promise<void> {
        // There is no receiver.
    }
}
