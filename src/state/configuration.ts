/**
 * Configuration that operators publish in the platform's log.
 *
 * @module
 */

/** How often a request may reach a backend server. */
export enum Semantics {
    /** May be sent again, to the same or another backend server. */
    Repeatable = "repeatable",
    /** Is sent to a backend server at most once and never answered from a store. */
    DispatchOnce = "dispatchOnce",
    /** Takes effect at most once over all nodes and retries of the caller. */
    RunOnce = "runOnce",
}

/** Kind of backend servers in a pool. */
export enum PoolKind {
    Model = "model",
    Service = "service",
}

/** Class of requests by importance. */
export interface Tier {
    readonly name: string;
    /** Importance: 0 is the highest. */
    readonly rank: number;
}

/** Group of backend servers that can answer the same requests. */
export interface Pool {
    readonly name: string;
    readonly kind: PoolKind;
}

/** Time bounds that an accepted request is held to, in milliseconds. */
export interface LatencyObjectives {
    /** Time from acceptance to the first token. */
    readonly firstTokenMs?: number;
    /** Time between two tokens. */
    readonly betweenTokensMs?: number;
    /** Time from acceptance to the end of the whole answer. */
    readonly answerMs: number;
}

/** Call of a plain service that an operation covers. */
export interface ServiceRoute {
    readonly service: string;
    readonly method: string;
    /** Path below the service, such as `/claims`; longer prefixes win. */
    readonly pathPrefix: string;
}

/** Kind of request with its tier, pool, semantics and promise. */
export interface Operation {
    readonly name: string;
    readonly tier: string;
    readonly pool: string;
    readonly semantics: Semantics;
    readonly promise: LatencyObjectives;
    /** Calls of plain services that belong to this operation. */
    readonly routes: readonly ServiceRoute[];
}

/** Customer's share of the system, known by its key. */
export interface Workspace {
    readonly name: string;
    /** SHA-256 of the bearer key, in lower-case hexadecimal. */
    readonly keyHash: string;
}

/** Value that an exception puts in place of a default. */
export type ExceptionValue = string | number | boolean;

/** Value that overrides the defaults at one path of the configuration. */
export interface ConfigurationException {
    /** Path of the overridden value, such as `workspaces/pilot/operations/claim-filing/promise/answerMs`. */
    readonly path: string;
    readonly value: ExceptionValue;
    /** Why the exception is made. */
    readonly reason: string;
    /** Operator who made it. */
    readonly author: string;
    /** Time at which it was made, in milliseconds since the Unix epoch. */
    readonly madeAtMs: number;
    /** Time from which on it has no effect, in milliseconds since the Unix epoch. Left out when it has no end. */
    readonly endsAtMs?: number;
}

/** Whole configuration, without its version. */
export interface ConfigurationDocument {
    readonly tiers: readonly Tier[];
    readonly pools: readonly Pool[];
    readonly operations: readonly Operation[];
    readonly workspaces: readonly Workspace[];
    readonly exceptions: readonly ConfigurationException[];
}

/** Configuration in force at a version. */
export interface Configuration {
    /** Offset of the record in the log that set it; -1 before the first. */
    readonly version: number;
    readonly document: ConfigurationDocument;
}

/** Configuration of a node that has read nothing yet. */
export const EMPTY_CONFIGURATION: Configuration = {
    version: -1,
    document: { tiers: [], pools: [], operations: [], workspaces: [], exceptions: [] },
};
