/**
 * Routes of opaque calls and the choice among them.
 *
 * @module
 */

import type { Semantics } from "../configuration.js";

/** Share of a route's calls that a service gets. */
export interface ServiceShare {
    readonly service: string;
    /** Positive weight against the other shares of the route. */
    readonly weight: number;
}

/** Route of opaque calls: a host and a path prefix that lead to a service. */
export interface RelayRoute {
    readonly name: string;
    readonly host: string;
    /** Begins and ends with a slash. */
    readonly pathPrefix: string;
    /** `Repeatable` or `DispatchOnce`. */
    readonly semantics: Semantics;
    /** Whether answers are streams of server-sent events. */
    readonly isStream: boolean;
    /** Whether a broken stream may go on at another backend server, after the last event that the caller has. */
    readonly isResumable: boolean;
    /** Longest time in which a call gets its final answer, in milliseconds. */
    readonly timeoutMs: number;
    /** Time to the answer, of a stream to its first event, that counts as in time, in milliseconds. */
    readonly objectiveMs: number;
    /** Longest pause between events of a stream that counts as in time, in milliseconds. */
    readonly maxPauseMs: number | undefined;
    /** Place among the routes; 0 is served first. */
    readonly rank: number;
    readonly shares: readonly ServiceShare[];
    /** Most backend servers that a call may be sent to. */
    readonly maxAttempts: number;
    /** Whether calls need no key. */
    readonly isPublic: boolean;
}

/** Routes of one configuration, by host and longest path prefix. */
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
     * Returns the route of a call.
     *
     * @param host Host that the caller named; a port is ignored.
     * @param path Path without the query.
     */
    find(host: string, path: string): RelayRoute | undefined {
        const name = host.replace(/:\d+$/, "").toLowerCase();
        return this.prefixesByHost.get(name)?.find(route => path.startsWith(route.pathPrefix));
    }
}
