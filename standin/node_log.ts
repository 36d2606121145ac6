/**
 * Log connection of one node, with fault injection.
 *
 * @module
 */

import { Executed, type LogPage, type LogReadSettings, LogService, PlatformError } from "../src/protocol/mod.js";
import type { Clock } from "../src/state/mod.js";

/** Faults of one node's log connection. */
export interface NodeLogFaults {
    /** Calls fail immediately and take no effect. */
    refuse: boolean;
    /** Calls are never answered and take no effect. */
    hang: boolean;
    /** Number of upcoming appends that take effect but whose answers are lost. */
    loseAnswers: number;
    /** Latency added to each read, in milliseconds. */
    delayMs: number;
}

/** Faults of a connection that works. */
const NO_FAULTS: NodeLogFaults = { refuse: false, hang: false, loseAnswers: 0, delayMs: 0 };

/** Forwards calls to the log and applies the injected faults. */
export class NodeLog extends LogService {
    readonly faults: NodeLogFaults = { ...NO_FAULTS };

    /**
     * @param log Log service that all nodes share.
     * @param clock Clock that times the delays.
     * @param pollMs If set, waiting reads poll the log at this interval instead of blocking there, which makes long runs cheaper.
     */
    constructor(private readonly log: LogService, private readonly clock: Clock, private readonly pollMs?: number) {
        super();
    }

    /** Clears the faults; calls that already hang are never answered. */
    heal(): void {
        Object.assign(this.faults, NO_FAULTS);
    }

    override async append(stream: string, data: Uint8Array): Promise<number> {
        await this.checkFaults(`append to stream ${stream}`);
        const offset = await this.log.append(stream, data);
        if (this.faults.loseAnswers > 0) {
            this.faults.loseAnswers -= 1;
            throw new PlatformError(`append to stream ${stream}`, "log", Executed.Unknown, new Error("the answer was lost"));
        }
        return offset;
    }

    override async read(stream: string, fromOffset: number, settings?: LogReadSettings): Promise<LogPage> {
        const step = `read stream ${stream}`;
        await this.checkFaults(step);
        const page = await this.readPage(stream, fromOffset, settings);
        if (this.faults.delayMs > 0) {
            await this.clock.sleep(this.faults.delayMs);
        }
        await this.checkFaults(step);
        return page;
    }

    private async readPage(stream: string, fromOffset: number, settings: LogReadSettings = {}): Promise<LogPage> {
        const { clock, pollMs } = this;
        if (pollMs === undefined) {
            return this.log.read(stream, fromOffset, settings);
        }
        const deadlineMs = clock.now() + (settings.waitMs ?? 0);
        for (;;) {
            const page = await this.log.read(stream, fromOffset, { ...settings, waitMs: 0 });
            if (page.endOffset > fromOffset || clock.now() >= deadlineMs) {
                return page;
            }
            await clock.sleep(pollMs);
        }
    }

    private async checkFaults(step: string): Promise<void> {
        if (this.faults.hang) {
            await new Promise<never>(() => undefined);
        }
        if (this.faults.refuse) {
            throw new PlatformError(step, "log", Executed.No, new Error("the connection was refused"));
        }
    }
}
