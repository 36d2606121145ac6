/**
 * Configuration of the relay of opaque calls.
 *
 * @module
 */

import type { RouteTable } from "./relay_route.js";

/** What is known of the engines of a service before any call. */
export interface EngineCapacity {
    /** Calls that an engine runs at once. */
    readonly slots: number;
    /** Tokens that an engine's memory holds. */
    readonly memoryTokens: number;
}

/** Service behind the routes. */
export interface RelayService {
    readonly name: string;
    /** Connections that a backend server accepts from all nodes together. */
    readonly maxConnections: number;
    /** Left out for plain services. */
    readonly engine: EngineCapacity | undefined;
}

/** Workspace as far as the relay needs it. */
export interface RelayWorkspace {
    readonly name: string;
    /** Place among the workspaces; 0 is served first. */
    readonly rank: number;
    /** Tokens a second over all nodes; `undefined` without a limit. */
    readonly tokensPerSecond: number | undefined;
    /** Tokens beyond the rate that may come at once. */
    readonly burstTokens: number;
    /** Tokens that a call without a stated size counts as. */
    readonly tokensOfPlainCall: number;
}

/** Bounds for what callers may send. */
export interface CallerLimits {
    readonly maxHeaderBytes: number;
    readonly maxBodyBytes: number;
    /** Time for a call's headers, in milliseconds. */
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
    /** Whether calls need a key at all. */
    readonly hasWorkspaces: boolean;
    readonly workspaceByKey: ReadonlyMap<string, RelayWorkspace>;
}
