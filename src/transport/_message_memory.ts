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

/** Memory that each part of a message takes beside its bytes, in bytes; a part may have a single byte. */
const PART_BYTES = 256;

/**
 * Returns an interceptor that counts the bytes of incomplete messages. While all together exceed the memory, the call with the largest
 * one is closed with status `RESOURCE_EXHAUSTED`, before its handler is called; it has not run.
 *
 * @param memory Memory of all incomplete messages of the server.
 */
export function messageMemoryInterceptor(memory: MemoryBudget): ServerInterceptor {
    return (method, call) => {
        // The library gives interceptors complete messages only.
        const stream = Reflect.get(call, "stream") as Http2Stream;
        const share = memory.open(() => stream.close(constants.NGHTTP2_ENHANCE_YOUR_CALM));
        stream.prependListener("data", (part: Buffer) => share.resize(share.bytes + part.length + PART_BYTES));
        stream.on("close", () => share.close());
        return new ServerInterceptingCall(call, {
            start: next =>
                next({
                    onReceiveMessage: (message, nextMessage) => {
                        share.resize(0);
                        nextMessage(message);
                    },
                }),
        });
    };
}
