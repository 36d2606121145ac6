/**
 * Body of a request that is being received.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import { BlockBuffer, type MemoryShare } from "../state/mod.js";
import { recordDroppedBuffer } from "./buffer_reclaimer.js";
import { dropHead } from "./held_head.js";
import type { InputLimits } from "./input_limits.js";
import { PacedInput, type ReadPacer } from "./read_pacer.js";

/** Bytes that are discarded at the cost of one piece: 100 MB a second at the default rate. */
const DISCARDED_BYTES_PER_PIECE = 1_024;

/**
 * Largest head of a call whose body is discarded for lack of memory while its connection stays open, in bytes. The head stays in memory
 * until the rest of the body has come.
 */
export const MAX_DISCARDING_HEAD_BYTES = 4_096;

/** Largest body that is read behind a request that needs none, in bytes. */
const MAX_IGNORED_BYTES = 65_536;

/**
 * Factor by which a body may be paused for longer than the largest one in chunks of a byte is when it comes alone. A caller that has gone
 * behind bytes that are not read yet is not noticed, and would keep its turns for hours.
 */
const PAUSE_MARGIN = 1.5;

/** Least total time for which a body may be paused, in milliseconds. */
const MIN_PAUSED_MS = 10_000;

/** Settings of a {@linkcode BodyCollector}. */
export interface BodyCollectorSettings {
    readonly inputLimits: InputLimits;
    /** Largest body that is kept, in bytes; the bytes of a larger one are discarded. */
    readonly maxBytes: number;
    /** Size of the head, which takes memory until the body is complete, in bytes. Defaults to 0: it is not counted. */
    readonly headBytes?: number;
    /** Called with the size of the body so far, in bytes. */
    readonly onProgress?: (size: number) => void;
    /** Called when the bytes are discarded because bodies and answers take too much memory and this one takes most of it. */
    readonly onEvicted?: () => void;
}

/** Pauses the reading of a body. */
class PacedBody extends PacedInput {
    private pausedAtMs = 0;
    private pausedMs = 0;

    /** @param maxPausedMs Total time for which the body may be paused, in milliseconds; beyond it, the connection is closed. */
    constructor(
        pacer: ReadPacer,
        private readonly request: IncomingMessage,
        private readonly maxPausedMs: number,
    ) {
        super(pacer);
    }

    protected override pause(): void {
        this.pausedAtMs = this.pacer.now();
        // The library's own pause keeps the pieces that the parser still has, each as an object, and reads on while they are few bytes.
        this.request._read = () => undefined;
        this.request.socket.pause();
    }

    protected override resume(): void {
        this.pausedMs += this.pacer.now() - this.pausedAtMs;
        if (this.pausedMs > this.maxPausedMs) {
            this.request.socket.destroy();
            return;
        }
        // The method of the class is in effect again.
        Reflect.deleteProperty(this.request, "_read");
        if (!this.request.socket.destroyed) {
            this.request.socket.resume();
        }
    }
}

/** Collects a body within the limits of the node. */
export class BodyCollector {
    /** Number of bytes that have arrived. */
    size = 0;
    /** Whether the bytes were discarded for lack of memory. */
    isEvicted = false;
    private isReleased = false;
    private isComplete = false;
    private readonly content = new BlockBuffer();
    private readonly headBytes: number;
    private readonly memoryShare: MemoryShare;

    /**
     * Starts reading. The memory of a body that does not come to its end is returned when its connection closes, and that of a complete
     * one when {@linkcode release} is called.
     *
     * @param request Request with the body.
     * @param settings See {@linkcode BodyCollectorSettings}.
     */
    constructor(request: IncomingMessage, private readonly settings: BodyCollectorSettings) {
        const { memory, pacer } = settings.inputLimits;
        this.memoryShare = memory.open(() => this.handleEvicted());
        this.headBytes = settings.headBytes ?? 0;
        this.memoryShare.resize(this.headBytes);
        const pace = new PacedBody(pacer, request, Math.max(MIN_PAUSED_MS, PAUSE_MARGIN * settings.maxBytes / pacer.piecesPerMs));
        request.on("data", (chunk: Buffer) => {
            this.add(chunk);
            pace.record(this.isDiscarding ? 1 + Math.floor(chunk.length / DISCARDED_BYTES_PER_PIECE) : 1);
        });
        request.on("end", () => this.isComplete = true);
        request.on("close", () => {
            pace.close();
            if (!this.isComplete) {
                this.release();
            }
        });
    }

    /** Whether the body is larger than bodies may be. */
    get isTooLarge(): boolean {
        return this.size > this.settings.maxBytes;
    }

    /** Returns the body and keeps its memory, which is no longer evicted, until {@linkcode release} is called. */
    take(): Buffer {
        this.memoryShare.pin();
        return this.content.take();
    }

    /** Discards the body, also what arrives of it later, and returns its memory. */
    release(): void {
        this.isReleased = true;
        this.content.clear();
        this.memoryShare.close();
    }

    private get isDiscarding(): boolean {
        return this.isEvicted || this.isReleased;
    }

    private add(chunk: Buffer): void {
        this.size += chunk.length;
        if (this.isTooLarge) {
            this.release();
        }
        else if (!this.isDiscarding) {
            this.content.append(chunk);
            this.memoryShare.resize(this.headBytes + this.content.length);
        }
        recordDroppedBuffer(chunk.length);
        this.settings.onProgress?.(this.size);
    }

    private handleEvicted(): void {
        this.isEvicted = true;
        this.content.clear();
        this.settings.onEvicted?.();
    }
}

/**
 * Reads and discards the body of a request that is answered without it.
 *
 * @param inputLimits Limits of the node.
 * @param close Closes the connection of a body that is larger than 64 KiB; called with each further part of it.
 */
export function discardBody(request: IncomingMessage, inputLimits: InputLimits, close: () => void): void {
    dropHead(request);
    if (request.listenerCount("data") > 0) {
        return;
    }
    const body = new BodyCollector(request, {
        inputLimits,
        maxBytes: 0,
        onProgress: size => {
            if (size > MAX_IGNORED_BYTES) {
                close();
            }
        },
    });
    request.on("close", () => body.release());
}
