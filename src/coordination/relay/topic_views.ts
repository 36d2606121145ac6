/**
 * Views of the platform's log that nodes share, so that few of them read a topic for all.
 *
 * @module
 */

import { hashKey, type LogPosition, type TopicView } from "../../protocol/relay/mod.js";
import type { Clock } from "../../state/relay/mod.js";

/** Age of a peer's view from which it is forgotten, in milliseconds. */
const EXPIRY_MS = 30_000;

/** Views of a topic that are passed on in sums: that of its reader, and that of the next one. */
const MAX_SUMMED_VIEWS = 2;

/** What a reader knows about a topic. */
export interface ReadView {
    readonly readerKey: number;
    readonly era: number;
    /** Offset from which on the reader has seen every record. */
    readonly baseOffset: number;
    /** Offset after the last record that changed something. */
    readonly changedOffset: number;
    readonly endOffset: number;
    /** Time at which the topic ended there, in milliseconds since the Unix epoch. */
    readonly confirmedAtMs: number;
}

/** Keeps the views of the readers, and announces those of this node. */
export class TopicViews {
    private readonly ownKey: number;
    /** Views of the topics that this node reads for others, by topic. */
    private readonly own = new Map<string, ReadView>();
    private readonly peers = new Map<number, Map<number, ReadView>>();
    private readonly listeners = new Map<number, () => void>();

    /**
     * @param clock Clock of the views' ages.
     * @param node Name of this node.
     * @param reachablePeers Returns the number of peers that receive this node's reports.
     */
    constructor(private readonly clock: Clock, node: string, private readonly reachablePeers: () => number) {
        this.ownKey = hashKey(node);
    }

    /** Whether other nodes use this node's views. */
    get hasPeers(): boolean {
        return this.reachablePeers() > 0;
    }

    /** Calls a listener whenever a peer tells of a change of a topic, or begins to read it. */
    listen(topic: string, onNews: () => void): void {
        this.listeners.set(hashKey(topic), onNews);
    }

    /** Announces what this node has read. */
    announce(topic: string, view: Omit<ReadView, "readerKey">): void {
        this.own.set(topic, { ...view, readerKey: this.ownKey });
    }

    /** Ends the announcements of a topic, which another node reads. */
    withdraw(topic: string): void {
        this.own.delete(topic);
    }

    /** Topics that this node reads for others. */
    get readTopics(): Iterable<string> {
        return this.own.keys();
    }

    /** Views to be reported to the peers. */
    reported(): readonly TopicView[] {
        const now = this.clock.now();
        return [...this.own].map(([topic, { confirmedAtMs, ...view }]) => ({
            topicKey: hashKey(topic),
            ...view,
            ageMs: now - confirmedAtMs,
        }));
    }

    /** Merges what peers have reported. */
    merge(views: readonly TopicView[]): void {
        const now = this.clock.now();
        for (const { topicKey, ageMs, ...view } of views) {
            if (view.readerKey === this.ownKey) {
                continue;
            }
            const known = this.peers.get(topicKey) ?? new Map<number, ReadView>();
            this.peers.set(topicKey, known);
            const before = known.get(view.readerKey);
            const next = { ...view, confirmedAtMs: now - Math.max(0, ageMs) };
            if (before !== undefined && isOutdated(next, before)) {
                continue;
            }
            known.set(view.readerKey, next);
            if (before === undefined || before.era !== next.era || before.changedOffset !== next.changedOffset) {
                this.listeners.get(topicKey)?.();
            }
        }
    }

    /** Views of the peers that read a topic. */
    viewsOf(topic: string): readonly ReadView[] {
        const known = this.peers.get(hashKey(topic));
        if (known === undefined) {
            return [];
        }
        const fromMs = this.clock.now() - EXPIRY_MS;
        for (const [key, { confirmedAtMs }] of known) {
            if (confirmedAtMs < fromMs) {
                known.delete(key);
            }
        }
        return [...known.values()];
    }

    /**
     * Whether a peer reads the topic in this node's place: of several readers, the one that has followed the topic the longest goes on.
     *
     * @param own Position from which on this node has seen every record.
     * @param fromMs Time from which on the peer must have read, in milliseconds since the Unix epoch.
     */
    hasReader(topic: string, own: LogPosition, fromMs: number): boolean {
        const candidate = { era: own.era, baseOffset: own.offset, readerKey: this.ownKey };
        return this.viewsOf(topic).some(view => view.confirmedAtMs >= fromMs && compareReaders(view, candidate) < 0);
    }
}

/**
 * Merges the views of several senders: those of the readers that go on.
 *
 * @param merged Views by topic, which is changed.
 * @param views Views of one sender.
 * @param heldMs Time since they were received, in milliseconds.
 */
export function addTopicViews(merged: Map<number, TopicView[]>, views: readonly TopicView[], heldMs: number): void {
    for (const view of views) {
        const known = (merged.get(view.topicKey) ?? []).filter(({ readerKey }) => readerKey !== view.readerKey);
        known.push({ ...view, ageMs: view.ageMs + heldMs });
        merged.set(view.topicKey, known.sort(compareReaders).slice(0, MAX_SUMMED_VIEWS));
    }
}

/** @returns Whether a view of a reader, which may arrive by way of several nodes, is older than another one. */
function isOutdated(view: ReadView, known: ReadView): boolean {
    return view.era < known.era || view.era === known.era && view.confirmedAtMs <= known.confirmedAtMs;
}

/** Orders readers of a topic: newest era first, then the one that has followed it the longest. */
function compareReaders(
    left: Pick<ReadView, "era" | "baseOffset" | "readerKey">,
    right: Pick<ReadView, "era" | "baseOffset" | "readerKey">,
): number {
    return right.era - left.era || left.baseOffset - right.baseOffset || left.readerKey - right.readerKey;
}
