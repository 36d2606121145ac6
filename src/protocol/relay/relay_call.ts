/**
 * Opaque calls and their answers.
 *
 * @module
 */

/** Headers as a flat list of names and values, in the order of the wire. */
export type HeaderList = readonly string[];

/** Size of a call in tokens. */
export interface TokenSize {
    readonly prompt: number;
    /** Most tokens of the answer. */
    readonly maxOutput: number;
}

/** Part of a prompt that other calls may share. */
export interface PromptPart {
    readonly id: string;
    readonly tokens: number;
}

/** What the headers of a call say. */
export interface CallHead {
    readonly id: string;
    readonly host: string;
    readonly key: string | undefined;
    /** Time for which the caller waits, in milliseconds; `undefined` when it doesn't say. */
    readonly deadlineMs: number | undefined;
    readonly size: TokenSize | undefined;
    /** Tokens that the caller expects in the answer; often far off. */
    readonly outputEstimate: number | undefined;
    /** Parts of the prompt in order. */
    readonly parts: readonly PromptPart[];
    /** Last event of the stream that the caller already has. */
    readonly lastEventId: string | undefined;
    /** Headers that concern more than one connection and that the caller may set. */
    readonly endToEnd: HeaderList;
}

/** Opaque call as it was read from a caller. */
export interface RelayCall {
    readonly head: CallHead;
    readonly method: string;
    /** Path with the query, byte by byte as the caller sent it. */
    readonly target: string;
    readonly body: Buffer;
    readonly arrivedAtMs: number;
    /** Aborted when the caller has gone. */
    readonly callerGone: AbortSignal;
}

/** What the node adds to a call for one attempt. */
export interface AttemptHead {
    /** Incarnation that is addressed; another one refuses the call. */
    readonly serverId: string;
    readonly workspace: string | undefined;
    /** Time left, in milliseconds. */
    readonly deadlineMs: number;
    /** Last event that the caller has, when a stream goes on. */
    readonly lastEventId: string | undefined;
}

/** What the head of a backend server's answer says. */
export interface AnswerHead {
    readonly status: number;
    /** Call that the answer belongs to; `undefined` when the answer names none. */
    readonly callId: string | undefined;
    /** Whether the backend server vouches that it answered by itself. */
    readonly isSealed: boolean;
    /** Whether the backend server says that the call has not run and never will. */
    readonly isNotExecuted: boolean;
    /** Whether the body was encoded on the way. */
    readonly isEncoded: boolean;
    /** Calls that the backend server runs and that wait there. */
    readonly load: ServerLoad | undefined;
    /** Headers that concern more than one connection. */
    readonly endToEnd: HeaderList;
}

/** Load that a backend server tells with an answer. */
export interface ServerLoad {
    readonly running: number;
    readonly waiting: number;
    readonly slots: number;
}

/** Headers of calls and answers as the platform names them. */
export abstract class RelayHeaders {
    /**
     * Reads the headers of a call.
     *
     * @returns What they say, or a sentence that names what is wrong.
     */
    abstract readCall(headers: HeaderList): CallHead | string;

    /** Returns the headers of one attempt, without those that frame the body. */
    abstract writeAttempt(head: CallHead, attempt: AttemptHead): string[];

    /** Reads the head of an answer. */
    abstract readAnswer(status: number, headers: HeaderList): AnswerHead;
}
