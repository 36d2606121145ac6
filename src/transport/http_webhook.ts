/**
 * Delivery of webhook events over HTTP.
 *
 * @module
 */

import { request } from "undici";
import { Webhook, type WebhookEvent } from "../protocol/mod.js";

/** Timeout for the receiver's answer, in milliseconds. */
const ANSWER_TIMEOUT_MS = 5_000;

/** Lowest HTTP status that counts as a failed delivery; redirects are not followed. */
const MIN_ERROR_STATUS = 300;

/** Sends events to a receiver as JSON with `POST`. The header `foxtailrail-event-id` repeats the stable id of the event. */
export class HttpWebhook extends Webhook {
    /** @param url URL of the receiver. */
    constructor(private readonly url: string) {
        super();
    }

    override async deliver(event: WebhookEvent): Promise<void> {
        const response = await request(this.url, {
            method: "POST",
            headers: { "content-type": "application/json", "foxtailrail-event-id": event.id },
            body: JSON.stringify(event),
            headersTimeout: ANSWER_TIMEOUT_MS,
            bodyTimeout: ANSWER_TIMEOUT_MS,
        });
        await response.body.dump();
        if (response.statusCode >= MIN_ERROR_STATUS) {
            throw new Error(`Cannot deliver event to ${this.url}: status ${response.statusCode}`);
        }
    }
}
