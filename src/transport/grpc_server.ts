/**
 * gRPC server for other daemons and for operators.
 *
 * @module
 */

import { Server, ServerCredentials, type ServiceDefinition, type UntypedServiceImplementation } from "@grpc/grpc-js";

/** Largest message, in bytes. */
const MAX_MESSAGE_BYTES = 8 * 1024 * 1024;

/** Service with its answers. */
export interface GrpcService {
    readonly definition: ServiceDefinition;
    readonly implementation: UntypedServiceImplementation;
}

/** Settings of a {@linkcode GrpcServer}. */
export interface GrpcServerSettings {
    readonly services: readonly GrpcService[];
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
        for (const { definition, implementation } of settings.services) {
            this.server.addService(definition, implementation);
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
}
