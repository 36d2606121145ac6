/**
 * Bounded memory of what a node did, the source of the event time line.
 *
 * @module
 */

import { createAdapter } from "@most/adapter";
import type { Stream } from "@most/types";
import type { HybridClock, HybridTime } from "./hybrid_clock.js";

/** Events that a node keeps; the oldest is dropped first. */
export const MAX_RING_EVENTS = 20_000;

/** Part of the system that records an event. */
export enum Part {
    Caller = "caller",
    Schedule = "schedule",
    Dispatch = "dispatch",
    Claim = "claim",
    Configuration = "configuration",
    Rollout = "rollout",
    Order = "order",
    Member = "member",
    Daemon = "daemon",
}

/** What a part says of an event. */
export interface EventDetail {
    /** Part that records the event. */
    readonly part: Part;
    /** Kind of event in camelCase, such as `dispatched`. */
    readonly kind: string;
    /** Short sentence for people. */
    readonly text: string;
    /** Request that the event belongs to. */
    readonly requestId?: string;
    /** Rollout that the event belongs to. */
    readonly rollout?: string;
    /** Whether the event is logged as a warning. Defaults to `false`. */
    readonly warning?: boolean;
    /** Peer of the event: a backend server, a node or a platform service. */
    readonly peer?: string;
}

/** Event of one node with its place in the common order. */
export interface TimelineEvent extends EventDetail {
    readonly time: HybridTime;
    readonly node: string;
}

/** Settings of an {@linkcode EventRing}. */
export interface EventRingSettings {
    /** Events kept. Defaults to {@linkcode MAX_RING_EVENTS}. */
    readonly maxEvents?: number;
}

/**
 * Keeps the last events of a node and offers new ones as a stream.
 *
 * @example
 * const ring = new EventRing("entry-1", new HybridClock(clock));
 * ring.record({ part: Part.Daemon, kind: "started", text: "The daemon has started." });
 */
export class EventRing {
    /** Events as they are recorded. */
    readonly events: Stream<TimelineEvent>;
    private readonly publish: (event: TimelineEvent) => void;
    private readonly maxEvents: number;
    private readonly buffer: TimelineEvent[] = [];
    private oldestIndex = 0;

    /**
     * @param node Node whose events these are.
     * @param clock Clock that gives events their place.
     * @param settings Limits, see {@linkcode EventRingSettings}.
     */
    constructor(readonly node: string, private readonly clock: HybridClock, settings: EventRingSettings = {}) {
        this.maxEvents = settings.maxEvents ?? MAX_RING_EVENTS;
        [this.publish, this.events] = createAdapter<TimelineEvent>();
    }

    /** Number of events kept now. */
    get size(): number {
        return this.buffer.length;
    }

    /**
     * Records an event at the present time.
     *
     * @param detail What happened.
     */
    record(detail: EventDetail): void {
        const event: TimelineEvent = { ...detail, time: this.clock.tick(), node: this.node };
        if (this.buffer.length < this.maxEvents) {
            this.buffer.push(event);
        }
        else {
            this.buffer[this.oldestIndex] = event;
            this.oldestIndex = (this.oldestIndex + 1) % this.maxEvents;
        }
        this.publish(event);
    }

    /** Returns the events kept, oldest first. */
    list(): readonly TimelineEvent[] {
        return [...this.buffer.slice(this.oldestIndex), ...this.buffer.slice(0, this.oldestIndex)];
    }
}
