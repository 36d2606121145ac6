/**
 * Clients of the port of peers and operators that send messages which do not come to their end.
 *
 * @module
 */

import { type ClientHttp2Session, connect } from "node:http2";

/** Bytes in front of a gRPC message: whether it is compressed, and its length. */
const PREFIX_BYTES = 5;

/** Bytes that are missing at the end of each message. */
const MISSING_BYTES = 1;

/** Clients that keep their connections until they are told to leave. */
export class RoughPeers {
    private readonly sessions: ClientHttp2Session[] = [];

    /** @param address Address of the port. */
    constructor(private readonly address: string) {}

    /** Resolves once each message was sent as far as it goes, or its call was closed. */
    async start(peers: number, messages: number, bytes: number): Promise<void> {
        const message = Buffer.alloc(PREFIX_BYTES + bytes - MISSING_BYTES);
        message.writeUInt32BE(bytes, 1);
        const sent: Promise<void>[] = [];
        for (let peer = 0; peer < peers; peer += 1) {
            const session = connect(`http://${this.address}`);
            session.on("error", () => session.destroy());
            this.sessions.push(session);
            for (let call = 0; call < messages; call += 1) {
                sent.push(send(session, message));
            }
        }
        await Promise.all(sent);
    }

    /** Closes all connections. */
    leave(): void {
        for (const session of this.sessions) {
            session.destroy();
        }
    }
}

function send(session: ClientHttp2Session, message: Buffer): Promise<void> {
    const stream = session.request({
        ":method": "POST",
        ":path": "/foxtailrail.v1.Peer/Probe",
        "content-type": "application/grpc",
        "te": "trailers",
    });
    stream.on("error", () => stream.destroy());
    stream.resume();
    return new Promise(resolve => {
        stream.on("close", () => resolve());
        stream.write(message, () => resolve());
    });
}
