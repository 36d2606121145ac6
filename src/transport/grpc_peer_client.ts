/**
 * gRPC client for membership and dissemination between daemons.
 *
 * @module
 */

import { type ChannelCredentials, credentials, Metadata, type ServiceError } from "@grpc/grpc-js";
import { PeerClient, PeerError, wire } from "../protocol/mod.js";
import { PEER_DNS_NAME } from "./certificate_files.js";

/** Maximum backoff between two connection attempts, in milliseconds. */
const MAX_RECONNECT_DELAY_MS = 1_000;

/** Maximum number of channels to other daemons; the least recently used one is closed first. */
export const MAX_PEER_CHANNELS = 64;

/** Callback of a unary call in the gRPC library. */
type UnaryCallback<Reply> = (error: ServiceError | null, reply: Reply) => void;

/** Keeps one channel to each of the daemons that were called most recently. */
export class GrpcPeerClient extends PeerClient {
    private readonly clients = new Map<string, wire.PeerClient>();

    /** @param channelCredentials Credentials of the channels. Defaults to plain text without TLS. */
    constructor(private readonly channelCredentials: ChannelCredentials = credentials.createInsecure()) {
        super();
    }

    /** Number of open channels. */
    get channels(): number {
        return this.clients.size;
    }

    override probe(address: string, request: wire.ProbeRequest, timeoutMs: number): Promise<wire.ProbeReply> {
        return this.call(
            "probe",
            address,
            (client, done) => client.probe(request, new Metadata(), deadlineOptions(timeoutMs), done),
        );
    }

    override probeIndirectly(address: string, request: wire.RelayRequest, timeoutMs: number): Promise<wire.RelayReply> {
        return this.call("relay through", address, (client, done) => {
            client.relay(request, new Metadata(), deadlineOptions(timeoutMs), done);
        });
    }

    override exchange(address: string, request: wire.ExchangeRequest, timeoutMs: number): Promise<wire.ExchangeReply> {
        return this.call("exchange with", address, (client, done) => {
            client.exchange(request, new Metadata(), deadlineOptions(timeoutMs), done);
        });
    }

    /** Closes the channels to all addresses that are not in the set, such as those of former members. */
    retain(addresses: ReadonlySet<string>): void {
        for (const address of this.clients.keys()) {
            if (!addresses.has(address)) {
                this.closeChannel(address);
            }
        }
    }

    /** Closes all channels. */
    close(): void {
        this.retain(new Set());
    }

    private call<Reply>(
        step: string,
        address: string,
        start: (client: wire.PeerClient, done: UnaryCallback<Reply>) => void,
    ): Promise<Reply> {
        return new Promise((resolve, reject) => {
            start(this.client(address), (error, reply) => {
                if (error) {
                    reject(new PeerError(step, address, error));
                    return;
                }
                resolve(reply);
            });
        });
    }

    private client(address: string): wire.PeerClient {
        const client = this.clients.get(address) ?? this.open(address);
        // Reinserting keeps the map in order of use, with the least recently used channel first.
        this.clients.delete(address);
        this.clients.set(address, client);
        return client;
    }

    private open(address: string): wire.PeerClient {
        const [leastRecentlyUsed] = this.clients.keys();
        if (this.clients.size >= MAX_PEER_CHANNELS) {
            this.closeChannel(leastRecentlyUsed);
        }
        return new wire.PeerClient(address, this.channelCredentials, {
            "grpc.max_reconnect_backoff_ms": MAX_RECONNECT_DELAY_MS,
            "grpc.use_local_subchannel_pool": 1,
            // Certificates carry a name for all daemons, because the addresses of VMs change.
            "grpc.ssl_target_name_override": PEER_DNS_NAME,
        });
    }

    private closeChannel(address: string): void {
        this.clients.get(address)?.close();
        this.clients.delete(address);
    }
}

function deadlineOptions(timeoutMs: number): { readonly deadline: number } {
    return { deadline: Date.now() + timeoutMs };
}
