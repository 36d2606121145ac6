/**
 * Notifies a webhook receiver when a rollout is done, was rolled back or is late.
 *
 * Every node reads the event from the log. The nodes try to deliver it in the order of their ids, and the first that succeeds
 * records the delivery in the log. If a node fails, the next one delivers the event. Two nodes may deliver the same event if an
 * answer or a record is delayed; the event's stable id lets the receiver discard the duplicate.
 *
 * @module
 */

import { runEffects, tap } from "@most/core";
import { newDefaultScheduler } from "@most/scheduler";
import { RolloutRecordKind, type Webhook, type WebhookEvent } from "../../protocol/mod.js";
import { type Clock, type EventRing, Part } from "../../state/mod.js";
import type { AppliedRecord, RolloutFollower } from "./rollout_follower.js";

/** Delay of each node after the previous one, in milliseconds. */
const TURN_INTERVAL_MS = 5_000;

/** Maximum delay of a node after the first one, in milliseconds. */
const MAX_TURN_DELAY_MS = 60_000;

/** Initial retry delay, which doubles with each attempt, and its maximum, in milliseconds. */
const FIRST_RETRY_DELAY_MS = 1_000;
const MAX_RETRY_DELAY_MS = 60_000;

/** Time after which delivery is given up, in milliseconds. */
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
        const deliverEvent = (applied: AppliedRecord) => {
            const event = toEvent(applied);
            if (event !== undefined) {
                void this.deliver(event);
            }
        };
        void runEffects(tap(deliverEvent, settings.follower.applied), newDefaultScheduler());
    }

    /** Stops all deliveries. */
    stop(): void {
        this.stopped.abort();
    }

    private async deliver(event: WebhookEvent): Promise<void> {
        const { clock, webhook, follower, node, peers } = this.settings;
        const { signal } = this.stopped;
        const position = peers().filter(peer => peer.id < node).length;
        await clock.sleep(Math.min(MAX_TURN_DELAY_MS, position * TURN_INTERVAL_MS), signal);
        const giveUpAtMs = clock.now() + GIVE_UP_AFTER_MS;
        let delayMs = FIRST_RETRY_DELAY_MS;
        while (!signal.aborted && !follower.registry.isDelivered(event.id) && clock.now() < giveUpAtMs) {
            try {
                await webhook.deliver(event);
                const id = `${event.id}-told`;
                await follower.commit({ kind: RolloutRecordKind.EventDelivered, id, author: node, eventId: event.id }, signal);
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
