/**
 * Formats of the platform's records.
 *
 * @module
 */

import type { RolloutRecordFormat } from "../../coordination/relay/mod.js";
import type { KeyedRecord } from "../../protocol/relay/mod.js";
import type { RelayConfiguration, RelayServer, VersionOrder } from "../../state/relay/mod.js";

/** Reads the records of the operator and of the backend servers. */
export interface RecordReader extends RolloutRecordFormat {
    /** Topic of the operator's records. */
    readonly operatorTopic: string;
    /** Topic of the servers' entries. */
    readonly serverTopic: string;
    /** Reads a configuration; `undefined` when the record is another one. */
    readConfiguration(record: KeyedRecord): RelayConfiguration | undefined;
    /** Reads an order to move a service to another version; `undefined` when the record is another one. */
    readOrder(record: KeyedRecord): VersionOrder | undefined;
    /** Reads a server's entry; a sentence when it names no server to use. */
    readServer(record: KeyedRecord): RelayServer | string;
    /** Id of the server whose entry a record is. */
    serverId(record: KeyedRecord): string;
}
