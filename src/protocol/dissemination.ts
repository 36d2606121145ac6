/**
 * Dissemination of small values among the nodes.
 *
 * @module
 */

import type { Stream } from "@most/types";

/** Kinds of shared values. Lower numbers have priority when the byte budget is exhausted. */
export enum Topic {
    /** Versions that were rolled back. */
    RollbackVeto = 0,
    /** Version of the configuration in force. */
    ConfigurationVersion = 1,
    /** Lowest tier that a node admits, for each pool. */
    AdmissionLevel = 2,
    /** Work sent to each backend server since its last load report. */
    SentLoad = 3,
    /** Measurements of versions under rollout. */
    RolloutEvidence = 4,
}

/** Latest value that one node published for one key of a topic. */
export interface SharedValue {
    readonly topic: Topic;
    /** Node that published the value. */
    readonly origin: string;
    /** Key within the topic, such as a pool; a node has one value per key. */
    readonly key: string;
    /** Estimated time since the origin published the value, in milliseconds. */
    readonly ageMs: number;
    readonly data: Uint8Array;
}

/** Disseminates each node's latest values to all reachable nodes within a byte budget. */
export abstract class Dissemination {
    /** Values of other nodes as they arrive; a value is emitted only if it is newer than the last one of its origin and key. */
    abstract readonly arrivals: Stream<SharedValue>;

    /**
     * Publishes a value of this node, replacing its previous value of the same topic and key.
     *
     * @param topic Kind of value.
     * @param key Key within the topic.
     * @param data Encoded value; keep it short, because all values share the byte budget.
     */
    abstract publish(topic: Topic, key: string, data: Uint8Array): void;

    /**
     * Returns the latest values of the other nodes, except those of nodes that were removed from the membership.
     *
     * @param topic Kind of value.
     */
    abstract read(topic: Topic): readonly SharedValue[];
}
