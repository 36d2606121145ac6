/**
 * Ring buffer of the events of a node, the source of the event timeline.
 *
 * @module
 */

import { createAdapter } from "@most/adapter";
import type { Stream } from "@most/types";
import type { HybridClock, HybridTime } from "./hybrid_clock.js";

/** Default capacity of the ring, in events; the oldest event is overwritten first. */
export const MAX_RING_EVENTS = 20_000;

/** Component that records an event. */
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

/** Event as described by the component that records it. */
export interface EventDetail {
    /** Component that records the event. */
    readonly part: Part;
    /** Kind of event in camelCase, such as `dispatched`. */
    readonly kind: string;
    /** Short human-readable sentence. */
    readonly text: string;
    /** Request that the event belongs to. */
    readonly requestId?: string;
    /** Rollout that the event belongs to. */
    readonly rollout?: string;
    /** Whether the event is logged as a warning. Defaults to `false`. */
    readonly warning?: boolean;
    /** Remote party of the event: a backend server, a node or a platform service. */
    readonly peer?: string;
}

/** Event of one node with the hybrid time that orders it among the events of all nodes. */
export interface TimelineEvent extends EventDetail {
    readonly time: HybridTime;
    readonly node: string;
}

/** Settings of an {@linkcode EventRing}. */
export interface EventRingSettings {
    /** Capacity of the ring, in events. Defaults to {@linkcode MAX_RING_EVENTS}. */
    readonly maxEvents?: number;
}

/**
 * Keeps the most recent events of a node and publishes new ones as a stream.
 *
 * @example
 * const ring = new EventRing("entry-1", new HybridClock(clock));
 * ring.record({ part: Part.Daemon, kind: "started", text: "The daemon has started." });
 */
export class EventRing {
    /** Emits each event when it is recorded. */
    readonly events: Stream<TimelineEvent>;
    private readonly publish: (event: TimelineEvent) => void;
    private readonly maxEvents: number;
    private readonly buffer: TimelineEvent[] = [];
    private oldestIndex = 0;

    /**
     * @param node Name of the node that records the events.
     * @param clock Clock that timestamps the events.
     * @param settings Limits, see {@linkcode EventRingSettings}.
     */
    constructor(readonly node: string, private readonly clock: HybridClock, settings: EventRingSettings = {}) {
        this.maxEvents = settings.maxEvents ?? MAX_RING_EVENTS;
        [this.publish, this.events] = createAdapter<TimelineEvent>();
    }

    /** Number of events in the ring. */
    get size(): number {
        return this.buffer.length;
    }

    /**
     * Records an event with the current time.
     *
     * @param detail Description of the event.
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

    /** Returns the events in the ring, oldest first. */
    list(): readonly TimelineEvent[] {
        return [...this.buffer.slice(this.oldestIndex), ...this.buffer.slice(0, this.oldestIndex)];
    }
}
