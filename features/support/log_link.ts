/**
 * Link of one node to a model of the platform's log.
 *
 * @module
 */

import {
    Executed,
    KeyedLog,
    type KeyedPage,
    type KeyedReadSettings,
    type NewestReadSettings,
    PlatformError,
} from "../../src/protocol/relay/mod.js";
import type { Clock } from "../../src/state/relay/mod.js";

/** Time after which a call without an answer fails if its caller states none, in milliseconds. */
const DEFAULT_TIMEOUT_MS = 1_000;

/** What a link does with calls. */
export enum LinkState {
    Open = "open",
    /** No call gets an answer. */
    Silent = "silent",
    /** Each call is refused. */
    Refused = "refused",
}

/** Passes calls on to a log that several nodes share, and counts the reads. */
export class LogLink extends KeyedLog {
    state = LinkState.Open;
    reads = 0;

    /**
     * @param log Shared log.
     * @param clock Clock of the timeouts.
     */
    constructor(private readonly log: KeyedLog, private readonly clock: Clock) {
        super();
    }

    override readNewest(topic: string, settings: NewestReadSettings = {}): Promise<KeyedPage> {
        this.reads += 1;
        return this.pass(settings.answerTimeoutMs ?? DEFAULT_TIMEOUT_MS, () => this.log.readNewest(topic, settings));
    }

    override read(topic: string, fromOffset: number, settings: KeyedReadSettings = {}): Promise<KeyedPage> {
        this.reads += 1;
        const { waitMs = 0, answerTimeoutMs = DEFAULT_TIMEOUT_MS } = settings;
        return this.pass(waitMs + answerTimeoutMs, () => this.log.read(topic, fromOffset, settings));
    }

    override append(topic: string, key: string, value: Uint8Array, endOffset?: number): Promise<number> {
        return this.pass(DEFAULT_TIMEOUT_MS, () => this.log.append(topic, key, value, endOffset));
    }

    /** An answer is lost if the link is silent when it is due. */
    private async pass<Answer>(timeoutMs: number, call: () => Promise<Answer>): Promise<Answer> {
        const endMs = this.clock.now() + timeoutMs;
        if (this.state === LinkState.Refused) {
            throw new PlatformError("call", "link", Executed.No, new Error("status 503"));
        }
        if (this.state === LinkState.Open) {
            const answer = await call();
            if (this.state === LinkState.Open) {
                return answer;
            }
        }
        await this.clock.sleep(endMs - this.clock.now());
        throw new PlatformError("call", "link", Executed.Unknown, new Error("timeout"));
    }
}
