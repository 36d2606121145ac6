/**
 * HTTP connection pools, shared by the adapters.
 *
 * @module
 */

import { Pool } from "undici";
import { SystemClock } from "../state/mod.js";
import { AddressConnections } from "./address_connections.js";
import type { HttpExchangeRequest } from "./http_exchange.js";
import { InputLimits } from "./input_limits.js";
import { makeTimedConnector } from "./timed_connector.js";
import { readWholeAnswer, type WholeAnswer, type WholeAnswerLimits } from "./whole_answer.js";

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

/** Keeps one set of connections for each address. */
export class HttpClient {
    private readonly addresses = new Map<string, AddressConnections>();
    /** Limits of answers to the node itself. Their senders are trusted, and none of them is given up for the bytes of callers. */
    private readonly ownLimits = new InputLimits(new SystemClock(), Infinity);
    private repeated = 0;

    /**
     * @param connectTimeoutMs Connection timeout, in milliseconds. Defaults to 1,000.
     * @param inputLimits Limits that all answers share.
     */
    constructor(
        private readonly connectTimeoutMs = DEFAULT_CONNECT_TIMEOUT_MS,
        readonly inputLimits: InputLimits = new InputLimits(),
    ) {}

    /** Calls that were sent to an address at which their id had been answered before. */
    get repeatedIds(): number {
        return this.repeated;
    }

    /** Returns the connection pool of an address and creates it if necessary. */
    pool(address: string): Pool {
        return this.open(address).pool;
    }

    /**
     * Returns the connections to an address.
     *
     * @throws {Error} If the address is none to which a connection can be opened.
     */
    open(address: string): AddressConnections {
        let connections = this.addresses.get(address);
        if (connections === undefined) {
            connections = new AddressConnections(() => this.openPool(address), () => this.repeated += 1);
            this.addresses.set(address, connections);
        }
        return connections;
    }

    /**
     * Sends a request of the node itself and reads its answer to the end.
     *
     * @throws {RangeError} If the answer is too large.
     * @throws {Error} If the address is none to which a connection can be opened, the exchange fails before the end of the answer, or its
     *     time is over.
     */
    request(address: string, request: HttpExchangeRequest, limits: WholeAnswerLimits): Promise<WholeAnswer> {
        const inputLimits = this.ownLimits;
        return readWholeAnswer(signal => this.open(address).send(undefined, { ...request, inputLimits }, signal), limits);
    }

    /** Closes the connections to all addresses that are not in the set. Requests in progress are completed first. */
    retain(addresses: ReadonlySet<string>): void {
        for (const [address, connections] of this.addresses) {
            if (!addresses.has(address)) {
                this.addresses.delete(address);
                connections.close();
            }
        }
    }

    /** Replaces the connections to addresses by new ones. Requests in progress are completed first. */
    renew(addresses: Iterable<string>): void {
        for (const address of addresses) {
            this.addresses.get(address)?.renew();
        }
    }

    /** Closes all connections immediately; requests in progress fail. */
    async close(): Promise<void> {
        const all = [...this.addresses.values()];
        this.addresses.clear();
        await Promise.all(all.map(connections => connections.destroy()));
    }

    private openPool(address: string): Pool {
        return new Pool(`http://${address}`, {
            connections: MAX_CONNECTIONS_PER_ADDRESS,
            connect: makeTimedConnector(this.connectTimeoutMs),
            pipelining: 1,
            bodyTimeout: 0,
            headersTimeout: 0,
        });
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
