/**
 * One node's way to the log, with faults of its own.
 *
 * @module
 */

import { Executed, type LogPage, type LogReadSettings, LogService, PlatformError } from "../src/protocol/mod.js";
import type { Clock } from "../src/state/mod.js";

/** Faults of one node's way to the log. */
export interface NodeLogFaults {
    /** Calls fail at once and take no effect. */
    refuse: boolean;
    /** Calls are never answered and take no effect. */
    hang: boolean;
    /** Number of next appends that take effect and whose answers are lost. */
    loseAnswers: number;
    /** Time that is added to each answer to a read, in milliseconds. */
    delayMs: number;
}

/** Way to the log that is whole. */
const NO_FAULTS: NodeLogFaults = { refuse: false, hang: false, loseAnswers: 0, delayMs: 0 };

/** Passes calls on to the log, unless a fault is set. */
export class NodeLog extends LogService {
    readonly faults: NodeLogFaults = { ...NO_FAULTS };

    /**
     * @param log Log that all nodes share.
     * @param clock Clock that delays are measured by.
     * @param pollMs When given, a read looks at such intervals in place of waiting at the log, which makes long runs cheaper.
     */
    constructor(private readonly log: LogService, private readonly clock: Clock, private readonly pollMs?: number) {
        super();
    }

    /** Ends the faults; calls that were never answered stay so. */
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
        const giveUpAtMs = clock.now() + (settings.waitMs ?? 0);
        for (;;) {
            const page = await this.log.read(stream, fromOffset, { ...settings, waitMs: 0 });
            if (page.endOffset > fromOffset || clock.now() >= giveUpAtMs) {
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
