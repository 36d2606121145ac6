/**
 * Model of the connections by which nodes hand calls to each other.
 *
 * @module
 */

import {
    type AnswerHead,
    AttemptAnswer,
    AttemptError,
    AttemptFault,
    type DetourCall,
    DetourClient,
    type DetourPeer,
    type HeaderList,
    type LocalAnswer,
    RelayAnswer,
} from "../src/protocol/relay/mod.js";
import type { Clock } from "../src/state/relay/mod.js";

/** Time that a message takes between two nodes, in milliseconds. */
const ONE_WAY_MS = 1;

/** Time after which an attempt to connect to a node that is cut off fails, in milliseconds. */
const CONNECT_TIMEOUT_MS = 250;

/** Handles a call at the node that takes it. */
export type DetourHandler = (message: DetourCall, answer: RelayAnswer, callerGone: AbortSignal) => void;

/** Settings of a {@linkcode ModelDetourClient}. */
export interface ModelDetourClientSettings {
    readonly clock: Clock;
    /** Returns the handler of a node; `undefined` if it is not reached. */
    readonly handlerOf: (node: string) => DetourHandler | undefined;
}

/** Hands calls to nodes of the model. */
export class ModelDetourClient extends DetourClient {
    /** @param settings See {@linkcode ModelDetourClientSettings}. */
    constructor(private readonly settings: ModelDetourClientSettings) {
        super();
    }

    override send(peer: DetourPeer, call: DetourCall, signal: AbortSignal): AttemptAnswer {
        return new ModelDetourAnswer(this.settings, peer, call, signal);
    }
}

/** Answer of a peer as it is passed on in the model. */
class ModelDetourAnswer extends AttemptAnswer {
    private readonly gone = new AbortController();
    private readonly written: WrittenAnswer;

    constructor(
        private readonly settings: ModelDetourClientSettings,
        private readonly peer: DetourPeer,
        private readonly call: DetourCall,
        private readonly signal: AbortSignal,
    ) {
        super();
        this.written = new WrittenAnswer();
        signal.addEventListener("abort", () => {
            this.written.abort();
            this.gone.abort();
        }, { once: true });
    }

    override async awaitHead(): Promise<AnswerHead> {
        const { clock, handlerOf } = this.settings;
        await clock.sleep(ONE_WAY_MS, this.gone.signal);
        const handle = handlerOf(this.peer.node);
        if (handle === undefined) {
            await clock.sleep(CONNECT_TIMEOUT_MS, this.gone.signal);
            throw new AttemptError(AttemptFault.NotRun, this.peer.node, "connect", new Error("connect timeout"));
        }
        handle(this.call, this.written, this.gone.signal);
        await this.written.awaitChange(() => this.written.head !== undefined);
        if (this.written.head === undefined) {
            throw this.makeError("read the head");
        }
        return this.written.head;
    }

    override async next(): Promise<Buffer | undefined> {
        await this.written.awaitChange(() => this.written.chunks.length > 0 || this.written.isComplete);
        const chunk = this.written.chunks.shift();
        if (chunk === undefined && !this.written.isComplete) {
            throw this.makeError("read the body");
        }
        return chunk;
    }

    override recordRead(): void {
        // The model holds no memory.
    }

    override cancel(): void {
        if (!this.written.isComplete) {
            this.gone.abort();
        }
    }

    private makeError(step: string): AttemptError {
        const fault = this.signal.aborted ? AttemptFault.Cancelled : AttemptFault.Unknown;
        return new AttemptError(fault, this.peer.node, step, new Error("the peer broke off"));
    }
}

/** What a peer has written so far. */
class WrittenAnswer extends RelayAnswer {
    head: AnswerHead | undefined;
    isComplete = false;
    readonly chunks: Buffer[] = [];
    private isAborted = false;
    private wake: () => void = () => undefined;

    override get isStarted(): boolean {
        return this.head !== undefined;
    }

    override sendComplete(status: number, headers: HeaderList, body: Buffer): void {
        this.head = makeHead(status, headers, true);
        this.chunks.push(body);
        this.end();
    }

    override start(status: number, headers: HeaderList): void {
        this.head = makeHead(status, headers, true);
        this.wake();
    }

    override write(chunk: Buffer): Promise<void> {
        this.chunks.push(chunk);
        this.wake();
        return Promise.resolve();
    }

    override end(): void {
        this.isComplete = true;
        this.wake();
    }

    override abort(): void {
        this.isAborted = true;
        this.wake();
    }

    protected override writeLocal({ status, text }: LocalAnswer): void {
        this.head = makeHead(status, [], false);
        this.chunks.push(Buffer.from(JSON.stringify({ error: text })));
        this.end();
    }

    /** Waits until a condition holds or the answer was broken off. */
    async awaitChange(condition: () => boolean): Promise<void> {
        while (!condition() && !this.isAborted) {
            await new Promise<void>(resolve => {
                this.wake = resolve;
            });
        }
    }
}

function makeHead(status: number, endToEnd: HeaderList, isSealed: boolean): AnswerHead {
    return {
        status,
        callId: undefined,
        isSealed,
        isNotExecuted: false,
        isEncoded: false,
        isCloseDelimited: false,
        load: undefined,
        callLimit: undefined,
        rest: undefined,
        refusalLimit: undefined,
        warmUp: undefined,
        isLeaving: false,
        endToEnd,
    };
}
