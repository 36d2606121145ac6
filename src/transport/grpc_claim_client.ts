/**
 * gRPC client for the claim combiners of other daemons.
 *
 * @module
 */

import { type ChannelCredentials, credentials, Metadata } from "@grpc/grpc-js";
import { ClaimClient, ClaimPeerError, claimWire } from "../protocol/mod.js";
import { PEER_DNS_NAME } from "./certificate_files.js";

/** Maximum backoff between two connection attempts, in milliseconds. */
const MAX_RECONNECT_DELAY_MS = 1_000;

/** Maximum number of open channels; the oldest is closed first. */
const MAX_CHANNELS = 512;

/** Keeps one channel to each daemon that combines claims of this node. */
export class GrpcClaimClient extends ClaimClient {
    private readonly clients = new Map<string, claimWire.ClaimPeerClient>();

    /** @param channelCredentials Credentials of the channels. Defaults to plain text without TLS. */
    constructor(private readonly channelCredentials: ChannelCredentials = credentials.createInsecure()) {
        super();
    }

    override async commit(
        address: string,
        request: claimWire.CommitClaimRequest,
        timeoutMs: number,
    ): Promise<claimWire.ClaimVerdict> {
        const client = this.client(address);
        const deadline = Date.now() + timeoutMs;
        await awaitConnected(client, address, deadline);
        return new Promise((resolve, reject) => {
            client.commit(request, new Metadata(), { deadline }, (error, verdict) => {
                if (error) {
                    reject(new ClaimPeerError(address, true, error));
                    return;
                }
                resolve(verdict);
            });
        });
    }

    /** Closes all channels. */
    close(): void {
        for (const client of this.clients.values()) {
            client.close();
        }
        this.clients.clear();
    }

    private client(address: string): claimWire.ClaimPeerClient {
        let client = this.clients.get(address);
        if (client === undefined) {
            this.evictOldest();
            client = new claimWire.ClaimPeerClient(address, this.channelCredentials, {
                "grpc.max_reconnect_backoff_ms": MAX_RECONNECT_DELAY_MS,
                "grpc.use_local_subchannel_pool": 1,
                "grpc.ssl_target_name_override": PEER_DNS_NAME,
            });
            this.clients.set(address, client);
        }
        return client;
    }

    private evictOldest(): void {
        const [oldest] = this.clients;
        if (this.clients.size >= MAX_CHANNELS && oldest !== undefined) {
            const [address, client] = oldest;
            this.clients.delete(address);
            client.close();
        }
    }
}

/** Waits until the channel is connected. A call that fails before the connection exists is certain not to have been sent. */
function awaitConnected(client: claimWire.ClaimPeerClient, address: string, deadline: number): Promise<void> {
    return new Promise((resolve, reject) => {
        client.waitForReady(deadline, error => {
            if (error) {
                reject(new ClaimPeerError(address, false, error));
                return;
            }
            resolve();
        });
    });
}
