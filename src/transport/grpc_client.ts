/**
 * gRPC connections to other daemons.
 *
 * @module
 */

import { type ChannelCredentials, credentials, Metadata } from "@grpc/grpc-js";
import { PeerClient, PeerError, wire } from "../protocol/mod.js";

/** Longest time between two attempts to connect, in milliseconds. */
const MAX_RECONNECT_DELAY_MS = 1_000;

/** Keeps one channel for each daemon. */
export class GrpcPeerClient extends PeerClient {
    private readonly clients = new Map<string, wire.PeerClient>();

    /** @param channelCredentials Credentials of the channels. Defaults to plain text. */
    constructor(private readonly channelCredentials: ChannelCredentials = credentials.createInsecure()) {
        super();
    }

    override probe(address: string, request: wire.ProbeRequest, timeoutMs: number): Promise<wire.ProbeReply> {
        return new Promise((resolve, reject) => {
            this.client(address).probe(request, new Metadata(), { deadline: Date.now() + timeoutMs }, (error, reply) => {
                if (error) {
                    reject(new PeerError("probe", address, error));
                    return;
                }
                resolve(reply);
            });
        });
    }

    /** Closes the channels to daemons that are not members any more. */
    retain(addresses: ReadonlySet<string>): void {
        for (const [address, client] of this.clients) {
            if (!addresses.has(address)) {
                this.clients.delete(address);
                client.close();
            }
        }
    }

    /** Closes all channels. */
    close(): void {
        this.retain(new Set());
    }

    private client(address: string): wire.PeerClient {
        let client = this.clients.get(address);
        if (client === undefined) {
            client = new wire.PeerClient(address, this.channelCredentials, {
                "grpc.max_reconnect_backoff_ms": MAX_RECONNECT_DELAY_MS,
                "grpc.use_local_subchannel_pool": 1,
            });
            this.clients.set(address, client);
        }
        return client;
    }
}
