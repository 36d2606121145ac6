/**
 * Bounded reading of answers whose server may never end them.
 *
 * @module
 */

import { type AttemptAnswer, AttemptError } from "../../protocol/relay/mod.js";
import { BlockBuffer, type Clock } from "../../state/relay/mod.js";

/** Largest complete answer, in bytes; it is held in memory until it is known to be whole. */
export const MAX_ANSWER_BYTES = 4_194_304;

/** Bytes and time, in milliseconds, up to which a refusal is read to its end so that its connection can be used again. */
const MAX_DISCARDED_BYTES = 65_536;
const MAX_DISCARD_MS = 200;

/**
 * Reads an answer to its end.
 *
 * @returns The body, or `undefined` if it exceeds {@linkcode MAX_ANSWER_BYTES}.
 * @throws {AttemptError} When the body is truncated.
 */
export async function readWhole(answer: AttemptAnswer): Promise<Buffer | undefined> {
    const body = new BlockBuffer();
    for (let chunk = await answer.next(); chunk !== undefined; chunk = await answer.next()) {
        body.append(chunk);
        if (body.length > MAX_ANSWER_BYTES) {
            return undefined;
        }
        answer.recordRead(body.length, 0);
    }
    return body.take();
}

/** Discards the rest of a refusal so that its connection can be used again, unless it is too long or takes too long. */
export async function discardRest(answer: AttemptAnswer, clock: Clock): Promise<void> {
    const finished = new AbortController();
    void clock.sleep(MAX_DISCARD_MS, finished.signal).then(isOver => {
        if (isOver) {
            answer.cancel();
        }
    });
    try {
        let bytes = 0;
        while (bytes <= MAX_DISCARDED_BYTES) {
            const chunk = await answer.next();
            if (chunk === undefined) {
                return;
            }
            bytes += chunk.length;
        }
    }
    catch (error) {
        // The head has said that the call has not run; how its answer ends changes nothing.
        if (!(error instanceof AttemptError)) {
            throw error;
        }
    }
    finally {
        finished.abort();
    }
}
