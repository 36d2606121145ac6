/**
 * Calls over HTTP that the adapters share.
 *
 * @module
 */

import { Pool } from "undici";

/** Connections kept to one address. */
const MAX_CONNECTIONS_PER_ADDRESS = 256;

/** Time to wait for a connection if the caller doesn't say, in milliseconds. */
const DEFAULT_CONNECT_TIMEOUT_MS = 1_000;

/** Error codes of connections that never came about, so that no byte of a request was sent. */
const CONNECT_ERROR_CODES: ReadonlySet<string> = new Set([
    "ECONNREFUSED",
    "EHOSTUNREACH",
    "ENETUNREACH",
    "EADDRNOTAVAIL",
    "UND_ERR_CONNECT_TIMEOUT",
]);

/** Keeps one pool of connections for each address. */
export class HttpClient {
    private readonly pools = new Map<string, Pool>();

    /** @param connectTimeoutMs Time to wait for a connection, in milliseconds. Defaults to 1,000. */
    constructor(private readonly connectTimeoutMs = DEFAULT_CONNECT_TIMEOUT_MS) {}

    /** Returns the connections to an address. */
    pool(address: string): Pool {
        let pool = this.pools.get(address);
        if (pool === undefined) {
            pool = new Pool(`http://${address}`, {
                connections: MAX_CONNECTIONS_PER_ADDRESS,
                connect: { timeout: this.connectTimeoutMs, allowHalfOpen: true },
                pipelining: 1,
                bodyTimeout: 0,
                headersTimeout: 0,
            });
            this.pools.set(address, pool);
        }
        return pool;
    }

    /** Closes the connections to addresses that are not in use any more. */
    retain(addresses: ReadonlySet<string>): void {
        for (const [address, pool] of this.pools) {
            if (!addresses.has(address)) {
                this.pools.delete(address);
                void pool.close();
            }
        }
    }

    /** Closes all connections at once. */
    async close(): Promise<void> {
        const pools = [...this.pools.values()];
        this.pools.clear();
        await Promise.all(pools.map(pool => pool.destroy()));
    }
}

/**
 * Tells whether an error means that no connection came about.
 *
 * @param error Error of the HTTP library.
 */
export function isConnectError(error: unknown): boolean {
    const code = (error as { readonly code?: unknown } | undefined)?.code;
    return typeof code === "string" && CONNECT_ERROR_CODES.has(code);
}
