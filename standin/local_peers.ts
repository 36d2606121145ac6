/**
 * Network between daemons in one process, with delays, cuts of one direction, and pauses.
 *
 * @module
 */

import { PeerClient, PeerError, type PeerHandler, wire } from "../src/protocol/mod.js";
import type { Clock } from "../src/state/mod.js";
import { PausableClock } from "./pausable_clock.js";

/** Time that a message takes one way, in milliseconds. */
const DEFAULT_DELAY_MS = 1;

/** Codec of one message. */
interface Codec<Message> {
    encode(message: Message): { finish(): Uint8Array };
    decode(bytes: Uint8Array): Message;
}

/** Process that answers at an address. */
interface Endpoint {
    readonly handler: PeerHandler;
    readonly clock: PausableClock;
}

/** Messages from and to one address. */
export interface Traffic {
    sentBytes: number;
    /** Messages with values or news; probes are left out. */
    exchanges: number;
}

/** Decides whether a message gets through. */
export type DropRule = (from: string, to: string) => boolean;

/** Network whose messages are encoded, delayed and cut. */
export class LocalPeerNetwork {
    /** Time that a message takes one way, in milliseconds. */
    delayMs = DEFAULT_DELAY_MS;
    /** Cuts in force; a message is lost when one of them is true. */
    readonly dropRules = new Set<DropRule>();
    private readonly endpoints = new Map<string, Endpoint>();
    private readonly traffic = new Map<string, Traffic>();

    /** @param clock Clock that delays are measured by. */
    constructor(readonly clock: Clock) {}

    /** Answers calls to an address from now on. */
    serve(address: string, handler: PeerHandler, clock = new PausableClock(this.clock)): void {
        this.endpoints.set(address, { handler, clock });
    }

    /** Ends the process at an address. */
    stop(address: string): void {
        this.endpoints.delete(address);
    }

    /** Returns a client that calls from an address. */
    connect(address: string, clock = new PausableClock(this.clock)): PeerClient {
        return new LocalPeerClient(this, address, clock);
    }

    /** Bytes and exchanges that an address has sent. */
    trafficOf(address: string): Traffic {
        let traffic = this.traffic.get(address);
        if (traffic === undefined) {
            traffic = { sentBytes: 0, exchanges: 0 };
            this.traffic.set(address, traffic);
        }
        return traffic;
    }

    /** Returns the process at an address if a message gets there. */
    async deliver(from: string, to: string): Promise<Endpoint | undefined> {
        await this.clock.sleep(this.delayMs);
        const endpoint = this.endpoints.get(to);
        if (endpoint === undefined || this.isDropped(from, to)) {
            return undefined;
        }
        await endpoint.clock.awaitRunning();
        return endpoint;
    }

    /** Tells whether a message is lost. */
    isDropped(from: string, to: string): boolean {
        return [...this.dropRules].some(cut => cut(from, to));
    }
}

/** Client of one process. */
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
        const ended = new AbortController();
        const timeout = this.clock.sleep(timeoutMs, ended.signal).then(() => undefined);
        const reply = await Promise.race([this.roundTrip(address, answer), timeout]);
        ended.abort();
        if (reply === undefined) {
            throw new PeerError(step, address, new Error(`no answer within ${timeoutMs} ms`));
        }
        return reply;
    }

    /** Carries a call there and its reply back; a lost message leaves the call without an end. */
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
