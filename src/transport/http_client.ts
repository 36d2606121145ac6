/**
 * HTTP connection pools, shared by the adapters.
 *
 * @module
 */

import { Pool } from "undici";
import { InputLimits } from "./input_limits.js";
import { makeTimedConnector } from "./timed_connector.js";

/** Maximum number of connections to one address. */
const MAX_CONNECTIONS_PER_ADDRESS = 256;

/** Default connection timeout, in milliseconds. */
const DEFAULT_CONNECT_TIMEOUT_MS = 1_000;

/** Error codes of connections that were never established, so that no byte of a request was sent. */
const CONNECT_ERROR_CODES: ReadonlySet<string> = new Set([
    "ECONNREFUSED",
    "EHOSTUNREACH",
    "ENETUNREACH",
    "EADDRNOTAVAIL",
    "UND_ERR_CONNECT_TIMEOUT",
]);

/** Keeps one connection pool for each address. */
export class HttpClient {
    private readonly pools = new Map<string, Pool>();

    /**
     * @param connectTimeoutMs Connection timeout, in milliseconds. Defaults to 1,000.
     * @param inputLimits Limits that all answers share.
     */
    constructor(
        private readonly connectTimeoutMs = DEFAULT_CONNECT_TIMEOUT_MS,
        readonly inputLimits: InputLimits = new InputLimits(),
    ) {}

    /** Returns the connection pool of an address and creates it if necessary. */
    pool(address: string): Pool {
        let pool = this.pools.get(address);
        if (pool === undefined) {
            pool = new Pool(`http://${address}`, {
                connections: MAX_CONNECTIONS_PER_ADDRESS,
                connect: makeTimedConnector(this.connectTimeoutMs),
                pipelining: 1,
                bodyTimeout: 0,
                headersTimeout: 0,
            });
            this.pools.set(address, pool);
        }
        return pool;
    }

    /** Closes the pools of all addresses that are not in the set. Requests in progress are completed first. */
    retain(addresses: ReadonlySet<string>): void {
        for (const [address, pool] of this.pools) {
            if (!addresses.has(address)) {
                this.pools.delete(address);
                void pool.close();
            }
        }
    }

    /** Replaces the pools of addresses, so that requests use new connections. Requests in progress are completed first. */
    renew(addresses: Iterable<string>): void {
        for (const address of addresses) {
            const pool = this.pools.get(address);
            this.pools.delete(address);
            void pool?.close();
        }
    }

    /** Closes all connections immediately; requests in progress fail. */
    async close(): Promise<void> {
        const pools = [...this.pools.values()];
        this.pools.clear();
        await Promise.all(pools.map(pool => pool.destroy()));
    }
}

/**
 * Reports whether an error means that no connection was established.
 *
 * @param error Error of the HTTP library.
 */
export function isConnectError(error: unknown): boolean {
    const code = (error as { readonly code?: unknown } | undefined)?.code;
    return typeof code === "string" && CONNECT_ERROR_CODES.has(code);
}
