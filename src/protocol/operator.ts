/**
 * What a daemon answers to other daemons and to operators.
 *
 * @module
 */

import type { EventRecord, ReadTimelineRequest, StatusReply } from "./gen/operator.js";
import type { ExchangeReply, ExchangeRequest, ProbeReply, ProbeRequest, RelayReply, RelayRequest } from "./gen/peer.js";

/** Answers other daemons. */
export abstract class PeerHandler {
    /** Answers that this daemon is alive. */
    abstract probe(request: ProbeRequest): Promise<ProbeReply>;

    /** Probes another daemon for the one that asks. */
    abstract probeIndirectly(request: RelayRequest): Promise<RelayReply>;

    /** Takes shared values and answers with newer ones. */
    abstract exchange(request: ExchangeRequest): Promise<ExchangeReply>;
}

/** Where the events of a time line go. */
export interface TimelineFeed {
    /** Sends one event; returns `false` when the reader should be given time until it has drained. */
    send(event: EventRecord): boolean;
    /** Ends the feed. */
    end(): void;
    /** Calls the listener when the reader has taken what was sent. */
    onDrain(listener: () => void): void;
    /** Calls the listener when the reader goes away. */
    onClose(listener: () => void): void;
}

/** Answers operators; the transport has checked their keys. */
export abstract class OperatorHandler {
    /** Describes the daemon as it is now. */
    abstract readStatus(): Promise<StatusReply>;

    /** Sends the events kept, then new ones if they are asked for. */
    abstract readTimeline(request: ReadTimelineRequest, feed: TimelineFeed): void;
}
