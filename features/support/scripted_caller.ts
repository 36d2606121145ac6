/**
 * Answer that records what its caller gets, under a virtual clock.
 *
 * @module
 */

import { type HeaderList, type LocalAnswer, RelayAnswer } from "../../src/protocol/relay/mod.js";
import type { Clock } from "../../src/state/relay/mod.js";

/** Answer as a caller of the model got it. */
export class ScriptedCaller extends RelayAnswer {
    readonly gone = new AbortController();
    status = 0;
    body = "";
    isEnded = false;
    isAborted = false;
    endedAtMs = 0;
    isStarted = false;
    /** Times at which a part of the answer was written. */
    readonly writtenAtMs: number[] = [];

    /** @param clock Clock of the model. */
    constructor(private readonly clock: Clock) {
        super();
    }

    override sendComplete(status: number, headers: HeaderList, body: Buffer): void {
        this.start(status);
        this.writtenAtMs.push(this.clock.now());
        this.body += String(body);
        this.end();
    }

    override start(status: number): void {
        this.body += this.isStarted ? "a second head" : "";
        this.isStarted = true;
        this.status = status;
    }

    override write(chunk: Buffer): Promise<void> {
        this.writtenAtMs.push(this.clock.now());
        this.body += this.isEnded ? "bytes after the end" : String(chunk);
        return Promise.resolve();
    }

    override end(): void {
        this.isEnded = true;
        this.endedAtMs = this.clock.now();
    }

    override abort(): void {
        this.isAborted = true;
        this.endedAtMs = this.clock.now();
    }

    protected override writeLocal({ status, text }: LocalAnswer): void {
        this.start(status);
        this.body += text;
        this.end();
    }
}
