/**
 * Peer client that accounts for every message in the node's byte budget.
 *
 * @module
 */

import { PeerClient, wire } from "../../protocol/mod.js";
import type { ByteBudget } from "./byte_budget.js";

/** Peer client that charges requests to the byte budget when they are sent and counts replies when they arrive. */
export class MeteredPeerClient extends PeerClient {
    /**
     * @param client Client that sends the messages.
     * @param budget Budget to charge.
     */
    constructor(private readonly client: PeerClient, private readonly budget: ByteBudget) {
        super();
    }

    override async probe(address: string, request: wire.ProbeRequest, timeoutMs: number): Promise<wire.ProbeReply> {
        this.budget.charge(wire.ProbeRequest.encode(request).finish().length);
        const reply = await this.client.probe(address, request, timeoutMs);
        this.budget.countReceived(wire.ProbeReply.encode(reply).finish().length);
        return reply;
    }

    override async probeIndirectly(address: string, request: wire.RelayRequest, timeoutMs: number): Promise<wire.RelayReply> {
        this.budget.charge(wire.RelayRequest.encode(request).finish().length);
        const reply = await this.client.probeIndirectly(address, request, timeoutMs);
        this.budget.countReceived(wire.RelayReply.encode(reply).finish().length);
        return reply;
    }

    override async exchange(address: string, request: wire.ExchangeRequest, timeoutMs: number): Promise<wire.ExchangeReply> {
        this.budget.charge(wire.ExchangeRequest.encode(request).finish().length);
        const reply = await this.client.exchange(address, request, timeoutMs);
        this.budget.countReceived(wire.ExchangeReply.encode(reply).finish().length);
        return reply;
    }
}
