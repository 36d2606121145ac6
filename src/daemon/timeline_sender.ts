/**
 * Sending of timeline events to a reader, with backpressure.
 *
 * @module
 */

import type { TimelineFeed, wire } from "../protocol/mod.js";

/** Maximum number of new events queued for one reader; events beyond it are dropped and counted. */
export const MAX_QUEUED_EVENTS = 1_000;

/** Kind of the event that reports the number of dropped events. */
export const DROPPED_EVENT_KIND = "dropped";

/** Settings of a {@linkcode TimelineSender}. */
export interface TimelineSenderSettings {
    readonly feed: TimelineFeed;
    /** Past events, sent first. They are in memory already, so none of them is dropped. */
    readonly backlog: readonly wire.EventRecord[];
    /** Creates the event that reports the number of dropped events. */
    readonly makeDroppedEvent: (count: number) => wire.EventRecord;
    /** Whether the feed is closed after the backlog. */
    readonly endsAfterBacklog: boolean;
    /** Maximum number of queued new events. Defaults to {@linkcode MAX_QUEUED_EVENTS}. */
    readonly maxQueued?: number;
}

/** Sends events no faster than the reader consumes them. */
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

    /** Whether the feed is open: the reader is connected, and the feed has not ended. */
    get isOpen(): boolean {
        return this.open;
    }

    /** Sends or queues a new event; drops it if the queue is full. */
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
