/**
 * Client for membership and gossip calls to other daemons.
 *
 * @module
 */

import type { ExchangeReply, ExchangeRequest, ProbeReply, ProbeRequest, RelayReply, RelayRequest } from "./gen/peer.js";

/** Client for membership and gossip calls to other daemons. */
export abstract class PeerClient {
    /**
     * Probes a daemon to find out whether it is alive.
     *
     * @param address IP address and port of the daemon.
     * @param request Probe with the sender's clock.
     * @param timeoutMs Timeout, in milliseconds.
     * @throws {PeerError} When no answer came in time.
     */
    abstract probe(address: string, request: ProbeRequest, timeoutMs: number): Promise<ProbeReply>;

    /**
     * Probes a daemon indirectly, through another daemon.
     *
     * @param address IP address and port of the daemon that sends the probe.
     * @param request Daemon to probe.
     * @param timeoutMs Timeout, in milliseconds.
     * @throws {PeerError} When no answer came in time.
     */
    abstract probeIndirectly(address: string, request: RelayRequest, timeoutMs: number): Promise<RelayReply>;

    /**
     * Exchanges shared values and membership updates with a daemon.
     *
     * @param address IP address and port of the daemon.
     * @param request Values, membership updates and a digest of the sender's values.
     * @param timeoutMs Timeout, in milliseconds.
     * @throws {PeerError} When no answer came in time.
     */
    abstract exchange(address: string, request: ExchangeRequest, timeoutMs: number): Promise<ExchangeReply>;
}

/** Failure of a call to another daemon. */
export class PeerError extends Error {
    override readonly name: string = "PeerError";

    /**
     * @param step Call that failed, such as `probe`.
     * @param peer Address of the daemon.
     * @param cause Underlying error.
     */
    constructor(readonly step: string, readonly peer: string, cause: unknown) {
        super(`Cannot ${step} ${peer}: ${cause instanceof Error ? cause.message : String(cause)}`, { cause });
    }
}
