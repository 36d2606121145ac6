/**
 * Routing table of the relay.
 *
 * @module
 */

import type { Semantics } from "../configuration.js";

/** Regions to which calls are confined; an empty set allows none. */
export type Homes = ReadonlySet<string>;

/** Service of a route with its share of the traffic. */
export interface ServiceShare {
    readonly service: string;
    /** Positive weight relative to the other shares of the route. */
    readonly weight: number;
}

/** Route that maps a host and a path prefix to one or more services. */
export interface RelayRoute {
    readonly name: string;
    readonly host: string;
    /** Path prefix with a leading and a trailing slash. */
    readonly pathPrefix: string;
    /** `Repeatable` or `DispatchOnce`. */
    readonly semantics: Semantics;
    /** Whether answers are streams of server-sent events. */
    readonly isStream: boolean;
    /** Whether an interrupted stream may resume on another backend server, after the last event that the caller received. */
    readonly isResumable: boolean;
    /** Maximum time until the final answer of a call, in milliseconds. */
    readonly timeoutMs: number;
    /** Latency objective for the answer, or for the first event of a stream, in milliseconds. */
    readonly objectiveMs: number;
    /** Objective for the longest pause between events of a stream, in milliseconds. */
    readonly maxPauseMs: number | undefined;
    /** Priority among the routes; 0 is served first. */
    readonly rank: number;
    readonly shares: readonly ServiceShare[];
    /** Maximum number of backend servers that a call may be sent to. */
    readonly maxAttempts: number;
    /** Whether calls are accepted without a key. */
    readonly isPublic: boolean;
    /** Regions to which calls are confined; `undefined` if to none. */
    readonly homes?: Homes | undefined;
}

/** Routes of one configuration, matched by host and longest path prefix. */
export class RouteTable {
    private readonly prefixesByHost = new Map<string, RelayRoute[]>();

    /** @param routes Routes in any order. */
    constructor(readonly routes: readonly RelayRoute[]) {
        for (const route of routes) {
            const host = route.host.toLowerCase();
            const prefixes = this.prefixesByHost.get(host) ?? [];
            prefixes.push(route);
            this.prefixesByHost.set(host, prefixes);
        }
        for (const prefixes of this.prefixesByHost.values()) {
            prefixes.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length);
        }
    }

    /**
     * Returns the route that matches a call.
     *
     * @param host Host that the caller requested; a port is ignored.
     * @param path Path without the query.
     */
    find(host: string, path: string): RelayRoute | undefined {
        const name = host.replace(/:\d+$/, "").toLowerCase();
        return this.prefixesByHost.get(name)?.find(route => path.startsWith(route.pathPrefix));
    }
}
