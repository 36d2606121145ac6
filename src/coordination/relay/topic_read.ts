/**
 * Record of a read of a topic, for logs and metrics.
 *
 * @module
 */

import type { LogPosition } from "../../protocol/relay/mod.js";

/** Outcome of a read. */
export enum TopicReadOutcome {
    /** The answer contained records. */
    Records = "records",
    /** The answer contained no records. */
    Empty = "empty",
    /** The answer was of an earlier era, or ended before an offset already seen, and was ignored. */
    Outdated = "outdated",
    /** The records to be read were no longer retained. */
    Compacted = "compacted",
    /** The answer was of a new era, whose offsets differ. */
    NewEra = "newEra",
    /** No answer, or an error, was received. */
    Failed = "failed",
}

/** Topic that is read again from a snapshot because the log was restored from an older copy. */
export interface TopicRestart {
    readonly topic: string;
    readonly before: LogPosition;
    readonly after: LogPosition;
}

/** Completed read of a topic. */
export interface TopicRead {
    readonly topic: string;
    readonly outcome: TopicReadOutcome;
    /** Time from sending the read to its answer or failure, in milliseconds. */
    readonly durationMs: number;
    /** Era and end offset of the topic in the answer, or `undefined` without one. */
    readonly end: LogPosition | undefined;
}
