/**
 * Configuration towards other daemons and towards operators.
 *
 * @module
 */

import type {
    ChangeConfigurationReply,
    ChangeConfigurationRequest,
    FetchConfigurationReply,
    FetchConfigurationRequest,
    ReadConfigurationReply,
} from "./gen/configuration.js";

/** Connection to the configuration of other daemons. */
export abstract class ConfigurationClient {
    /**
     * Fetches the records that a daemon has from an offset on, or its snapshot when it keeps no record that old.
     *
     * @param address IP number and port of the daemon.
     * @param request Offset from which on records are wanted.
     * @param timeoutMs Longest time to wait, in milliseconds.
     * @throws {PeerError} When no answer came in time.
     */
    abstract fetch(address: string, request: FetchConfigurationRequest, timeoutMs: number): Promise<FetchConfigurationReply>;
}

/** Answers other daemons that fetch configuration. */
export abstract class ConfigurationPeerHandler {
    /** Returns records, a snapshot, or neither when this daemon has nothing newer. */
    abstract fetchConfiguration(request: FetchConfigurationRequest): Promise<FetchConfigurationReply>;
}

/** Answers operators; the transport has found them by their keys. */
export abstract class ConfigurationOperatorHandler {
    /** Returns the configuration as it stands in the log. */
    abstract readConfiguration(): Promise<ReadConfigurationReply>;

    /**
     * Appends changes to the log and waits until they are in force here, or refuses them.
     *
     * @param request Changes with the version that they were made against.
     * @param operator Operator who owns the key of the call.
     */
    abstract changeConfiguration(request: ChangeConfigurationRequest, operator: string): Promise<ChangeConfigurationReply>;
}
