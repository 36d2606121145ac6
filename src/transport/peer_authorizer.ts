/**
 * Authorization of calls between daemons by their TLS certificates.
 *
 * @module
 */

import { type handleUnaryCall, Metadata, type ServiceError, status } from "@grpc/grpc-js";
import { type UnaryAnswer, unaryHandler } from "./_grpc_handlers.js";
import { PEER_DNS_NAME } from "./certificate_files.js";

/** Restricts calls to other daemons. Every service between daemons uses it for all of its calls. */
export class PeerAuthorizer {
    /** Number of calls rejected because the client's certificate is not that of a daemon. */
    rejectedCalls = 0;

    /** @param requiresCertificate Whether clients must present a daemon's certificate. Defaults to `false`, for plain text. */
    constructor(private readonly requiresCertificate = false) {}

    /** Returns a gRPC handler that only other daemons may call. The message is not used before the certificate is checked. */
    requirePeer<Request, Reply>(answer: UnaryAnswer<Request, Reply>): handleUnaryCall<Request, Reply> {
        const handler = unaryHandler(answer);
        return (call, callback) => {
            const subjectNames = call.getAuthContext().sslPeerCertificate?.subjectaltname?.split(", ") ?? [];
            if (this.requiresCertificate && !subjectNames.includes(`DNS:${PEER_DNS_NAME}`)) {
                this.rejectedCalls += 1;
                callback(permissionDeniedError());
                return;
            }
            handler(call, callback);
        };
    }
}

function permissionDeniedError(): Partial<ServiceError> {
    const details = `Cannot answer: the certificate does not carry the DNS name ${PEER_DNS_NAME}`;
    return Object.assign(new Error(details), { code: status.PERMISSION_DENIED, details, metadata: new Metadata() });
}
