/**
 * Handlers of calls from other daemons and from operators.
 *
 * @module
 */

import type { EventRecord, ReadTimelineRequest, StatusReply } from "./gen/operator.js";
import type { ExchangeReply, ExchangeRequest, ProbeReply, ProbeRequest, RelayReply, RelayRequest } from "./gen/peer.js";

/** Handles membership and gossip calls from other daemons. */
export abstract class PeerHandler {
    /** Answers a probe, which shows that this daemon is alive. */
    abstract probe(request: ProbeRequest): Promise<ProbeReply>;

    /** Probes another daemon on behalf of the requesting one. */
    abstract probeIndirectly(request: RelayRequest): Promise<RelayReply>;

    /** Receives shared values and returns those of which this daemon has a newer version. */
    abstract exchange(request: ExchangeRequest): Promise<ExchangeReply>;
}

/** Output stream for timeline events. */
export interface TimelineFeed {
    /** Sends one event. Returns `false` when the sender should wait for `onDrain` before it sends more. */
    send(event: EventRecord): boolean;
    /** Ends the feed. */
    end(): void;
    /** Calls the listener when the buffered events have been written out. */
    onDrain(listener: () => void): void;
    /** Calls the listener when the reader disconnects. */
    onClose(listener: () => void): void;
}

/** Handles calls from operators, whom the transport has authenticated by their keys. */
export abstract class OperatorHandler {
    /** Returns the current status of the daemon. */
    abstract readStatus(): Promise<StatusReply>;

    /** Sends the stored events, followed by new events if the request asks to follow. */
    abstract readTimeline(request: ReadTimelineRequest, feed: TimelineFeed): void;
}
