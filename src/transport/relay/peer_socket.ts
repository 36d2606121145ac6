/**
 * UDP socket for reports between nodes.
 *
 * Reports carry absolute values, so lost and duplicate datagrams do no harm, and a peer that does not read blocks no sender.
 *
 * @module
 */

import { createSocket, type Socket } from "node:dgram";
import { checkReport, describeCause, EMPTY_REPORT, PeerLink, PeerReport, type ReportReceiver } from "../../protocol/relay/mod.js";

/** Sends and receives reports over UDP. */
export class PeerSocket extends PeerLink {
    private readonly socket: Socket = createSocket("udp4");

    private boundAddress = "";

    /**
     * @param onReport Called with each decoded report.
     * @param onError Called with a message when the socket fails or a datagram cannot be sent or decoded.
     */
    constructor(onReport: (report: PeerReport) => void, private readonly onError: (text: string) => void) {
        super();
        this.socket.on("error", error => {
            if (this.boundAddress !== "") {
                onError(`Cannot use the peer socket: ${error.message}`);
            }
        });
        this.socket.on("message", (data, sender) => {
            const problem = tryReceive(data, onReport);
            if (problem !== undefined) {
                onError(`Cannot use the report from ${sender.address}:${sender.port}: ${problem}`);
            }
        });
    }

    /** Binds the socket to an address. */
    async listen(host: string, port: number): Promise<void> {
        await new Promise<void>((resolve, reject) => {
            const onListening = () => {
                this.socket.off("error", fail);
                resolve();
            };
            const fail = (error: Error) => {
                this.socket.off("listening", onListening);
                reject(error);
            };
            this.socket.once("error", fail);
            this.socket.once("listening", onListening);
            this.socket.bind({ address: host, port });
        });
        const bound = this.socket.address();
        this.boundAddress = `${bound.address}:${bound.port}`;
    }

    /** Address and port that the socket is bound to. */
    get address(): string {
        return this.boundAddress;
    }

    override send(report: PeerReport, receivers: Iterable<ReportReceiver>): void {
        const shared = PeerReport.encode(report).finish();
        for (const { address, ownPart } of receivers) {
            const [host, port] = address.split(":");
            // Protobuf merges concatenated encodings of a message, so the shared part is encoded once for all receivers.
            const data = ownPart === undefined ?
                shared :
                [shared, PeerReport.encode({ ...EMPTY_REPORT, ownPart }).finish()];
            try {
                this.socket.send(data, Number(port), host, error => {
                    if (error) {
                        this.onError(`Cannot send a report to ${address}: ${error.message}`);
                    }
                });
            }
            catch (cause) {
                // The socket throws for an address to which nothing can be sent; the other receivers get their reports.
                this.onError(`Cannot send a report to ${address}: ${describeCause(cause)}`);
            }
        }
    }

    /** Closes the socket. */
    close(): void {
        this.socket.close();
    }
}

/** @returns What is wrong with a datagram; `undefined` if its report was received. */
function tryReceive(data: Uint8Array, onReport: (report: PeerReport) => void): string | undefined {
    try {
        const report = PeerReport.decode(data);
        const problem = checkReport(report);
        if (problem === undefined) {
            onReport(report);
        }
        return problem;
    }
    catch (cause) {
        return describeCause(cause);
    }
}
