/**
 * Logging of the events that a node records.
 *
 * @module
 */

import { runEffects, tap } from "@most/core";
import { newDefaultScheduler } from "@most/scheduler";
import type { Logger } from "pino";
import type { EventRing, TimelineEvent } from "../state/mod.js";

/**
 * Logs each event of the ring, prefixed with its part. Events of single calls are logged only if debug logging is enabled.
 *
 * @param ring Ring whose events are logged.
 * @param logger Logger that receives the events.
 */
export function logEvents(ring: EventRing, logger: Logger): void {
    const write = (event: TimelineEvent) => {
        if (event.requestId !== undefined && !logger.isLevelEnabled("debug")) {
            return;
        }
        const fields = { part: event.part, kind: event.kind, requestId: event.requestId, peer: event.peer };
        const line = `${event.part}: ${event.text}`;
        if (event.warning) {
            logger.warn(fields, line);
        }
        else if (event.requestId === undefined) {
            logger.info(fields, line);
        }
        else {
            logger.debug(fields, line);
        }
    };
    void runEffects(tap(write, ring.events), newDefaultScheduler());
}
