/**
 * Configuration of the relay.
 *
 * @module
 */

import type { Homes, RouteTable } from "./relay_route.js";

/** Configured capacity of each engine of a service. */
export interface EngineCapacity {
    /** Calls that an engine runs concurrently. */
    readonly slots: number;
    /** Capacity of an engine's key-value cache, in tokens. */
    readonly kvCacheTokens: number;
}

/** Cold servers of a service. */
export interface ColdStart {
    /** Time for which a server is cold after a start during traffic, in milliseconds. */
    readonly durationMs: number;
    /** Calls a second from all nodes that a cold server sustains. */
    readonly callsPerSecond: number;
}

/** Service that routes lead to. */
export interface RelayService {
    readonly name: string;
    /** Maximum number of connections per backend server, across all nodes. */
    readonly maxConnections: number;
    /** Engine capacity; `undefined` for a service without engines. */
    readonly engine: EngineCapacity | undefined;
    /** What cold servers bear; `undefined` if they bear as much as others. */
    readonly coldStart?: ColdStart | undefined;
}

/** Workspace with its priority and token quota. */
export interface RelayWorkspace {
    readonly name: string;
    /** Priority among the workspaces; 0 is served first. */
    readonly rank: number;
    /** Rate limit in tokens per second across all nodes; `undefined` without a limit. */
    readonly tokensPerSecond: number | undefined;
    /** Burst allowance above the rate, in tokens. */
    readonly burstTokens: number;
    /** Tokens charged for a call that does not state its size. */
    readonly defaultCallTokens: number;
    /** Regions to which its calls are confined; `undefined` if to none. */
    readonly homes?: Homes | undefined;
}

/** Limits on requests and connections of callers. */
export interface CallerLimits {
    readonly maxHeaderBytes: number;
    readonly maxBodyBytes: number;
    /** Maximum time to receive the headers of a call, in milliseconds. */
    readonly headerTimeoutMs: number;
    /** Time after which an idle connection is closed, in milliseconds. */
    readonly idleTimeoutMs: number;
}

/** One version of the relay's configuration. */
export interface RelayConfiguration {
    readonly version: number;
    readonly routes: RouteTable;
    readonly services: ReadonlyMap<string, RelayService>;
    readonly limits: CallerLimits;
    /** Whether calls need a key, except on public routes; `false` if the configuration has no workspace list. */
    readonly hasWorkspaces: boolean;
    readonly workspaceByKey: ReadonlyMap<string, RelayWorkspace>;
}
