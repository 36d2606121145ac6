/**
 * gRPC server for other daemons and for operators.
 *
 * @module
 */

import { Server, ServerCredentials, type ServerWritableStream } from "@grpc/grpc-js";
import type {
    ConfigurationOperatorHandler,
    ConfigurationPeerHandler,
    OperatorHandler,
    PeerHandler,
    RolloutOperatorHandler,
} from "../protocol/mod.js";
import { configurationWire, rolloutWire, type TimelineFeed, wire } from "../protocol/mod.js";
import { type FindOperator, guarded, notAllowed, operatorKey, unary } from "./_grpc_calls.js";

export { OPERATOR_KEY_FIELD } from "./_grpc_calls.js";

/** Largest message, in bytes. */
const MAX_MESSAGE_BYTES = 8 * 1024 * 1024;

/** Settings of a {@linkcode GrpcServer}. */
export interface GrpcServerSettings {
    readonly peerHandler: PeerHandler;
    readonly operatorHandler: OperatorHandler;
    readonly configurationPeerHandler: ConfigurationPeerHandler;
    readonly configurationOperatorHandler: ConfigurationOperatorHandler;
    /** Answers operators about rollouts. Left out, such calls are unknown. */
    readonly rolloutHandler?: RolloutOperatorHandler;
    /** Finds the operator who owns a key. */
    readonly findOperator: FindOperator;
    /** Credentials of the server. Defaults to plain text. */
    readonly credentials?: ServerCredentials;
}

/** Accepts calls of other daemons and of operators. */
export class GrpcServer {
    private readonly server = new Server({
        "grpc.max_receive_message_length": MAX_MESSAGE_BYTES,
        "grpc.so_reuseport": 0,
    });

    /** @param settings See {@linkcode GrpcServerSettings}. */
    constructor(private readonly settings: GrpcServerSettings) {
        this.server.addService(wire.PeerService, this.peerImplementation());
        this.server.addService(wire.OperatorService, this.operatorImplementation());
        this.server.addService(configurationWire.ConfigurationPeerService, this.configurationPeerImplementation());
        this.server.addService(configurationWire.ConfigurationOperatorService, this.configurationOperatorImplementation());
        if (settings.rolloutHandler !== undefined) {
            this.server.addService(rolloutWire.RolloutOperatorService, this.rolloutImplementation(settings.rolloutHandler));
        }
    }

    /** Starts to listen and returns the port. */
    listen(host: string, port: number): Promise<number> {
        const credentials = this.settings.credentials ?? ServerCredentials.createInsecure();
        return new Promise((resolve, reject) => {
            this.server.bindAsync(`${host}:${port}`, credentials, (error, boundPort) => {
                if (error) {
                    reject(error);
                    return;
                }
                resolve(boundPort);
            });
        });
    }

    /** Closes all connections at once. */
    close(): void {
        this.server.forceShutdown();
    }

    private peerImplementation(): wire.PeerServer {
        const { peerHandler } = this.settings;
        return { probe: unary(request => peerHandler.probe(request)) };
    }

    private operatorImplementation(): wire.OperatorServer {
        const { operatorHandler, findOperator } = this.settings;
        return {
            readStatus: guarded(findOperator, () => operatorHandler.readStatus()),
            readTimeline: call => {
                if (findOperator(operatorKey(call.metadata)) === undefined) {
                    call.emit("error", notAllowed());
                    return;
                }
                operatorHandler.readTimeline(call.request, toFeed(call));
            },
        };
    }

    private configurationPeerImplementation(): configurationWire.ConfigurationPeerServer {
        const { configurationPeerHandler } = this.settings;
        return { fetch: unary(request => configurationPeerHandler.fetchConfiguration(request)) };
    }

    private configurationOperatorImplementation(): configurationWire.ConfigurationOperatorServer {
        const { configurationOperatorHandler: handler, findOperator } = this.settings;
        return {
            readConfiguration: guarded(findOperator, () => handler.readConfiguration()),
            changeConfiguration: guarded(findOperator, (request, operator) => handler.changeConfiguration(request, operator)),
        };
    }

    private rolloutImplementation(handler: RolloutOperatorHandler): rolloutWire.RolloutOperatorServer {
        const { findOperator } = this.settings;
        return {
            startRollout: guarded(findOperator, (request, operator) => handler.start({ ...request, author: operator })),
            changeRollout: guarded(findOperator, (request, operator) => handler.change({ ...request, author: operator })),
            listRollouts: guarded(findOperator, request => handler.list(request)),
        };
    }
}

function toFeed(call: ServerWritableStream<wire.ReadTimelineRequest, wire.EventRecord>): TimelineFeed {
    return {
        send: event => call.write(event),
        end: () => call.end(),
        onDrain: listener => call.on("drain", listener),
        onClose: listener => {
            call.on("cancelled", listener);
            call.on("close", listener);
        },
    };
}
