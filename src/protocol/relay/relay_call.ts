/**
 * Opaque calls that the relay forwards, and the heads of their answers.
 *
 * @module
 */

/** Headers as a flat list of alternating names and values, in wire order. */
export type HeaderList = readonly string[];

/** Size of a call, in tokens. */
export interface TokenSize {
    readonly prompt: number;
    /** Maximum number of tokens in the answer. */
    readonly maxOutput: number;
}

/** Section of a prompt that other calls may share, so that a backend server may have it cached. */
export interface PromptPart {
    readonly id: string;
    readonly tokens: number;
}

/** Parsed headers of a call. */
export interface CallHead {
    readonly id: string;
    readonly host: string;
    readonly key: string | undefined;
    /** Time for which the caller waits, in milliseconds; `undefined` when the caller does not state it. */
    readonly deadlineMs: number | undefined;
    readonly size: TokenSize | undefined;
    /** Number of answer tokens that the caller expects; often inaccurate. */
    readonly outputEstimate: number | undefined;
    /** Sections of the prompt in order. */
    readonly parts: readonly PromptPart[];
    /** Id of the last stream event that the caller has received. */
    readonly lastEventId: string | undefined;
    /** End-to-end headers (not hop-by-hop) that the caller is allowed to set. */
    readonly endToEnd: HeaderList;
}

/** Opaque call as received from a caller. */
export interface RelayCall {
    readonly head: CallHead;
    readonly method: string;
    /** Path with the query, byte for byte as the caller sent it. */
    readonly target: string;
    readonly body: Buffer;
    readonly arrivedAtMs: number;
    /** Aborted when the caller disconnects. */
    readonly callerGone: AbortSignal;
}

/** Values that the node adds to the headers of a call for one attempt. */
export interface AttemptHead {
    /** Id of the addressed server incarnation; any other incarnation refuses the call. */
    readonly serverId: string;
    readonly workspace: string | undefined;
    /** Remaining time until the deadline, in milliseconds. */
    readonly deadlineMs: number;
    /** Whether the attempt may still be written to a connection that has just been opened. */
    readonly maySend: () => boolean;
    /** Id of the last event that the caller has received, when a stream is resumed. */
    readonly lastEventId: string | undefined;
}

/** Status and parsed headers of a backend server's answer. */
export interface AnswerHead {
    readonly status: number;
    /** Id of the call that the answer belongs to; `undefined` when the answer does not state it. */
    readonly callId: string | undefined;
    /** Whether the answer has the seal which confirms that the backend server itself generated it. */
    readonly isSealed: boolean;
    /** Whether the backend server states that the call was not executed and never will be. */
    readonly isNotExecuted: boolean;
    /** Whether the body has a content encoding, which an intermediary added. */
    readonly isEncoded: boolean;
    /** Whether the body has no length and ends with its connection. */
    readonly isCloseDelimited: boolean;
    /** Load that the backend server reports with the answer. */
    readonly load: ServerLoad | undefined;
    /** Limit that the backend server states; `undefined` when it states none. */
    readonly callLimit: CallLimit | undefined;
    /** Time for which the backend server wants no calls from this node; `undefined` when it states none. */
    readonly rest: ServerRest | undefined;
    /** Refusals above which the backend server falls over; `undefined` when it states none. */
    readonly refusalLimit: RefusalLimit | undefined;
    /** Time for which the backend server bears few calls; `undefined` when it states none. */
    readonly warmUp: ServerWarmUp | undefined;
    /** Whether the backend server states that it is leaving. */
    readonly isLeaving: boolean;
    /** End-to-end headers (not hop-by-hop). */
    readonly endToEnd: HeaderList;
}

/** Time for which a backend server wants no calls from a node, as it states with a refusal. */
export interface ServerRest {
    /** Value as the server sent it. */
    readonly text: string;
    /** Parsed value, in milliseconds; `undefined` when it is not a decimal number of seconds. */
    readonly restMs: number | undefined;
}

/** Time for which a backend server bears few calls, as it states in an answer. */
export interface ServerWarmUp {
    /** Value as the server sent it. */
    readonly text: string;
    /** Parsed value, in milliseconds; `undefined` when it is not a decimal number. */
    readonly warmUpMs: number | undefined;
}

/** Rate of calls that a backend server may turn away for want of room before it falls over, as it states in an answer. */
export interface RefusalLimit {
    /** Value as the server sent it. */
    readonly text: string;
    /** Parsed value; `undefined` when it is not a decimal number. */
    readonly refusalsPerSecond: number | undefined;
}

/** Numbers of running calls, waiting calls and slots that a backend server reports with an answer. */
export interface ServerLoad {
    readonly running: number;
    readonly waiting: number;
    readonly slots: number;
}

/** Rate of calls that a backend server accepts from all nodes together, as it states in an answer. */
export interface CallLimit {
    /** Value as the server sent it. */
    readonly text: string;
    /** Parsed value; `undefined` when it is not a decimal number. */
    readonly callsPerSecond: number | undefined;
}

/** Codec for the platform's headers of calls and answers. */
export abstract class RelayHeaders {
    /**
     * Parses the headers of a call.
     *
     * @returns The parsed headers, or a sentence that states what is wrong.
     */
    abstract readCall(headers: HeaderList): CallHead | string;

    /** Reads how long the caller of a call waits, in milliseconds; `undefined` if it does not state it. */
    abstract readDeadline(headers: HeaderList): number | undefined;

    /** Returns the headers of one attempt, without those that define the framing of the body. */
    abstract writeAttempt(head: CallHead, attempt: AttemptHead): string[];

    /** Parses the head of an answer. */
    abstract readAnswer(status: number, headers: HeaderList): AnswerHead;
}
