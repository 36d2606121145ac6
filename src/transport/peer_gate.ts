/**
 * Admission of calls that other daemons make.
 *
 * @module
 */

import { type handleUnaryCall, Metadata, type ServiceError, status } from "@grpc/grpc-js";
import { unary, type UnaryAnswer } from "./_grpc_calls.js";
import { PEER_DNS_NAME } from "./certificate_files.js";

/** Admits the calls of other daemons; every service between daemons passes through it. */
export class PeerGate {
    /** Calls refused since the caller's certificate is not one of a daemon. */
    refused = 0;

    /** @param secure Whether callers have to show the certificate of a daemon. Defaults to `false`, as with plain text. */
    constructor(private readonly secure = false) {}

    /** Returns the handler of a call that only another daemon may make; nothing of the message is used before that is sure. */
    admit<Request, Reply>(answer: UnaryAnswer<Request, Reply>): handleUnaryCall<Request, Reply> {
        const answerPeer = unary(answer);
        return (call, callback) => {
            const names = call.getAuthContext().sslPeerCertificate?.subjectaltname?.split(", ") ?? [];
            if (this.secure && !names.includes(`DNS:${PEER_DNS_NAME}`)) {
                this.refused += 1;
                callback(noPeer());
                return;
            }
            answerPeer(call, callback);
        };
    }
}

function noPeer(): Partial<ServiceError> {
    const details = `Cannot answer: the certificate does not carry the DNS name ${PEER_DNS_NAME}`;
    return Object.assign(new Error(details), { code: status.PERMISSION_DENIED, details, metadata: new Metadata() });
}
