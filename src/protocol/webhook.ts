/**
 * Webhooks that notify receivers of rollout events.
 *
 * @module
 */

/** Event that is delivered to a webhook receiver. */
export interface WebhookEvent {
    /** Stable id: every copy of the event has the same id, whichever node sends it, so that receivers can discard duplicates. */
    readonly id: string;
    /** Kind of event, such as `done`, `rolledBack` or `late`. */
    readonly kind: string;
    readonly rollout: string;
    readonly pool: string;
    readonly version: string;
    /** Short human-readable description. */
    readonly reason: string;
}

/** Client for a webhook receiver. */
export abstract class Webhook {
    /**
     * Delivers an event.
     *
     * @throws {Error} When the receiver did not confirm the event; it may have been delivered nevertheless.
     */
    abstract deliver(event: WebhookEvent): Promise<void>;
}

/** Webhook without a receiver, which discards events. */
export class NoopWebhook extends Webhook {
    override async deliver(): Promise<void> {
        // No receiver is configured.
    }
}
