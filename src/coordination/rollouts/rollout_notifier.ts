/**
 * Telling of a webhook receiver that a rollout is done, was rolled back or is late.
 *
 * Every node reads the event in the log; the nodes take turns in the order of their ids, and the first one whose delivery succeeds
 * writes that into the log. A node that dies leaves the event to the next one. Two nodes may deliver the same event when an answer
 * or a record is slow; its stable id lets the receiver drop the second.
 *
 * @module
 */

import { runEffects, tap } from "@most/core";
import { newDefaultScheduler } from "@most/scheduler";
import { RolloutRecordKind, type Webhook, type WebhookEvent } from "../../protocol/mod.js";
import { type Clock, type EventRing, Part } from "../../state/mod.js";
import type { AppliedRecord, RolloutFollower } from "./rollout_follower.js";

/** Time that each node waits for the one before it, in milliseconds. */
const TURN_INTERVAL_MS = 5_000;

/** Longest wait for the nodes before, in milliseconds. */
const MAX_TURN_DELAY_MS = 60_000;

/** Time before the second attempt, which is doubled for each further one, and its limit, in milliseconds. */
const FIRST_RETRY_DELAY_MS = 1_000;
const MAX_RETRY_DELAY_MS = 60_000;

/** Time for which delivery is tried, in milliseconds. */
const GIVE_UP_AFTER_MS = 86_400_000;

/** Settings of a {@linkcode RolloutNotifier}. */
export interface RolloutNotifierSettings {
    readonly node: string;
    readonly clock: Clock;
    readonly ring: EventRing;
    readonly follower: RolloutFollower;
    readonly webhook: Webhook;
    /** Returns the ids of the other entry VMs. */
    readonly peers: () => readonly { readonly id: string }[];
}

/** Delivers events to a webhook receiver. */
export class RolloutNotifier {
    private readonly stopped = new AbortController();

    /** @param settings See {@linkcode RolloutNotifierSettings}. */
    constructor(private readonly settings: RolloutNotifierSettings) {
        const take = (read: AppliedRecord) => {
            const event = toEvent(read);
            if (event !== undefined) {
                void this.deliver(event);
            }
        };
        void runEffects(tap(take, settings.follower.applied), newDefaultScheduler());
    }

    /** Ends all deliveries. */
    stop(): void {
        this.stopped.abort();
    }

    private async deliver(event: WebhookEvent): Promise<void> {
        const { clock, webhook, follower, node, peers } = this.settings;
        const { signal } = this.stopped;
        const place = peers().filter(peer => peer.id < node).length;
        await clock.sleep(Math.min(MAX_TURN_DELAY_MS, place * TURN_INTERVAL_MS), signal);
        const giveUpAtMs = clock.now() + GIVE_UP_AFTER_MS;
        let delayMs = FIRST_RETRY_DELAY_MS;
        while (!signal.aborted && !follower.registry.isDelivered(event.id) && clock.now() < giveUpAtMs) {
            try {
                await webhook.deliver(event);
                const id = `${event.id}-told`;
                await follower.commit({ kind: RolloutRecordKind.Told, id, author: node, eventId: event.id }, signal);
                return;
            }
            catch (error) {
                const text = `Event ${event.id} was not delivered: ${(error as Error).message}.`;
                this.settings.ring.record({ part: Part.Rollout, kind: "deliveryFailed", text });
            }
            await clock.sleep(delayMs, signal);
            delayMs = Math.min(MAX_RETRY_DELAY_MS, 2 * delayMs);
        }
    }
}

function toEvent({ record, rollout }: AppliedRecord): WebhookEvent | undefined {
    if (rollout === undefined) {
        return undefined;
    }
    const { id, pool, version } = rollout;
    const event = { id: `${id}/${record.kind}`, kind: record.kind, rollout: id, pool, version };
    switch (record.kind) {
        case RolloutRecordKind.RolledBack:
        case RolloutRecordKind.Late:
            return { ...event, reason: record.reason };
        case RolloutRecordKind.Done:
            return { ...event, reason: record.evidence };
        default:
            return undefined;
    }
}
