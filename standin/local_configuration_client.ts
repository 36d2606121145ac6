/**
 * Fetching of configuration between nodes in one process.
 *
 * @module
 */

import { ConfigurationClient, type configurationWire, PeerError } from "../src/protocol/mod.js";
import type { Clock } from "../src/state/mod.js";

/** Time of one call, in milliseconds. */
const CALL_DURATION_MS = 2;

/** Answers a fetch. */
export type FetchHandler = (request: configurationWire.FetchConfigurationRequest) => configurationWire.FetchConfigurationReply;

/** Nodes of a fleet by their addresses; nodes that are isolated cannot call and are not reached. */
export class ConfigurationHub {
    readonly handlers = new Map<string, FetchHandler>();
    readonly isolated = new Set<string>();
    /** Calls answered. */
    calls = 0;

    /** @param clock Clock that calls are timed by. */
    constructor(readonly clock: Clock) {}

    /** Returns the connections of the node at an address. */
    join(address: string): ConfigurationClient {
        return new LocalConfigurationClient(this, address);
    }
}

/** One node's connections to the others. */
class LocalConfigurationClient extends ConfigurationClient {
    constructor(private readonly hub: ConfigurationHub, private readonly ownAddress: string) {
        super();
    }

    override async fetch(
        address: string,
        request: configurationWire.FetchConfigurationRequest,
        timeoutMs: number,
    ): Promise<configurationWire.FetchConfigurationReply> {
        const { handlers: answers, isolated, clock } = this.hub;
        const answer = answers.get(address);
        if (answer === undefined || isolated.has(address) || isolated.has(this.ownAddress)) {
            await clock.sleep(timeoutMs);
            throw new PeerError("fetch configuration from", address, new Error("the peer cannot be reached"));
        }
        await clock.sleep(CALL_DURATION_MS);
        this.hub.calls += 1;
        return answer(request);
    }
}
