/**
 * gRPC client for operators of a daemon.
 *
 * @module
 */

import { type ChannelCredentials, credentials, Metadata, type ServiceError, status } from "@grpc/grpc-js";
import { claimWire, configurationWire, rolloutWire, wire } from "../protocol/mod.js";
import { OPERATOR_KEY_FIELD, PEER_DNS_NAME } from "../transport/mod.js";

/** Deadline of a call, in milliseconds; following a timeline has none. */
const ANSWER_TIMEOUT_MS = 20_000;

/** Call to a daemon that failed. */
export class OperatorError extends Error {
    override readonly name = "OperatorError";

    /**
     * @param step Call that failed, such as `read status`.
     * @param peer Address of the daemon.
     * @param isUnauthenticated Whether the daemon rejected the operator's key.
     * @param cause Error of the gRPC library.
     */
    constructor(readonly step: string, readonly peer: string, readonly isUnauthenticated: boolean, cause: ServiceError) {
        super(`Cannot ${step} at ${peer}: ${cause.details || cause.message}`, { cause });
    }
}

/** Callback of a unary gRPC call. */
type UnaryCallback<Answer> = (error: ServiceError | null, answer: Answer) => void;

/** Connection of an operator to one daemon. */
export class OperatorClient {
    private readonly operatorClient: wire.OperatorClient;
    private readonly configurationClient: configurationWire.ConfigurationOperatorClient;
    private readonly claimClient: claimWire.ClaimOperatorClient;
    private readonly rolloutClient: rolloutWire.RolloutOperatorClient;
    private readonly metadata = new Metadata();

    /**
     * @param address IP address and port of the daemon for peers and operators.
     * @param key Operator's key, if there is one.
     * @param channelCredentials TLS credentials of the connection. Defaults to plain text.
     */
    constructor(readonly address: string, key: string | undefined, channelCredentials?: ChannelCredentials) {
        const connectionCredentials = channelCredentials ?? credentials.createInsecure();
        const options = { "grpc.ssl_target_name_override": PEER_DNS_NAME };
        this.operatorClient = new wire.OperatorClient(address, connectionCredentials, options);
        this.configurationClient = new configurationWire.ConfigurationOperatorClient(address, connectionCredentials, options);
        this.claimClient = new claimWire.ClaimOperatorClient(address, connectionCredentials, options);
        this.rolloutClient = new rolloutWire.RolloutOperatorClient(address, connectionCredentials, options);
        if (key !== undefined) {
            this.metadata.set(OPERATOR_KEY_FIELD, key);
        }
    }

    /** Reads the daemon's status. */
    readStatus(): Promise<wire.StatusReply> {
        return this.call("read status", reply => this.operatorClient.readStatus({}, this.metadata, deadlineOptions(), reply));
    }

    /** Reads the published configuration. */
    readConfiguration(): Promise<configurationWire.ReadConfigurationReply> {
        return this.call("read configuration", reply => {
            this.configurationClient.readConfiguration({}, this.metadata, deadlineOptions(), reply);
        });
    }

    /** Submits changes of the configuration. */
    changeConfiguration(
        request: configurationWire.ChangeConfigurationRequest,
    ): Promise<configurationWire.ChangeConfigurationReply> {
        return this.call("change configuration", reply => {
            this.configurationClient.changeConfiguration(request, this.metadata, deadlineOptions(), reply);
        });
    }

    /** Lists run-once calls without a recorded outcome. */
    listUnknown(request: claimWire.ListUnknownRequest): Promise<claimWire.ListUnknownReply> {
        return this.call(
            "list unknown calls",
            reply => this.claimClient.listUnknown(request, this.metadata, deadlineOptions(), reply),
        );
    }

    /** Starts a rollout. */
    startRollout(request: rolloutWire.StartRolloutRequest): Promise<rolloutWire.ChangeRolloutReply> {
        return this.call(
            "start rollout",
            reply => this.rolloutClient.startRollout(request, this.metadata, deadlineOptions(), reply),
        );
    }

    /** Pauses, resumes or rolls back a rollout. */
    changeRollout(request: rolloutWire.ChangeRolloutRequest): Promise<rolloutWire.ChangeRolloutReply> {
        return this.call(
            "change rollout",
            reply => this.rolloutClient.changeRollout(request, this.metadata, deadlineOptions(), reply),
        );
    }

    /** Reads one rollout, or all of them if no id is given. */
    listRollouts(rollout = ""): Promise<rolloutWire.ListRolloutsReply> {
        return this.call(
            "read rollouts",
            reply => this.rolloutClient.listRollouts({ rollout }, this.metadata, deadlineOptions(), reply),
        );
    }

    /** Reads events of the daemon's timeline until it ends or the signal is aborted. */
    async *readTimeline(request: wire.ReadTimelineRequest, signal?: AbortSignal): AsyncGenerator<wire.EventRecord> {
        const call = this.operatorClient.readTimeline(request, this.metadata, request.follow ? {} : deadlineOptions());
        signal?.addEventListener("abort", () => call.cancel(), { once: true });
        try {
            for await (const event of call) {
                yield event as wire.EventRecord;
            }
        }
        catch (error) {
            if (!signal?.aborted) {
                throw this.toOperatorError("read timeline", error as ServiceError);
            }
        }
    }

    /** Closes the connections. */
    close(): void {
        this.operatorClient.close();
        this.configurationClient.close();
        this.claimClient.close();
        this.rolloutClient.close();
    }

    private call<Answer>(step: string, start: (reply: UnaryCallback<Answer>) => void): Promise<Answer> {
        return new Promise((resolve, reject) => {
            start((error, answer) => {
                if (error) {
                    reject(this.toOperatorError(step, error));
                    return;
                }
                resolve(answer);
            });
        });
    }

    private toOperatorError(step: string, error: ServiceError): OperatorError {
        return new OperatorError(step, this.address, error.code === status.UNAUTHENTICATED, error);
    }
}

function deadlineOptions(): { readonly deadline: number } {
    return { deadline: Date.now() + ANSWER_TIMEOUT_MS };
}
