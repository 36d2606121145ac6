/**
 * One node's way to the log, with faults of its own.
 *
 * @module
 */

import { Executed, type LogPage, type LogReadSettings, LogService, PlatformError } from "../src/protocol/mod.js";

/** Faults of one node's way to the log. */
export interface NodeLogFaults {
    /** Calls fail at once and take no effect. */
    cut: boolean;
    /** Calls are never answered and take no effect. */
    hang: boolean;
    /** Number of next appends that take effect and whose answers are lost. */
    loseAnswers: number;
}

/** Passes calls on to the log, unless a fault is set. */
export class NodeLog extends LogService {
    readonly faults: NodeLogFaults = { cut: false, hang: false, loseAnswers: 0 };

    /** @param log Log that all nodes share. */
    constructor(private readonly log: LogService) {
        super();
    }

    override async append(stream: string, data: Uint8Array): Promise<number> {
        await this.check(`append to stream ${stream}`);
        const offset = await this.log.append(stream, data);
        if (this.faults.loseAnswers > 0) {
            this.faults.loseAnswers -= 1;
            throw new PlatformError(`append to stream ${stream}`, "log", Executed.Unknown, new Error("the answer was lost"));
        }
        return offset;
    }

    override async read(stream: string, fromOffset: number, settings?: LogReadSettings): Promise<LogPage> {
        const step = `read stream ${stream}`;
        await this.check(step);
        const page = await this.log.read(stream, fromOffset, settings);
        await this.check(step);
        return page;
    }

    private async check(step: string): Promise<void> {
        if (this.faults.hang) {
            await new Promise<never>(() => undefined);
        }
        if (this.faults.cut) {
            throw new PlatformError(step, "log", Executed.No, new Error("the connection was refused"));
        }
    }
}
