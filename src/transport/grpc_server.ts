/**
 * gRPC server for other daemons and for operators.
 *
 * @module
 */

import { Server, ServerCredentials, type ServiceDefinition, type UntypedServiceImplementation } from "@grpc/grpc-js";
import type { Http2Session } from "node:http2";
import type { Server as NetServer, Socket } from "node:net";
import { type Clock, MemoryBudget, SystemClock } from "../state/mod.js";
import { GrpcConnection } from "./_grpc_connection.js";
import { messageMemoryInterceptor } from "./_message_memory.js";
import type { ConnectionBound } from "./connection_bound.js";

/** Maximum size of a received message, in bytes. */
const MAX_MESSAGE_BYTES = 8 * 1024 * 1024;

/** Memory of all messages that are not complete, in bytes. */
export const MAX_HELD_MESSAGE_BYTES = 16 * 1024 * 1024;

/** Maximum number of calls at a time on one connection; further ones wait at their client. */
const MAX_CONCURRENT_CALLS = 256;

/** Maximum age of a connection, in milliseconds. Reconnecting checks certificates again, so a revoked one goes out of use. */
const MAX_CONNECTION_AGE_MS = 600_000;

/** Definition of a gRPC service together with its handlers. */
export interface GrpcService {
    readonly definition: ServiceDefinition;
    readonly implementation: UntypedServiceImplementation;
}

/** Settings of a {@linkcode GrpcServer}. */
export interface GrpcServerSettings {
    /** Clock by which stalled connections are told. Defaults to that of the system. */
    readonly clock?: Clock;
    /** Bound on the number of connections. By default, there is none. */
    readonly connectionBound?: ConnectionBound;
    readonly services: readonly GrpcService[];
    /** Credentials of the server. Defaults to plain text without TLS. */
    readonly credentials?: ServerCredentials;
}

/** Serves calls from other daemons and from operators. */
export class GrpcServer {
    /** Connections by the addresses and ports of their clients. */
    private readonly connections = new Map<string, GrpcConnection>();
    private readonly messageMemory = new MemoryBudget(MAX_HELD_MESSAGE_BYTES);
    private readonly server = new Server({
        "interceptors": [
            messageMemoryInterceptor(this.messageMemory, ({ session }) => this.findConnection(session)),
        ],
        "grpc.max_concurrent_streams": MAX_CONCURRENT_CALLS,
        "grpc.max_receive_message_length": MAX_MESSAGE_BYTES,
        "grpc.so_reuseport": 0,
        "grpc.max_connection_age_ms": MAX_CONNECTION_AGE_MS,
    });

    /** @param settings See {@linkcode GrpcServerSettings}. */
    constructor(private readonly settings: GrpcServerSettings) {
        for (const { definition, implementation } of settings.services) {
            this.server.addService(definition, implementation);
        }
    }

    /** Total size of the messages that are not complete, in bytes. */
    get messageBytes(): number {
        return this.messageMemory.usedBytes;
    }

    /** Number of calls that were closed because incomplete messages took too much memory and theirs was the largest. */
    get evictions(): number {
        return this.messageMemory.evictions;
    }

    /** Starts listening and returns the bound port. */
    listen(host: string, port: number): Promise<number> {
        const credentials = this.settings.credentials ?? ServerCredentials.createInsecure();
        return new Promise((resolve, reject) => {
            this.server.bindAsync(`${host}:${port}`, credentials, (error, boundPort) => {
                if (error) {
                    reject(error);
                    return;
                }
                // The library does not tell of connections before their first call.
                const servers = Reflect.get(this.server, "http2Servers") as ReadonlyMap<NetServer, unknown>;
                for (const server of servers.keys()) {
                    server.on("connection", socket => this.track(socket));
                }
                resolve(boundPort);
            });
        });
    }

    private findConnection(session: Http2Session | undefined): GrpcConnection | undefined {
        // A session that has ended has no socket, and throws.
        return session === undefined || session.destroyed ? undefined : this.connections.get(formatKey(session.socket));
    }

    private track(socket: Socket): void {
        const { clock = new SystemClock(), connectionBound } = this.settings;
        const connection = new GrpcConnection(socket, clock.now());
        const key = formatKey(socket);
        this.connections.set(key, connection);
        socket.on("close", () => {
            this.connections.delete(key);
            connectionBound?.remove(connection);
        });
        connectionBound?.add(connection);
    }

    /** Closes all connections immediately; calls in progress are cancelled. */
    close(): void {
        this.server.forceShutdown();
    }
}

/** Formats the address and port of a client. The library hands over another object in place of the socket. */
function formatKey({ remoteAddress, remotePort }: Pick<Socket, "remoteAddress" | "remotePort">): string {
    return `${remoteAddress} ${remotePort}`;
}
