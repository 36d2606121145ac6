/**
 * Log service as one node reaches it.
 *
 * @module
 */

import { Executed, type LogPage, type LogReadSettings, LogService, PlatformError } from "../src/protocol/mod.js";

/** Connection to a log service that a test can cut. */
export class CuttableLog extends LogService {
    /** Whether the node cannot reach the log service. */
    cut = false;

    /** @param inner Log service. */
    constructor(private readonly inner: LogService) {
        super();
    }

    override async append(stream: string, data: Uint8Array): Promise<number> {
        this.checkReachable(`append to stream ${stream}`);
        return this.inner.append(stream, data);
    }

    override async read(stream: string, fromOffset: number, settings?: LogReadSettings): Promise<LogPage> {
        this.checkReachable(`read stream ${stream}`);
        const page = await this.inner.read(stream, fromOffset, settings);
        this.checkReachable(`read stream ${stream}`);
        return page;
    }

    private checkReachable(step: string): void {
        if (this.cut) {
            throw new PlatformError(step, "log", Executed.No, new Error("the log cannot be reached"));
        }
    }
}
