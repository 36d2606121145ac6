/**
 * Merging of the time lines of all nodes.
 *
 * @module
 */

import { setTimeout as sleep } from "node:timers/promises";
import type { wire } from "../protocol/mod.js";
import { compareHybridTimes } from "../state/mod.js";
import { OperatorError } from "./operator_client.js";

/** Time lines read at the same time. */
const MAX_CONCURRENT_READS = 32;

/** Time for which followed events are held so that those of slower nodes come in order, in milliseconds. */
const REORDER_WINDOW_MS = 500;

/** Followed events held at the same time, over all nodes. */
const MAX_BUFFERED_EVENTS = 10_000;

/** Time line of one node. */
export interface TimelineSource {
    readonly node: string;
    readonly address: string;
    /** Reads the events. */
    read(signal?: AbortSignal): AsyncIterable<wire.EventRecord>;
}

/** Node whose time line could not be read. */
export interface UnreachableNode {
    readonly node: string;
    readonly address: string;
    readonly why: string;
}

/** Events of the nodes that answered, and the nodes that did not. */
export interface MergedTimeline {
    readonly events: readonly wire.EventRecord[];
    readonly unreachable: readonly UnreachableNode[];
}

/**
 * Reads all sources and puts their events in one order. The events of a node that fails halfway are kept, and the node is named.
 *
 * @param sources Time lines of the nodes.
 */
export async function mergeTimelines(sources: readonly TimelineSource[]): Promise<MergedTimeline> {
    const events: wire.EventRecord[] = [];
    const unreachable: UnreachableNode[] = [];
    const left = [...sources];
    const readSome = async () => {
        for (let source = left.shift(); source !== undefined; source = left.shift()) {
            const failure = await readSource(source, event => void events.push(event));
            if (failure !== undefined) {
                unreachable.push(failure);
            }
        }
    };
    await Promise.all(Array.from({ length: MAX_CONCURRENT_READS }, readSome));
    return {
        events: events.sort(compareEvents),
        unreachable: unreachable.sort((left, right) => left.node < right.node ? -1 : 1),
    };
}

/** Where followed events go. */
export interface TimelineSink {
    /** Takes events in order; resolves when it can take more. */
    onEvents(events: readonly wire.EventRecord[]): Promise<void>;
    /** Takes a node that does not answer, or does not any more. */
    onUnreachable(node: UnreachableNode): void;
}

/**
 * Follows all sources until the signal is aborted or every source has failed.
 *
 * While the sink is slow no more is read than {@linkcode MAX_BUFFERED_EVENTS}; the daemons then drop events and count them.
 *
 * @param sources Time lines of the nodes, which do not end by themselves.
 * @param sink Where events go, held for half a second so that they come in order.
 * @param signal Ends the following.
 */
export async function followTimelines(
    sources: readonly TimelineSource[],
    sink: TimelineSink,
    signal: AbortSignal,
): Promise<void> {
    const held: wire.EventRecord[] = [];
    let reading = true;
    const hold = async (event: wire.EventRecord) => {
        while (held.length >= MAX_BUFFERED_EVENTS && !signal.aborted) {
            await sleep(REORDER_WINDOW_MS);
        }
        held.push(event);
    };
    const follow = async (source: TimelineSource) => {
        const failure = await readSource(source, hold, signal);
        if (failure !== undefined) {
            sink.onUnreachable(failure);
        }
    };
    const all = Promise.all(sources.map(follow)).finally(() => {
        reading = false;
    });
    while (reading) {
        await Promise.race([sleep(REORDER_WINDOW_MS), all]);
        const events = held.splice(0).sort(compareEvents);
        if (events.length > 0) {
            await sink.onEvents(events);
        }
    }
    await all;
}

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
