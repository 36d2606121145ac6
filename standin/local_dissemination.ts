/**
 * In-process dissemination between nodes, with a propagation delay and partitions.
 *
 * @module
 */

import { createAdapter } from "@most/adapter";
import type { Stream } from "@most/types";
import { Dissemination, type SharedValue, type Topic } from "../src/protocol/mod.js";
import type { Clock } from "../src/state/mod.js";

/** Time in which a value reaches every node, in milliseconds. */
const PROPAGATION_MS = 500;

/** Connects the nodes of a fleet and simulates partitions between them. */
export class DisseminationHub {
    private readonly members = new Map<string, LocalDissemination>();
    private readonly isolated = new Set<string>();

    /** @param clock Clock that times propagation and the age of values. */
    constructor(readonly clock: Clock) {}

    /** Adds a node. */
    join(node: string): LocalDissemination {
        const member = new LocalDissemination(this, node);
        this.members.set(node, member);
        return member;
    }

    /** Partitions a node from all others; healing propagates the values of all nodes again. */
    setIsolated(node: string, isolated: boolean): void {
        if (isolated) {
            this.isolated.add(node);
            return;
        }
        this.isolated.delete(node);
        for (const [id, member] of this.members) {
            if (id !== node) {
                void this.propagate(member);
            }
        }
        void this.propagate(this.members.get(node));
    }

    /** Delivers all values of a node to the others after the propagation delay. */
    async propagate(origin: LocalDissemination | undefined): Promise<void> {
        await this.clock.sleep(PROPAGATION_MS);
        if (origin === undefined || this.isolated.has(origin.node)) {
            return;
        }
        for (const [node, member] of this.members) {
            if (node !== origin.node && !this.isolated.has(node)) {
                member.receive(origin.publishedValues());
            }
        }
    }
}

/** Value with the timestamp of its publication. */
interface TimedValue {
    readonly topic: Topic;
    readonly origin: string;
    readonly key: string;
    readonly atMs: number;
    readonly data: Uint8Array;
}

/** Dissemination of one node, connected to the others by a {@linkcode DisseminationHub}. */
export class LocalDissemination extends Dissemination {
    override readonly arrivals: Stream<SharedValue>;
    private readonly emitArrival: (value: SharedValue) => void;
    private readonly published = new Map<string, TimedValue>();
    private readonly received = new Map<string, TimedValue>();

    /**
     * @param hub Hub that connects the nodes.
     * @param node Id of this node.
     */
    constructor(private readonly hub: DisseminationHub, readonly node: string) {
        super();
        [this.emitArrival, this.arrivals] = createAdapter<SharedValue>();
    }

    override publish(topic: Topic, key: string, data: Uint8Array): void {
        this.published.set(`${topic} ${key}`, { topic, key, data, origin: this.node, atMs: this.hub.clock.now() });
        void this.hub.propagate(this);
    }

    override read(topic: Topic): readonly SharedValue[] {
        return [...this.received.values()].filter(value => value.topic === topic).map(value => this.toSharedValue(value));
    }

    /** Returns the values that this node has published. */
    publishedValues(): Iterable<TimedValue> {
        return this.published.values();
    }

    /** Stores the values of another node that are newer than those held, and emits them as arrivals. */
    receive(values: Iterable<TimedValue>): void {
        for (const value of values) {
            const key = `${value.origin} ${value.topic} ${value.key}`;
            const existing = this.received.get(key);
            if (existing === undefined || existing.atMs < value.atMs) {
                this.received.set(key, value);
                this.emitArrival(this.toSharedValue(value));
            }
        }
    }

    private toSharedValue({ topic, origin, key, atMs, data }: TimedValue): SharedValue {
        return { topic, origin, key, data, ageMs: this.hub.clock.now() - atMs };
    }
}
