/**
 * Merges the timelines of several nodes into one sequence of events.
 *
 * @module
 */

import { setTimeout as sleep } from "node:timers/promises";
import type { wire } from "../protocol/mod.js";
import { compareHybridTimes } from "../state/mod.js";
import { OperatorError } from "./operator_client.js";

/** Maximum number of timelines that are read concurrently. */
const MAX_CONCURRENT_READS = 32;

/** Interval at which buffered events are sorted and delivered, in milliseconds; events of slower nodes that arrive within it come in order. */
const REORDER_WINDOW_MS = 500;

/** Maximum number of buffered events, over all nodes. */
const MAX_BUFFERED_EVENTS = 10_000;

/** Timeline of one node that can be read. */
export interface TimelineSource {
    readonly node: string;
    readonly address: string;
    /** Reads the events. */
    read(signal?: AbortSignal): AsyncIterable<wire.EventRecord>;
}

/** Node whose timeline could not be read, wholly or in part. */
export interface UnreachableNode {
    readonly node: string;
    readonly address: string;
    readonly why: string;
}

/** Merged events, and the nodes whose timelines could not be read. */
export interface MergedTimeline {
    readonly events: readonly wire.EventRecord[];
    readonly unreachable: readonly UnreachableNode[];
}

/**
 * Reads all sources and sorts their events.
 *
 * If reading a source fails, the events read from it so far are kept and its node is listed as unreachable.
 *
 * @param sources Timelines of the nodes.
 */
export async function mergeTimelines(sources: readonly TimelineSource[]): Promise<MergedTimeline> {
    const events: wire.EventRecord[] = [];
    const unreachable: UnreachableNode[] = [];
    const pending = [...sources];
    const readPending = async () => {
        for (let source = pending.shift(); source !== undefined; source = pending.shift()) {
            const failure = await readSource(source, event => void events.push(event));
            if (failure !== undefined) {
                unreachable.push(failure);
            }
        }
    };
    await Promise.all(Array.from({ length: MAX_CONCURRENT_READS }, readPending));
    return {
        events: events.sort(compareEvents),
        unreachable: unreachable.sort((left, right) => left.node < right.node ? -1 : 1),
    };
}

/** Receiver of followed events. */
export interface TimelineSink {
    /** Handles events in order; resolves when it can accept more. */
    onEvents(events: readonly wire.EventRecord[]): Promise<void>;
    /** Handles a node that does not answer, or has stopped answering. */
    onUnreachable(node: UnreachableNode): void;
}

/**
 * Follows all sources until the signal is aborted or all sources have ended or failed.
 *
 * If the sink is slow, reading pauses at {@linkcode MAX_BUFFERED_EVENTS} buffered events; the daemons then drop events and count them.
 *
 * @param sources Timelines of the nodes, which do not end on their own.
 * @param sink Receives the events in order, in batches every {@linkcode REORDER_WINDOW_MS}.
 * @param signal Stops following.
 */
export async function followTimelines(
    sources: readonly TimelineSource[],
    sink: TimelineSink,
    signal: AbortSignal,
): Promise<void> {
    const buffered: wire.EventRecord[] = [];
    let isReading = true;
    const bufferEvent = async (event: wire.EventRecord) => {
        while (buffered.length >= MAX_BUFFERED_EVENTS && !signal.aborted) {
            await sleep(REORDER_WINDOW_MS);
        }
        buffered.push(event);
    };
    const follow = async (source: TimelineSource) => {
        const failure = await readSource(source, bufferEvent, signal);
        if (failure !== undefined) {
            sink.onUnreachable(failure);
        }
    };
    const all = Promise.all(sources.map(follow)).finally(() => {
        isReading = false;
    });
    while (isReading) {
        await Promise.race([sleep(REORDER_WINDOW_MS), all]);
        const events = buffered.splice(0).sort(compareEvents);
        if (events.length > 0) {
            await sink.onEvents(events);
        }
    }
    await all;
}

/** Reads a source; returns its node if the daemon does not answer. */
async function readSource(
    source: TimelineSource,
    onEvent: (event: wire.EventRecord) => Promise<void> | void,
    signal?: AbortSignal,
): Promise<UnreachableNode | undefined> {
    try {
        for await (const event of source.read(signal)) {
            await onEvent(event);
        }
        return undefined;
    }
    catch (error) {
        if (!(error instanceof OperatorError)) {
            throw error;
        }
        return { node: source.node, address: source.address, why: error.message };
    }
}

function compareEvents(left: wire.EventRecord, right: wire.EventRecord): number {
    return compareHybridTimes(left, right) || (left.node < right.node ? -1 : 1);
}
