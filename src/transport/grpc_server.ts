/**
 * gRPC server for other daemons and for operators.
 *
 * @module
 */

import { type handleUnaryCall, Metadata, Server, ServerCredentials, type ServiceError, status } from "@grpc/grpc-js";
import type { OperatorHandler, PeerHandler } from "../protocol/mod.js";
import { type TimelineFeed, wire } from "../protocol/mod.js";
import { PEER_DNS_NAME } from "./certificate_files.js";

/** Largest message, in bytes. */
const MAX_MESSAGE_BYTES = 8 * 1024 * 1024;

/** Age at which a connection is replaced, so that a certificate that was taken back is out of use, in milliseconds. */
const MAX_CONNECTION_AGE_MS = 600_000;

/** Metadata field that carries the operator's key. */
export const OPERATOR_KEY_FIELD = "foxtailrail-operator-key";

/** Settings of a {@linkcode GrpcServer}. */
export interface GrpcServerSettings {
    readonly peerHandler: PeerHandler;
    readonly operatorHandler: OperatorHandler;
    /** Whether a key belongs to an operator. */
    readonly isOperatorKey: (key: string | undefined) => boolean;
    /** Credentials of the server; peers then have to show a certificate of a daemon. Defaults to plain text. */
    readonly credentials?: ServerCredentials;
}

/** Accepts calls of other daemons and of operators. */
export class GrpcServer {
    private readonly server = new Server({
        "grpc.max_receive_message_length": MAX_MESSAGE_BYTES,
        "grpc.so_reuseport": 0,
        "grpc.max_connection_age_ms": MAX_CONNECTION_AGE_MS,
    });

    /** Calls refused since the caller's certificate is not one of a daemon. */
    refusedPeers = 0;

    /** @param settings See {@linkcode GrpcServerSettings}. */
    constructor(private readonly settings: GrpcServerSettings) {
        this.server.addService(wire.PeerService, this.peerImplementation());
        this.server.addService(wire.OperatorService, this.operatorImplementation());
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
        return {
            probe: this.forPeers(request => peerHandler.probe(request)),
            relay: this.forPeers(request => peerHandler.relay(request)),
            exchange: this.forPeers(request => peerHandler.exchange(request)),
        };
    }

    /** Refuses callers whose certificate is not one of a daemon, before anything of their message is used. */
    private forPeers<Request, Reply>(answer: (request: Request) => Promise<Reply>): handleUnaryCall<Request, Reply> {
        const answerPeer = unary(answer);
        return (call, callback) => {
            const names = call.getAuthContext().sslPeerCertificate?.subjectaltname?.split(", ") ?? [];
            if (this.settings.credentials !== undefined && !names.includes(`DNS:${PEER_DNS_NAME}`)) {
                this.refusedPeers += 1;
                callback(refusal(status.PERMISSION_DENIED, `the certificate does not carry the DNS name ${PEER_DNS_NAME}`));
                return;
            }
            answerPeer(call, callback);
        };
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
    return refusal(status.UNAUTHENTICATED, "the call carries no operator's key; name a key file with --key-file.");
}

function refusal(code: status, why: string): Partial<ServiceError> {
    const details = `Cannot answer: ${why}`;
    return Object.assign(new Error(details), { code, details, metadata: new Metadata() });
}
