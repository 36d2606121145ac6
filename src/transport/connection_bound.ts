/**
 * Bound on the open connections of a port.
 *
 * @module
 */

import { afterArrivedInput, type Clock } from "../state/mod.js";

/** Share of the largest number of connections from which on stalled ones are closed; the rest is for newcomers until they were read. */
const CROWDED_SHARE = 2 / 3;

/** Share of the connections that is freed at a time, if so many have stalled for long. */
const FREED_SHARE = 1 / 16;

/**
 * Time within which a new connection is expected to send something, and without progress for which several are closed at a time, in
 * milliseconds.
 */
export const STALL_MS = 1_000;

/** Time between two reports, in milliseconds. */
const REPORT_INTERVAL_MS = 1_000;

/** Memory of heads that are not complete, on all connections of a port, in bytes, unless it is configured. */
export const MAX_HELD_HEAD_BYTES = 16_777_216;

/** What a connection is open for, from the least to the most worth keeping. */
export enum ConnectionUse {
    /** Nothing: it has sent no call in time, or has stopped within one, or does not read its answer. */
    Stalled,
    /** Further calls, but its peer no longer counts on it. */
    Spare,
    /** A first call, of which nothing has come yet. */
    New,
    /** Further calls, which its peer may send at any time. */
    Kept,
    /** Calls that are being served. */
    Serving,
}

/** Connection that counts toward a {@linkcode ConnectionBound}. */
export abstract class BoundedConnection {
    /** Returns what the connection is open for. */
    abstract use(nowMs: number): ConnectionUse;

    /** Returns when bytes were last seen to arrive or to leave, in milliseconds since the Unix epoch. */
    abstract lastProgressMs(nowMs: number): number;

    /** Closes the connection for the sake of others; a call of which only a part has come is refused. */
    abstract giveUp(): void;

    /** Closes the connection at once, before anything was read from it. */
    abstract refuse(): void;
}

/** Connections that a port gave up. */
export interface GivenUpConnections {
    /** Connections that made no progress, or on which no call was expected any more. */
    readonly stalled: number;
    /** New connections that were closed, as all others were in use. */
    readonly refused: number;
    /** Connections whose incomplete heads were among the largest. */
    readonly heads: number;
    readonly open: number;
    readonly maxConnections: number;
}

/** Settings of a {@linkcode ConnectionBound}. */
export interface ConnectionBoundSettings {
    readonly clock: Clock;
    /** Largest number of connections that are open at a time. */
    readonly maxConnections: number;
    /**
     * Memory of heads that are not complete, in bytes. Beyond it, the connections with the largest ones are closed. Defaults to
     * {@linkcode MAX_HELD_HEAD_BYTES}.
     */
    readonly maxHeadBytes?: number;
    /** Called with what was given up, at most once a second. */
    readonly onGivenUp?: (connections: GivenUpConnections) => void;
}

/**
 * Keeps the connections of a port below a bound. From two thirds of it on, the connections that have made no progress for longest are
 * closed, so that callers that come to nothing make room for those that come next. Only at the bound, newcomers are closed unread.
 */
export class ConnectionBound {
    private readonly connections = new Set<BoundedConnection>();
    private readonly crowdedFrom: number;
    private stalledCount = 0;
    private refusedCount = 0;
    private headCount = 0;
    private reported = { stalled: 0, refused: 0, heads: 0, atMs: -Infinity };
    private isJudging = false;

    /** @param settings See {@linkcode ConnectionBoundSettings}. */
    constructor(private readonly settings: ConnectionBoundSettings) {
        this.crowdedFrom = Math.ceil(settings.maxConnections * CROWDED_SHARE);
    }

    /** Number of connections that may be open. */
    get maxConnections(): number {
        return this.settings.maxConnections;
    }

    /** Memory of heads that are not complete, in bytes. */
    get maxHeadBytes(): number {
        return this.settings.maxHeadBytes ?? MAX_HELD_HEAD_BYTES;
    }

    /** Number of open connections. */
    get open(): number {
        return this.connections.size;
    }

    /** Number of connections that were given up for others. */
    get stalled(): number {
        return this.stalledCount;
    }

    /** Number of new connections that were closed, as all others were in use. */
    get refused(): number {
        return this.refusedCount;
    }

    /** Number of connections that were closed because incomplete heads took too much memory and theirs was among the largest. */
    get heads(): number {
        return this.headCount;
    }

    /** Counts a connection that was closed because of its head. */
    countClosedHead(): void {
        this.headCount += 1;
        this.report();
    }

    /** Adds a new connection. It may close others, or this one. */
    add(connection: BoundedConnection): void {
        this.connections.add(connection);
        if (this.open <= this.crowdedFrom) {
            return;
        }
        if (!this.isJudging) {
            this.isJudging = true;
            // What has arrived decides, also for connections that a hold-up of the event loop has kept from being read.
            afterArrivedInput(() => {
                this.isJudging = false;
                this.closeStalled(Math.floor(this.crowdedFrom * (1 - FREED_SHARE)), STALL_MS);
                this.closeStalled(this.crowdedFrom, 0);
                this.report();
            });
        }
        if (this.open > this.settings.maxConnections) {
            this.connections.delete(connection);
            this.refusedCount += 1;
            connection.refuse();
        }
    }

    /** Removes a connection that is closed. */
    remove(connection: BoundedConnection): void {
        this.connections.delete(connection);
    }

    /** Closes connections until a number is left, those without progress for longest first. */
    private closeStalled(leftConnections: number, minStallMs: number): void {
        const nowMs = this.settings.clock.now();
        const candidates: { readonly connection: BoundedConnection; readonly use: ConnectionUse; readonly progressMs: number }[] =
            [];
        for (const connection of this.connections) {
            const use = connection.use(nowMs);
            const progressMs = connection.lastProgressMs(nowMs);
            if (use < ConnectionUse.Kept && nowMs - progressMs >= minStallMs) {
                candidates.push({ connection, use, progressMs });
            }
        }
        candidates.sort((first, second) => first.use - second.use || first.progressMs - second.progressMs);
        for (const { connection } of candidates.slice(0, Math.max(0, this.open - leftConnections))) {
            this.connections.delete(connection);
            this.stalledCount += 1;
            connection.giveUp();
        }
    }

    private report(): void {
        const { clock, maxConnections, onGivenUp } = this.settings;
        const nowMs = clock.now();
        const stalled = this.stalledCount - this.reported.stalled;
        const refused = this.refusedCount - this.reported.refused;
        const heads = this.headCount - this.reported.heads;
        if (stalled + refused + heads > 0 && nowMs >= this.reported.atMs + REPORT_INTERVAL_MS) {
            this.reported = { stalled: this.stalledCount, refused: this.refusedCount, heads: this.headCount, atMs: nowMs };
            onGivenUp?.({ stalled, refused, heads, open: this.open, maxConnections });
        }
    }
}
