/**
 * What is known of the load that others put on backend servers: peers' sends, and the backend servers' own late reports.
 *
 * @module
 */

import type { BackendServer } from "./backend_table.js";

/** Age at which a report or a peer's word says nothing any more, in milliseconds. */
const MAX_TRUSTED_AGE_MS = 3_000;

/** Peers whose word is kept; beyond it the oldest is forgotten. */
const MAX_PEERS = 512;

/** Work that one peer has at one backend server. */
export interface PeerWork {
    readonly server: string;
    readonly tokens: number;
}

/** Word of one peer. */
interface PeerWord {
    readonly works: readonly PeerWork[];
    readonly saidAtMs: number;
}

/** Sums up the load that this node did not cause, each part weighed down by its age. */
export class LoadView {
    private readonly words = new Map<string, PeerWord>();
    private sums = new Map<string, number>();

    /** Takes the latest word of a peer, said at a time. */
    takePeer(origin: string, works: readonly PeerWork[], saidAtMs: number): void {
        this.words.delete(origin);
        this.words.set(origin, { works, saidAtMs });
        if (this.words.size > MAX_PEERS) {
            const [oldest] = this.words.keys();
            this.words.delete(oldest);
        }
    }

    /** Sums the peers' words anew; those too old are forgotten. */
    refresh(nowMs: number): void {
        this.sums = new Map();
        for (const [origin, { works, saidAtMs }] of this.words) {
            const trust = trustAt(nowMs - saidAtMs);
            if (trust === 0) {
                this.words.delete(origin);
                continue;
            }
            for (const { server, tokens } of works) {
                this.sums.set(server, (this.sums.get(server) ?? 0) + trust * tokens);
            }
        }
    }

    /** Returns the work that peers have at a backend server, in tokens. */
    peerTokens(server: string): number {
        return this.sums.get(server) ?? 0;
    }
}

/** Returns the tokens that a backend server reported as waiting, weighed down by the report's age. */
export function reportedTokens(server: BackendServer, nowMs: number): number {
    const { report } = server;
    return report === undefined ? 0 : trustAt(nowMs - report.atMs) * report.waitingTokens;
}

function trustAt(ageMs: number): number {
    return Math.max(0, 1 - ageMs / MAX_TRUSTED_AGE_MS);
}
