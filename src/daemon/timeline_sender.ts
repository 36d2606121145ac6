/**
 * Sending of events to a reader of the time line, who may be slow.
 *
 * @module
 */

import type { TimelineFeed, wire } from "../protocol/mod.js";

/** New events that wait for one reader; further ones are dropped and counted. */
export const MAX_WAITING_EVENTS = 1_000;

/** Kind of the event that tells a reader how many were dropped. */
export const DROPPED_KIND = "dropped";

/** Settings of a {@linkcode TimelineSender}. */
export interface TimelineSenderSettings {
    readonly feed: TimelineFeed;
    /** Events kept so far, which are sent first. They are in memory anyway, so that none of them is dropped. */
    readonly backlog: readonly wire.EventRecord[];
    /** Makes the event that tells how many were dropped. */
    readonly describeDropped: (count: number) => wire.EventRecord;
    /** Whether the feed ends after the backlog. */
    readonly endsAfterBacklog: boolean;
    /** New events that may wait. Defaults to {@linkcode MAX_WAITING_EVENTS}. */
    readonly maxWaiting?: number;
}

/** Sends events only as fast as their reader takes them. */
export class TimelineSender {
    private readonly maxWaiting: number;
    private sent = 0;
    private waiting: wire.EventRecord[] = [];
    private dropped = 0;
    private blocked = false;
    private open = true;

    /** @param settings See {@linkcode TimelineSenderSettings}. */
    constructor(private readonly settings: TimelineSenderSettings) {
        this.maxWaiting = settings.maxWaiting ?? MAX_WAITING_EVENTS;
        settings.feed.onDrain(() => {
            this.blocked = false;
            this.pump();
        });
        settings.feed.onClose(() => {
            this.open = false;
            this.waiting = [];
        });
        this.pump();
    }

    /** Whether the reader is still there. */
    get isOpen(): boolean {
        return this.open;
    }

    /** Takes a new event; drops it when too many wait already. */
    offer(event: wire.EventRecord): void {
        if (this.waiting.length >= this.maxWaiting) {
            this.dropped += 1;
            return;
        }
        this.waiting.push(event);
        this.pump();
    }

    private pump(): void {
        const { feed, backlog, endsAfterBacklog } = this.settings;
        while (this.open && !this.blocked && this.sent < backlog.length) {
            this.send(backlog[this.sent]);
            this.sent += 1;
        }
        if (endsAfterBacklog && this.open && this.sent === backlog.length) {
            this.open = false;
            feed.end();
        }
        while (this.open && !this.blocked && this.waiting.length > 0) {
            this.send(this.waiting.shift() as wire.EventRecord);
        }
        if (this.open && !this.blocked && this.dropped > 0) {
            const count = this.dropped;
            this.dropped = 0;
            this.send(this.settings.describeDropped(count));
        }
    }

    private send(event: wire.EventRecord): void {
        this.blocked = !this.settings.feed.send(event);
    }
}
