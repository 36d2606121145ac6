/**
 * In-process transport for configuration fetches between nodes.
 *
 * @module
 */

import { ConfigurationClient, type configurationWire, PeerError } from "../src/protocol/mod.js";
import type { Clock } from "../src/state/mod.js";

/** Simulated duration of one call, in milliseconds. */
const CALL_DURATION_MS = 2;

/** Handles a fetch request. */
export type FetchHandler = (request: configurationWire.FetchConfigurationRequest) => configurationWire.FetchConfigurationReply;

/** Connects the nodes of a fleet by address; calls from or to isolated nodes time out. */
export class ConfigurationHub {
    readonly handlers = new Map<string, FetchHandler>();
    readonly isolated = new Set<string>();
    /** Number of answered calls. */
    calls = 0;

    /** @param clock Clock that times the calls. */
    constructor(readonly clock: Clock) {}

    /** Returns a client for the node at an address. */
    join(address: string): ConfigurationClient {
        return new LocalConfigurationClient(this, address);
    }
}

/** Client of one node. */
class LocalConfigurationClient extends ConfigurationClient {
    constructor(private readonly hub: ConfigurationHub, private readonly ownAddress: string) {
        super();
    }

    override async fetch(
        address: string,
        request: configurationWire.FetchConfigurationRequest,
        timeoutMs: number,
    ): Promise<configurationWire.FetchConfigurationReply> {
        const { handlers, isolated, clock } = this.hub;
        const handler = handlers.get(address);
        if (handler === undefined || isolated.has(address) || isolated.has(this.ownAddress)) {
            await clock.sleep(timeoutMs);
            throw new PeerError("fetch configuration from", address, new Error("the peer cannot be reached"));
        }
        await clock.sleep(CALL_DURATION_MS);
        this.hub.calls += 1;
        return handler(request);
    }
}
