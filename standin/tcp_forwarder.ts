/**
 * Forwarder of TCP connections on loopback that can be cut, in place of a network partition.
 *
 * @module
 */

import { type AddressInfo, connect, createServer, type Server, type Socket } from "node:net";

/** What happens to connections. */
export enum ForwarderState {
    Open = "open",
    /** Connections are reset. */
    Refusing = "refusing",
    /** Connections stay open and carry nothing. */
    Blackholed = "silent",
}

/** Forwards connections to one address. */
export class TcpForwarder {
    /** Address that connections are forwarded to. */
    target = "";
    /** Bytes carried both ways. */
    bytes = 0;
    private state = ForwarderState.Open;
    private readonly sockets = new Set<Socket>();

    private constructor(private readonly server: Server) {
        server.on("connection", socket => this.forward(socket));
    }

    /** Starts a forwarder on a free port. */
    static async listen(): Promise<TcpForwarder> {
        const server = createServer();
        await new Promise<void>(resolve => {
            server.listen(0, "127.0.0.1", resolve);
        });
        return new TcpForwarder(server);
    }

    /** Address to connect to. */
    get address(): string {
        return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
    }

    /** Sets what happens to connections from now on; those that are open break, or fall silent. */
    setState(state: ForwarderState): void {
        this.state = state;
        for (const socket of this.sockets) {
            if (state === ForwarderState.Blackholed) {
                socket.pause();
                socket.unpipe();
            }
            else {
                socket.destroy();
            }
        }
    }

    /** Ends all connections and stops listening. */
    close(): void {
        this.setState(ForwarderState.Refusing);
        this.server.close();
    }

    private forward(socket: Socket): void {
        this.track(socket);
        if (this.state === ForwarderState.Refusing) {
            socket.destroy();
            return;
        }
        if (this.state === ForwarderState.Blackholed) {
            return;
        }
        const [host, port] = this.target.split(":");
        const onward = connect(Number(port), host);
        this.track(onward);
        socket.pipe(onward);
        onward.pipe(socket);
        socket.on("close", () => onward.destroy());
        onward.on("close", () => socket.destroy());
    }

    private track(socket: Socket): void {
        this.sockets.add(socket);
        socket.on("data", chunk => {
            this.bytes += chunk.length;
        });
        socket.on("error", () => socket.destroy());
        socket.on("close", () => this.sockets.delete(socket));
    }
}
