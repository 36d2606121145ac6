/**
 * Configuration that operators publish to the platform's log.
 *
 * @module
 */

/** Delivery semantics: how often a request may be dispatched to a backend server. */
export enum Semantics {
    /** May be retried, on the same or another backend server. */
    Repeatable = "repeatable",
    /** Is dispatched to a backend server at most once; a repeated call is never answered with a stored answer. */
    DispatchOnce = "dispatchOnce",
    /** Takes effect at most once across all nodes and retries of the caller. */
    RunOnce = "runOnce",
}

/** Kind of backend servers in a pool. */
export enum PoolKind {
    Model = "model",
    Service = "service",
}

/** Priority class of requests. */
export interface Tier {
    readonly name: string;
    /** Priority; 0 is the highest. */
    readonly rank: number;
}

/** Group of backend servers that serve the same requests. */
export interface Pool {
    readonly name: string;
    readonly kind: PoolKind;
}

/** Latency objectives for accepted requests, in milliseconds. */
export interface LatencyObjectives {
    /** Maximum time from acceptance to the first token. */
    readonly firstTokenMs?: number;
    /** Maximum time between two tokens. */
    readonly betweenTokensMs?: number;
    /** Maximum time from acceptance to the end of the answer; also the deadline of the request. */
    readonly answerMs: number;
}

/** Plain-service calls that an operation covers. */
export interface ServiceRoute {
    readonly service: string;
    readonly method: string;
    /** Path prefix below the service, such as `/claims`; the longest matching prefix wins. */
    readonly pathPrefix: string;
}

/** Kind of request with its tier, pool, semantics and latency objectives. */
export interface Operation {
    readonly name: string;
    readonly tier: string;
    readonly pool: string;
    readonly semantics: Semantics;
    /** Latency objectives; published under the key `promise`. */
    readonly promise: LatencyObjectives;
    /** Plain-service calls that belong to this operation. */
    readonly routes: readonly ServiceRoute[];
}

/** Tenant of the system, identified by its bearer key. */
export interface Workspace {
    readonly name: string;
    /** SHA-256 of the bearer key, in lower-case hexadecimal. */
    readonly keyHash: string;
}

/** Value with which an exception overrides a default. */
export type ExceptionValue = string | number | boolean;

/** Override of the default value at one path of the configuration. */
export interface ConfigurationException {
    /** Path of the overridden value, such as `workspaces/pilot/operations/claim-filing/promise/answerMs`. */
    readonly path: string;
    readonly value: ExceptionValue;
    /** Reason for the exception. */
    readonly reason: string;
    /** Operator who made it. */
    readonly author: string;
    /** Time at which it was made, in milliseconds since the Unix epoch. */
    readonly madeAtMs: number;
    /** Time at which it expires, in milliseconds since the Unix epoch. Omitted if it does not expire. */
    readonly endsAtMs?: number;
}

/** Contents of a configuration, without its version. */
export interface ConfigurationDocument {
    readonly tiers: readonly Tier[];
    readonly pools: readonly Pool[];
    readonly operations: readonly Operation[];
    readonly workspaces: readonly Workspace[];
    readonly exceptions: readonly ConfigurationException[];
}

/** Configuration with its version. */
export interface Configuration {
    /** Log offset of the record that set the configuration; -1 before the first record. */
    readonly version: number;
    readonly document: ConfigurationDocument;
}

/** Configuration of a node that has not read any record yet. */
export const EMPTY_CONFIGURATION: Configuration = {
    version: -1,
    document: { tiers: [], pools: [], operations: [], workspaces: [], exceptions: [] },
};
