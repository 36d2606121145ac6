/**
 * Membership and dissemination service for peers.
 *
 * @module
 */

import type { GossipDissemination, Membership } from "../coordination/mod.js";
import { PeerHandler, type wire } from "../protocol/mod.js";

/** Settings of a {@linkcode PeerService}. */
export interface PeerServiceSettings {
    readonly membership: Membership;
    readonly dissemination: GossipDissemination;
    /** Returns the version of the configuration in force on this node. */
    readonly configurationVersion: () => number;
}

/** Answers the probes, indirect probes and gossip exchanges of other daemons. */
export class PeerService extends PeerHandler {
    /** @param settings See {@linkcode PeerServiceSettings}. */
    constructor(private readonly settings: PeerServiceSettings) {
        super();
    }

    override async probe(request: wire.ProbeRequest): Promise<wire.ProbeReply> {
        return this.settings.membership.answerProbe(request, this.settings.configurationVersion());
    }

    override probeIndirectly(request: wire.RelayRequest): Promise<wire.RelayReply> {
        return this.settings.membership.answerRelay(request);
    }

    override async exchange(request: wire.ExchangeRequest): Promise<wire.ExchangeReply> {
        return this.settings.dissemination.answerExchange(request);
    }
}
