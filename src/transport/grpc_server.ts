/**
 * gRPC server for other daemons and for operators.
 *
 * @module
 */

import { type handleUnaryCall, Metadata, Server, ServerCredentials, type ServiceError, status } from "@grpc/grpc-js";
import type { OperatorHandler, PeerHandler, RolloutOperatorHandler } from "../protocol/mod.js";
import { rolloutWire, type TimelineFeed, wire } from "../protocol/mod.js";

/** Largest message, in bytes. */
const MAX_MESSAGE_BYTES = 8 * 1024 * 1024;

/** Metadata field that carries the operator's key. */
export const OPERATOR_KEY_FIELD = "foxtailrail-operator-key";

/** Settings of a {@linkcode GrpcServer}. */
export interface GrpcServerSettings {
    readonly peerHandler: PeerHandler;
    readonly operatorHandler: OperatorHandler;
    /** Answers operators about rollouts. Left out, such calls are unknown. */
    readonly rolloutHandler?: RolloutOperatorHandler;
    /** Whether a key belongs to an operator. */
    readonly isOperatorKey: (key: string | undefined) => boolean;
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
        const { operatorHandler } = this.settings;
        return {
            readStatus: this.guarded(() => operatorHandler.readStatus()),
            readConfiguration: this.guarded(() => operatorHandler.readConfiguration()),
            changeConfiguration: this.guarded(request => operatorHandler.changeConfiguration(request)),
            readTimeline: call => {
                if (!this.settings.isOperatorKey(operatorKey(call.metadata))) {
                    call.destroy(notAllowed() as Error);
                    return;
                }
                const feed: TimelineFeed = {
                    send: event => call.write(event),
                    end: () => call.end(),
                    onClose: listener => {
                        call.on("cancelled", listener);
                        call.on("close", listener);
                    },
                };
                operatorHandler.readTimeline(call.request, feed);
            },
        };
    }

    private rolloutImplementation(handler: RolloutOperatorHandler): rolloutWire.RolloutOperatorServer {
        return {
            startRollout: this.guarded(request => handler.start(request)),
            changeRollout: this.guarded(request => handler.change(request)),
            listRollouts: this.guarded(request => handler.list(request)),
        };
    }

    private guarded<Request, Reply>(answer: (request: Request) => Promise<Reply>): handleUnaryCall<Request, Reply> {
        const answerUnguarded = unary(answer);
        return (call, callback) => {
            if (!this.settings.isOperatorKey(operatorKey(call.metadata))) {
                callback(notAllowed());
                return;
            }
            answerUnguarded(call, callback);
        };
    }
}

function unary<Request, Reply>(answer: (request: Request) => Promise<Reply>): handleUnaryCall<Request, Reply> {
    return (call, callback) => {
        answer(call.request).then(
            // The library's callback type has null for "no error".
            // eslint-disable-next-line no-restricted-syntax
            reply => callback(null, reply),
            (error: unknown) => callback({ code: status.INTERNAL, details: String(error) }),
        );
    };
}

function operatorKey(metadata: Metadata): string | undefined {
    return metadata.get(OPERATOR_KEY_FIELD)[0]?.toString();
}

function notAllowed(): Partial<ServiceError> {
    const details = "Cannot answer: the call carries no operator's key; name a key file with --key-file.";
    return Object.assign(new Error(details), { code: status.UNAUTHENTICATED, details, metadata: new Metadata() });
}
