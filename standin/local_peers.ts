/**
 * In-process network between daemons, with delays, asymmetric partitions and paused processes.
 *
 * @module
 */

import { PeerClient, PeerError, type PeerHandler, wire } from "../src/protocol/mod.js";
import type { Clock } from "../src/state/mod.js";
import { PausableClock } from "./pausable_clock.js";

/** Default one-way delay of a message, in milliseconds. */
const DEFAULT_DELAY_MS = 1;

/** Codec of one message type. */
interface Codec<Message> {
    encode(message: Message): { finish(): Uint8Array };
    decode(bytes: Uint8Array): Message;
}

/** Process that serves an address. */
interface Endpoint {
    readonly handler: PeerHandler;
    readonly clock: PausableClock;
}

/** Traffic that one address has sent; its replies to probes and relay requests are not counted. */
export interface Traffic {
    sentBytes: number;
    /** Number of exchanges of values or membership updates, without probes. */
    exchanges: number;
}

/** Returns whether a message from one address to another is dropped. */
export type DropRule = (from: string, to: string) => boolean;

/** Network that encodes, delays and drops messages. */
export class LocalPeerNetwork {
    /** One-way delay of a message, in milliseconds. */
    delayMs = DEFAULT_DELAY_MS;
    /** Active drop rules; a message is dropped when any of them matches. */
    readonly dropRules = new Set<DropRule>();
    private readonly endpoints = new Map<string, Endpoint>();
    private readonly traffic = new Map<string, Traffic>();

    /** @param clock Clock that times the delays. */
    constructor(readonly clock: Clock) {}

    /** Registers the handler that serves an address. */
    serve(address: string, handler: PeerHandler, clock = new PausableClock(this.clock)): void {
        this.endpoints.set(address, { handler, clock });
    }

    /** Stops serving an address; messages to it are lost. */
    stop(address: string): void {
        this.endpoints.delete(address);
    }

    /** Returns a client that calls from an address. */
    connect(address: string, clock = new PausableClock(this.clock)): PeerClient {
        return new LocalPeerClient(this, address, clock);
    }

    /** Returns the traffic counters of an address. */
    trafficOf(address: string): Traffic {
        let traffic = this.traffic.get(address);
        if (traffic === undefined) {
            traffic = { sentBytes: 0, exchanges: 0 };
            this.traffic.set(address, traffic);
        }
        return traffic;
    }

    /** Delivers a message; returns the process that receives it, or `undefined` when the message is lost. */
    async deliver(from: string, to: string): Promise<Endpoint | undefined> {
        await this.clock.sleep(this.delayMs);
        const endpoint = this.endpoints.get(to);
        if (endpoint === undefined || this.isDropped(from, to)) {
            return undefined;
        }
        await endpoint.clock.awaitRunning();
        return endpoint;
    }

    /** Returns whether a drop rule matches a message. */
    isDropped(from: string, to: string): boolean {
        return [...this.dropRules].some(matches => matches(from, to));
    }
}

/** Peer client of one process. */
class LocalPeerClient extends PeerClient {
    constructor(
        private readonly network: LocalPeerNetwork,
        private readonly address: string,
        private readonly clock: PausableClock,
    ) {
        super();
    }

    override probe(address: string, request: wire.ProbeRequest, timeoutMs: number): Promise<wire.ProbeReply> {
        const answer = async (handler: PeerHandler) => {
            const received = wire.ProbeRequest.decode(this.encodeSent(wire.ProbeRequest, request));
            return wire.ProbeReply.decode(wire.ProbeReply.encode(await handler.probe(received)).finish());
        };
        return this.call({ step: "probe", address, timeoutMs, answer });
    }

    override probeIndirectly(address: string, request: wire.RelayRequest, timeoutMs: number): Promise<wire.RelayReply> {
        const answer = async (handler: PeerHandler) => {
            const received = wire.RelayRequest.decode(this.encodeSent(wire.RelayRequest, request));
            return wire.RelayReply.decode(wire.RelayReply.encode(await handler.probeIndirectly(received)).finish());
        };
        return this.call({ step: "relay through", address, timeoutMs, answer });
    }

    override exchange(address: string, request: wire.ExchangeRequest, timeoutMs: number): Promise<wire.ExchangeReply> {
        const answer = async (handler: PeerHandler) => {
            this.network.trafficOf(this.address).exchanges += 1;
            const received = wire.ExchangeRequest.decode(this.encodeSent(wire.ExchangeRequest, request));
            const bytes = wire.ExchangeReply.encode(await handler.exchange(received)).finish();
            this.network.trafficOf(address).sentBytes += bytes.length;
            return wire.ExchangeReply.decode(bytes);
        };
        return this.call({ step: "exchange with", address, timeoutMs, answer });
    }

    private encodeSent<Message>(codec: Codec<Message>, message: Message): Uint8Array {
        const bytes = codec.encode(message).finish();
        this.network.trafficOf(this.address).sentBytes += bytes.length;
        return bytes;
    }

    private async call<Reply>({ step, address, timeoutMs, answer }: {
        readonly step: string;
        readonly address: string;
        readonly timeoutMs: number;
        readonly answer: (handler: PeerHandler) => Promise<Reply>;
    }): Promise<Reply> {
        const settled = new AbortController();
        const timeout = this.clock.sleep(timeoutMs, settled.signal).then(() => undefined);
        const reply = await Promise.race([this.roundTrip(address, answer), timeout]);
        settled.abort();
        if (reply === undefined) {
            throw new PeerError(step, address, new Error(`no answer within ${timeoutMs} ms`));
        }
        return reply;
    }

    /** Delivers a call and its reply; the promise never settles when either message is lost. */
    private async roundTrip<Reply>(address: string, answer: (handler: PeerHandler) => Promise<Reply>): Promise<Reply> {
        const endpoint = await this.network.deliver(this.address, address);
        if (endpoint === undefined) {
            return new Promise(() => undefined);
        }
        const reply = await answer(endpoint.handler);
        await this.network.clock.sleep(this.network.delayMs);
        if (this.network.isDropped(address, this.address)) {
            return new Promise(() => undefined);
        }
        await this.clock.awaitRunning();
        return reply;
    }
}
