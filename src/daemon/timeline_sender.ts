/**
 * Sending of events to a reader of the time line, who may be slow.
 *
 * @module
 */

import type { TimelineFeed, wire } from "../protocol/mod.js";

/** New events that wait for one reader; further ones are dropped and counted. */
export const MAX_QUEUED_EVENTS = 1_000;

/** Kind of the event that tells a reader how many were dropped. */
export const DROPPED_EVENT_KIND = "dropped";

/** Settings of a {@linkcode TimelineSender}. */
export interface TimelineSenderSettings {
    readonly feed: TimelineFeed;
    /** Events kept so far, which are sent first. They are in memory anyway, so that none of them is dropped. */
    readonly backlog: readonly wire.EventRecord[];
    /** Makes the event that tells how many were dropped. */
    readonly makeDroppedEvent: (count: number) => wire.EventRecord;
    /** Whether the feed ends after the backlog. */
    readonly endsAfterBacklog: boolean;
    /** New events that may wait. Defaults to {@linkcode MAX_QUEUED_EVENTS}. */
    readonly maxQueued?: number;
}

/** Sends events only as fast as their reader takes them. */
export class TimelineSender {
    private readonly maxQueued: number;
    private sentFromBacklog = 0;
    private queue: wire.EventRecord[] = [];
    private droppedCount = 0;
    private blocked = false;
    private open = true;

    /** @param settings See {@linkcode TimelineSenderSettings}. */
    constructor(private readonly settings: TimelineSenderSettings) {
        this.maxQueued = settings.maxQueued ?? MAX_QUEUED_EVENTS;
        settings.feed.onDrain(() => {
            this.blocked = false;
            this.flush();
        });
        settings.feed.onClose(() => {
            this.open = false;
            this.queue = [];
        });
        this.flush();
    }

    /** Whether the reader is still there. */
    get isOpen(): boolean {
        return this.open;
    }

    /** Takes a new event; drops it when too many wait already. */
    offer(event: wire.EventRecord): void {
        if (this.queue.length >= this.maxQueued) {
            this.droppedCount += 1;
            return;
        }
        this.queue.push(event);
        this.flush();
    }

    private flush(): void {
        const { feed, backlog, endsAfterBacklog } = this.settings;
        while (this.open && !this.blocked && this.sentFromBacklog < backlog.length) {
            this.send(backlog[this.sentFromBacklog]);
            this.sentFromBacklog += 1;
        }
        if (endsAfterBacklog && this.open && this.sentFromBacklog === backlog.length) {
            this.open = false;
            feed.end();
        }
        while (this.open && !this.blocked && this.queue.length > 0) {
            this.send(this.queue.shift() as wire.EventRecord);
        }
        if (this.open && !this.blocked && this.droppedCount > 0) {
            const count = this.droppedCount;
            this.droppedCount = 0;
            this.send(this.settings.makeDroppedEvent(count));
        }
    }

    private send(event: wire.EventRecord): void {
        this.blocked = !this.settings.feed.send(event);
    }
}
