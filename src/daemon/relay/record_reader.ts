/**
 * Interface for decoding the platform's log records.
 *
 * @module
 */

import type { RolloutRecordFormat } from "../../coordination/relay/mod.js";
import type { KeyedRecord } from "../../protocol/relay/mod.js";
import type { DomainOrder, RelayConfiguration, RelayServer, VersionOrder } from "../../state/relay/mod.js";

/** Decodes the records of the operator and of the backend servers. */
export interface RecordReader extends RolloutRecordFormat {
    /** Topic with the operator's records. */
    readonly operatorTopic: string;
    /** Topic with the servers' entries. */
    readonly serverTopic: string;
    /** Decodes a configuration; returns `undefined` for any other record. */
    decodeConfiguration(record: KeyedRecord): RelayConfiguration | undefined;
    /** Decodes an order to roll out another version of a service; returns `undefined` for any other record. */
    decodeOrder(record: KeyedRecord): VersionOrder | undefined;
    /**
     * Decodes an order about a failure domain; returns `undefined` for any other record.
     *
     * @throws {Error} If the record is an order that cannot be read.
     */
    decodeDomainOrder(record: KeyedRecord): DomainOrder | undefined;
    /** Decodes a server's entry; returns the reason as a sentence if the entry describes no usable server. */
    decodeServer(record: KeyedRecord): RelayServer | string;
    /** Returns the id of the server that a record describes. */
    serverId(record: KeyedRecord): string;
}
