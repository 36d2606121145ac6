/**
 * gRPC client for fetching configuration from other daemons.
 *
 * @module
 */

import { type ChannelCredentials, credentials, Metadata } from "@grpc/grpc-js";
import { ConfigurationClient, configurationWire, PeerError } from "../protocol/mod.js";
import { PEER_DNS_NAME } from "./certificate_files.js";

/** Maximum number of open channels. Fetches are rare, so most nodes have none open. */
const MAX_CHANNELS = 8;

/** Fetches configuration over its own channels, separate from those of other services. */
export class GrpcConfigurationClient extends ConfigurationClient {
    private readonly clients = new Map<string, configurationWire.ConfigurationPeerClient>();

    /** @param channelCredentials Credentials of the channels. Defaults to plain text without TLS. */
    constructor(private readonly channelCredentials: ChannelCredentials = credentials.createInsecure()) {
        super();
    }

    override fetch(
        address: string,
        request: configurationWire.FetchConfigurationRequest,
        timeoutMs: number,
    ): Promise<configurationWire.FetchConfigurationReply> {
        return new Promise((resolve, reject) => {
            this.client(address).fetch(request, new Metadata(), { deadline: Date.now() + timeoutMs }, (error, reply) => {
                if (error) {
                    reject(new PeerError("fetch configuration from", address, error));
                    return;
                }
                resolve(reply);
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

    private client(address: string): configurationWire.ConfigurationPeerClient {
        const existing = this.clients.get(address);
        if (existing !== undefined) {
            return existing;
        }
        const [oldest] = this.clients;
        if (oldest !== undefined && this.clients.size >= MAX_CHANNELS) {
            this.clients.delete(oldest[0]);
            oldest[1].close();
        }
        const client = new configurationWire.ConfigurationPeerClient(address, this.channelCredentials, {
            "grpc.use_local_subchannel_pool": 1,
            "grpc.ssl_target_name_override": PEER_DNS_NAME,
        });
        this.clients.set(address, client);
        return client;
    }
}
