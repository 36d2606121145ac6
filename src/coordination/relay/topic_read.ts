/**
 * Record of a read of a topic, for logs and metrics.
 *
 * @module
 */

/** Outcome of a read. */
export enum TopicReadOutcome {
    /** The answer contained records. */
    Records = "records",
    /** The answer contained no records. */
    Empty = "empty",
    /** The answer ended before an offset already seen and was ignored. */
    Outdated = "outdated",
    /** The records to be read were no longer retained. */
    Compacted = "compacted",
    /** No answer, or an error, was received. */
    Failed = "failed",
}

/** Completed read of a topic. */
export interface TopicRead {
    readonly topic: string;
    readonly outcome: TopicReadOutcome;
    /** Time from sending the read to its answer or failure, in milliseconds. */
    readonly durationMs: number;
    /** End offset of the topic in the answer, or `undefined` without one. */
    readonly endOffset: number | undefined;
}
