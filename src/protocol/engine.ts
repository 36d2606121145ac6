/**
 * Interface to the model engines that run on backend servers.
 *
 * @module
 */

import type { LoadReport, Vm } from "../state/mod.js";
import type { CacheEvent } from "./prefix_blocks.js";

/** Request to an engine. */
export interface EngineRequest {
    /** Request id, which the engine echoes. */
    readonly id: string;
    /** Chat-completions body as JSON. */
    readonly body: Buffer;
    /** Number of answer tokens already received; a broken stream resumes after them. */
    readonly fromToken: number;
}

/** One token of an answer. */
export interface EngineToken {
    /** Zero-based position in the answer. */
    readonly index: number;
    readonly text: string;
}

/** Final event of a complete answer. */
export interface EngineEnd {
    readonly finishReason: string;
    /** Prompt tokens that were served from the engine's prefix cache. */
    readonly cachedTokens: number;
    readonly promptTokens: number;
    readonly outputTokens: number;
}

/** Event of an answer stream: a token, or the end of the answer. */
export type EngineEvent =
    | { readonly kind: "token"; readonly token: EngineToken }
    | { readonly kind: "end"; readonly end: EngineEnd };

/** Batch of changes of a prefix cache. */
export interface CacheEventBatch {
    readonly events: readonly CacheEvent[];
    /** Sequence number to pass as `after` to the next read. */
    readonly next: number;
}

/** Client for model engines; each wire format has its own adapter. */
export abstract class Engine {
    /**
     * Runs a request and yields the events of its answer.
     *
     * @param vm Backend server to address.
     * @param request Request to run.
     * @param signal Cancels the request at the backend server when aborted.
     * @throws {DispatchError} When the answer is incomplete.
     */
    abstract generate(vm: Vm, request: EngineRequest, signal: AbortSignal): AsyncIterable<EngineEvent>;

    /**
     * Reads the backend server's load report.
     *
     * @throws {PlatformError} When no report was received.
     */
    abstract readLoad(vm: Vm): Promise<LoadReport>;

    /**
     * Reads the changes of the backend server's prefix cache. Changes are reported with a delay, and some are never reported.
     *
     * @param vm Backend server to address.
     * @param after Sequence number up to which changes were already read; 0 for the first read.
     * @throws {PlatformError} When no answer was received.
     */
    abstract readCacheEvents(vm: Vm, after: number): Promise<CacheEventBatch>;
}
