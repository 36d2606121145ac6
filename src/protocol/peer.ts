/**
 * Other daemons as a daemon sees them.
 *
 * @module
 */

import type { ProbeReply, ProbeRequest } from "./gen/peer.js";

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
