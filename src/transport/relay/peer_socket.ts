/**
 * Datagrams between nodes.
 *
 * Reports are absolute, so a datagram that is lost or comes twice does no harm, and a peer that does not read blocks nobody.
 *
 * @module
 */

import { createSocket, type Socket } from "node:dgram";
import { describeCause, EMPTY_REPORT, PeerLink, PeerReport, type ReportReceiver } from "../../protocol/relay/mod.js";

/** Sends and receives reports over UDP. */
export class PeerSocket extends PeerLink {
    private readonly socket: Socket = createSocket("udp4");

    /**
     * @param onReport Receives each report that can be read.
     * @param onError Told of datagrams that cannot be sent or read.
     */
    constructor(onReport: (report: PeerReport) => void, private readonly onError: (text: string) => void) {
        super();
        this.socket.on("error", error => onError(`Cannot use the peer socket: ${error.message}`));
        this.socket.on("message", (data, sender) => {
            try {
                onReport(PeerReport.decode(data));
            }
            catch (cause) {
                onError(`Cannot read report of ${sender.address}:${sender.port}: ${describeCause(cause)}`);
            }
        });
    }

    /** Opens the port. */
    async listen(host: string, port: number): Promise<void> {
        await new Promise<void>((resolve, reject) => {
            this.socket.once("error", reject);
            this.socket.bind({ address: host, port }, resolve);
        });
    }

    /** Address that is open. */
    get address(): string {
        const { address, port } = this.socket.address();
        return `${address}:${port}`;
    }

    override send(report: PeerReport, receivers: Iterable<ReportReceiver>): void {
        const shared = PeerReport.encode(report).finish();
        for (const { address, ownPart } of receivers) {
            const [host, port] = address.split(":");
            // Fields of one message may be encoded apart from each other.
            const data = ownPart === undefined ?
                shared :
                [shared, PeerReport.encode({ ...EMPTY_REPORT, ownPart }).finish()];
            this.socket.send(data, Number(port), host, error => {
                if (error) {
                    this.onError(`Cannot send a report to ${address}: ${error.message}`);
                }
            });
        }
    }

    /** Closes the port. */
    close(): void {
        this.socket.close();
    }
}
