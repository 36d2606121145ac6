/**
 * Interfaces for calls about configuration, from other daemons and from operators.
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

/** Client that fetches configuration from other daemons. */
export abstract class ConfigurationClient {
    /**
     * Fetches a daemon's records from an offset on, or its snapshot when it no longer holds the record at that offset.
     *
     * @param address IP address and port of the daemon.
     * @param request Offset of the first record to fetch.
     * @param timeoutMs Timeout, in milliseconds.
     * @throws {PeerError} When no answer came in time.
     */
    abstract fetch(address: string, request: FetchConfigurationRequest, timeoutMs: number): Promise<FetchConfigurationReply>;
}

/** Handles requests of other daemons for configuration. */
export abstract class ConfigurationPeerHandler {
    /** Returns records, a snapshot, or neither when this daemon has nothing newer. */
    abstract fetchConfiguration(request: FetchConfigurationRequest): Promise<FetchConfigurationReply>;
}

/** Handles configuration calls of operators, whom the transport has authenticated by their keys. */
export abstract class ConfigurationOperatorHandler {
    /** Returns the configuration as published in the log. */
    abstract readConfiguration(): Promise<ReadConfigurationReply>;

    /**
     * Appends changes to the log and waits until they are in force on this node, or rejects them.
     *
     * @param request Changes and the version that they are based on.
     * @param operator Operator who owns the key that authenticated the call.
     */
    abstract changeConfiguration(request: ChangeConfigurationRequest, operator: string): Promise<ChangeConfigurationReply>;
}
