/**
 * Admission of calls that other daemons make.
 *
 * @module
 */

import type { handleUnaryCall } from "@grpc/grpc-js";
import { unary, type UnaryAnswer } from "./_grpc_calls.js";

/** Admits the calls of other daemons; every service between daemons passes through it. */
export class PeerGate {
    /** Returns the handler of a call that only another daemon may make. */
    admit<Request, Reply>(answer: UnaryAnswer<Request, Reply>): handleUnaryCall<Request, Reply> {
        return unary(answer);
    }
}
