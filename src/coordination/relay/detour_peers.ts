/**
 * Choice of the peer that takes a call whose service this node does not reach.
 *
 * @module
 */

import { type DetourPeer, hashKey } from "../../protocol/relay/mod.js";
import type { Clock, Homes, RandomSource } from "../../state/relay/mod.js";
import type { NodeDirectory } from "./node_directory.js";
import type { PeerTable } from "./peer_table.js";

/** Calls in flight by which a peer in another failure domain must be less loaded; traffic between domains is expensive. */
const CROSS_DOMAIN_CALLS = 8;

/** Peers of a failure domain that are compared; a random choice of the less loaded of two spreads calls well. */
const COMPARED_PEERS = 2;

/** Time for which a peer that could not take a call is handed no other, in milliseconds. */
const SUSPENSION_MS = 2_000;

/** Settings of {@linkcode DetourPeers}. */
export interface DetourPeersSettings {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly failureDomain: string;
    readonly directory: NodeDirectory;
    readonly peers: PeerTable;
    /** Returns whether a call with these homes may go to a failure domain; by default, if it has none. */
    readonly isAtHome?: (failureDomain: string, homes: Homes | undefined) => boolean;
}

/** Chooses peers by their load and failure domain. */
export class DetourPeers {
    private readonly callsInFlight = new Map<string, number>();
    private readonly suspendedUntilMs = new Map<string, number>();

    /** @param settings See {@linkcode DetourPeersSettings}. */
    constructor(private readonly settings: DetourPeersSettings) {}

    /** Number of calls that peers have taken and not ended. */
    get openCalls(): number {
        let open = 0;
        for (const calls of this.callsInFlight.values()) {
            open += calls;
        }
        return open;
    }

    /**
     * Chooses a peer for a call.
     *
     * @param excludedNodes Peers that could not take the call.
     * @param homes Regions to which the call is confined; `undefined` if to none.
     * @returns `undefined` if there is none that reaches the service.
     */
    choose(service: string, excludedNodes: ReadonlySet<string>, homes?: Homes): DetourPeer | undefined {
        const { clock, directory, failureDomain, peers, isAtHome } = this.settings;
        const now = clock.now();
        const serviceKey = hashKey(service);
        const local: DetourPeer[] = [];
        const remote: DetourPeer[] = [];
        for (const { node, address, failureDomain: domain } of directory.peers()) {
            const isSuspended = now < (this.suspendedUntilMs.get(node) ?? 0);
            const mayReceive = homes === undefined || isAtHome?.(domain, homes) === true;
            if (mayReceive && !isSuspended && !excludedNodes.has(node) && peers.mayTakeCalls(node, serviceKey)) {
                (domain === failureDomain ? local : remote).push({ node, address });
            }
        }
        let best: DetourPeer | undefined;
        let leastCost = Infinity;
        for (const [candidates, domainCost] of [[local, 0], [remote, CROSS_DOMAIN_CALLS]] as const) {
            for (const candidate of this.pickSome(candidates)) {
                const cost = domainCost + peers.callsOf(candidate.node) + (this.callsInFlight.get(candidate.node) ?? 0);
                if (cost < leastCost) {
                    leastCost = cost;
                    best = candidate;
                }
            }
        }
        return best;
    }

    /** Records that a call was handed to a peer. */
    recordStart({ node }: DetourPeer): void {
        this.callsInFlight.set(node, (this.callsInFlight.get(node) ?? 0) + 1);
    }

    /** Records that a call at a peer ended. */
    recordEnd({ node }: DetourPeer): void {
        this.callsInFlight.set(node, (this.callsInFlight.get(node) ?? 1) - 1);
    }

    /** Records that a peer could not take a call, or broke it off. */
    recordFailure({ node }: DetourPeer): void {
        this.suspendedUntilMs.set(node, this.settings.clock.now() + SUSPENSION_MS);
    }

    private pickSome(candidates: readonly DetourPeer[]): readonly DetourPeer[] {
        const rest = [...candidates];
        const picked: DetourPeer[] = [];
        while (picked.length < COMPARED_PEERS && rest.length > 0) {
            picked.push(...rest.splice(this.settings.random.nextInt(rest.length), 1));
        }
        return picked;
    }
}
