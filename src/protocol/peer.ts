/**
 * Other daemons as a daemon sees them.
 *
 * @module
 */

import type { ExchangeReply, ExchangeRequest, ProbeReply, ProbeRequest, RelayReply, RelayRequest } from "./gen/peer.js";

/** Connection to other daemons. */
export abstract class PeerClient {
    /**
     * Asks a daemon whether it is alive.
     *
     * @param address IP number and port of the daemon.
     * @param request Probe with the sender's clock.
     * @param timeoutMs Longest time to wait, in milliseconds.
     * @throws {PeerError} When no answer came in time.
     */
    abstract probe(address: string, request: ProbeRequest, timeoutMs: number): Promise<ProbeReply>;

    /**
     * Asks a daemon to probe another one.
     *
     * @param address IP number and port of the daemon that is asked.
     * @param request Daemon to probe.
     * @param timeoutMs Longest time to wait, in milliseconds.
     * @throws {PeerError} When no answer came in time.
     */
    abstract probeIndirectly(address: string, request: RelayRequest, timeoutMs: number): Promise<RelayReply>;

    /**
     * Exchanges shared values and news of members.
     *
     * @param address IP number and port of the daemon.
     * @param request Values, news and a digest of what the sender holds.
     * @param timeoutMs Longest time to wait, in milliseconds.
     * @throws {PeerError} When no answer came in time.
     */
    abstract exchange(address: string, request: ExchangeRequest, timeoutMs: number): Promise<ExchangeReply>;
}

/** Call of another daemon that failed. */
export class PeerError extends Error {
    override readonly name: string = "PeerError";

    /**
     * @param step Call that failed, such as `probe`.
     * @param peer Address of the daemon.
     * @param cause Error underneath.
     */
    constructor(readonly step: string, readonly peer: string, cause: unknown) {
        super(`Cannot ${step} ${peer}: ${cause instanceof Error ? cause.message : String(cause)}`, { cause });
    }
}
