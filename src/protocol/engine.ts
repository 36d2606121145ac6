/**
 * Model engines as the system uses them.
 *
 * @module
 */

import type { LoadReport, Vm } from "../state/mod.js";
import type { CacheEvent } from "./prefix_blocks.js";

/** Request to an engine. */
export interface EngineRequest {
    /** Id that the engine echoes. */
    readonly id: string;
    /** Chat-completions body as JSON. */
    readonly body: Buffer;
    /** Number of answer tokens already held, from which a broken stream resumes. */
    readonly fromToken: number;
}

/** One token of an answer. */
export interface EngineToken {
    /** Place in the answer, from 0. */
    readonly index: number;
    readonly text: string;
}

/** Last event of a whole answer. */
export interface EngineEnd {
    readonly finishReason: string;
    /** Prompt tokens that the engine had cached. */
    readonly cachedTokens: number;
    readonly promptTokens: number;
    readonly outputTokens: number;
}

/** Event of an answer: a token, or its end. */
export type EngineEvent =
    | { readonly kind: "token"; readonly token: EngineToken }
    | { readonly kind: "end"; readonly end: EngineEnd };

/** Changes of a prefix cache. */
export interface CacheEventBatch {
    readonly events: readonly CacheEvent[];
    /** Number from which to go on. */
    readonly next: number;
}

/** Connection to model engines, one adapter for each wire format. */
export abstract class Engine {
    /**
     * Runs a request and gives its answer event by event.
     *
     * @param vm Backend server to address.
     * @param request Request to run.
     * @param signal Cancels the request at the backend server when aborted.
     * @throws {DispatchError} When the answer does not come whole.
     */
    abstract generate(vm: Vm, request: EngineRequest, signal: AbortSignal): AsyncIterable<EngineEvent>;

    /**
     * Reads the backend server's load report.
     *
     * @throws {PlatformError} When no report came.
     */
    abstract readLoad(vm: Vm): Promise<LoadReport>;

    /**
     * Reads the changes of the backend server's prefix cache; they come late, and some never come.
     *
     * @param vm Backend server to address.
     * @param after Number up to which changes were read before; 0 at first.
     * @throws {PlatformError} When no answer came.
     */
    abstract readCacheEvents(vm: Vm, after: number): Promise<CacheEventBatch>;
}
