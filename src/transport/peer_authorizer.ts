/**
 * Admission of calls that other daemons make.
 *
 * @module
 */

import { type handleUnaryCall, Metadata, type ServiceError, status } from "@grpc/grpc-js";
import { type UnaryAnswer, unaryHandler } from "./_grpc_handlers.js";
import { PEER_DNS_NAME } from "./certificate_files.js";

/** Admits the calls of other daemons; every service between daemons passes through it. */
export class PeerAuthorizer {
    /** Calls refused since the caller's certificate is not one of a daemon. */
    rejectedCalls = 0;

    /** @param requiresCertificate Whether callers have to show the certificate of a daemon. Defaults to `false`, as with plain text. */
    constructor(private readonly requiresCertificate = false) {}

    /** Returns the handler of a call that only another daemon may make; nothing of the message is used before that is sure. */
    requirePeer<Request, Reply>(answer: UnaryAnswer<Request, Reply>): handleUnaryCall<Request, Reply> {
        const answerPeer = unaryHandler(answer);
        return (call, callback) => {
            const names = call.getAuthContext().sslPeerCertificate?.subjectaltname?.split(", ") ?? [];
            if (this.requiresCertificate && !names.includes(`DNS:${PEER_DNS_NAME}`)) {
                this.rejectedCalls += 1;
                callback(permissionDeniedError());
                return;
            }
            answerPeer(call, callback);
        };
    }
}

function permissionDeniedError(): Partial<ServiceError> {
    const details = `Cannot answer: the certificate does not carry the DNS name ${PEER_DNS_NAME}`;
    return Object.assign(new Error(details), { code: status.PERMISSION_DENIED, details, metadata: new Metadata() });
}
