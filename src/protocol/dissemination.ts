/**
 * Values that nodes share with each other.
 *
 * @module
 */

import type { Stream } from "@most/types";

/** Kind of shared value; a lower number is sent first when bytes are short. */
export enum Topic {
    /** Versions that were rolled back. */
    RollbackVeto = 0,
    /** Version of the configuration in force. */
    ConfigurationVersion = 1,
    /** Lowest tier that a node admits, by pool. */
    AdmissionLevel = 2,
    /** Work sent to each backend server since its last report. */
    SentLoad = 3,
    /** Evidence on versions under rollout. */
    RolloutEvidence = 4,
}

/** Latest value that one node shares on one topic. */
export interface SharedValue {
    readonly topic: Topic;
    /** Node that shares the value. */
    readonly origin: string;
    /** Part of the topic, such as a pool; a node has one value for each. */
    readonly key: string;
    /** Time since the origin published the value, as far as this node can tell, in milliseconds. */
    readonly ageMs: number;
    readonly data: Uint8Array;
}

/** Spreads each node's latest values to all nodes that can be reached, within a byte budget. */
export abstract class Dissemination {
    /** Values of other nodes as they come; only newer values of an origin and key replace older ones. */
    abstract readonly arrivals: Stream<SharedValue>;

    /**
     * Publishes this node's value, which replaces its earlier one of the same topic and key.
     *
     * @param topic Kind of value.
     * @param key Part of the topic.
     * @param data Value; short, since the byte budget is shared.
     */
    abstract publish(topic: Topic, key: string, data: Uint8Array): void;

    /**
     * Returns the latest value of each other node. Values of nodes that were removed from the membership are left out.
     *
     * @param topic Kind of value.
     */
    abstract read(topic: Topic): readonly SharedValue[];
}
