/**
 * Bound on the memory of gRPC messages that are not complete.
 *
 * The library bounds the size of one message only: 10 connections with 10 messages of 8 MB each took 880 MB.
 *
 * @module
 */

import { ServerInterceptingCall, type ServerInterceptor } from "@grpc/grpc-js";
import { constants, type Http2Stream } from "node:http2";
import type { MemoryBudget } from "../state/mod.js";
import type { GrpcConnection } from "./_grpc_connection.js";

/** Memory that each part of a message takes beside its bytes, in bytes; a part may have a single byte. */
const PART_BYTES = 256;

/**
 * Returns an interceptor that counts the bytes of incomplete messages. While all together exceed the memory, the call with the largest
 * one is closed with status `RESOURCE_EXHAUSTED`, before its handler is called; it has not run.
 *
 * @param memory Memory of all incomplete messages of the server.
 * @param connectionOf Returns the connection of a stream.
 */
export function messageMemoryInterceptor(
    memory: MemoryBudget,
    connectionOf: (stream: Http2Stream) => GrpcConnection | undefined,
): ServerInterceptor {
    return (method, call) => {
        // The library gives interceptors complete messages only.
        const stream = Reflect.get(call, "stream") as Http2Stream;
        const share = memory.open(() => stream.close(constants.NGHTTP2_ENHANCE_YOUR_CALM));
        stream.prependListener("data", (part: Buffer) => share.resize(share.bytes + part.length + PART_BYTES));
        stream.on("close", () => share.close());
        let isStarted = false;
        const startCall = () => {
            const connection = isStarted ? undefined : connectionOf(stream);
            isStarted = true;
            if (connection !== undefined && !stream.closed) {
                connection.startCall();
                stream.on("close", () => connection.endCall());
            }
        };
        return new ServerInterceptingCall(call, {
            start: next =>
                next({
                    onReceiveMessage: (message, nextMessage) => {
                        share.resize(0);
                        startCall();
                        nextMessage(message);
                    },
                }),
        });
    };
}
