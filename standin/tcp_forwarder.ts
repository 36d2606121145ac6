/**
 * TCP forwarder on the loopback interface that simulates network partitions.
 *
 * @module
 */

import { type AddressInfo, connect, createServer, type Server, type Socket } from "node:net";

/** Treatment of connections. */
export enum ForwarderState {
    Open = "open",
    /** Connections are closed immediately. */
    Refusing = "refusing",
    /** Connections stay open but transfer no data. */
    Blackholed = "silent",
}

/** Forwards TCP connections to one address. */
export class TcpForwarder {
    /** Address that connections are forwarded to. */
    target = "";
    /** Number of bytes received from both sides. */
    bytes = 0;
    private state = ForwarderState.Open;
    private readonly sockets = new Set<Socket>();

    private constructor(private readonly server: Server) {
        server.on("connection", socket => this.forward(socket));
    }

    /** Starts a forwarder that listens on a free port. */
    static async listen(): Promise<TcpForwarder> {
        const server = createServer();
        await new Promise<void>(resolve => {
            server.listen(0, "127.0.0.1", resolve);
        });
        return new TcpForwarder(server);
    }

    /** Listen address of the forwarder. */
    get address(): string {
        return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
    }

    /** Sets the treatment of new connections; open ones are closed, or blackholed in that state. */
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

    /** Closes all connections and stops listening. */
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
        const upstream = connect(Number(port), host);
        this.track(upstream);
        socket.pipe(upstream);
        upstream.pipe(socket);
        socket.on("close", () => upstream.destroy());
        upstream.on("close", () => socket.destroy());
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
