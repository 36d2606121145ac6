/**
 * Links between one relay node of the model and the backend servers.
 *
 * @module
 */

/** State of a node's links to all backend servers. */
export enum ServerLinkState {
    Open = "open",
    /** Open connections and attempts to connect hang. */
    Silent = "silent",
    /** Open connections are reset and new ones refused. */
    Reset = "reset",
    /** Open connections live on, and new ones are refused. */
    NoNewConnections = "noNewConnections",
}

/** Exchange over a link. */
interface LinkedExchange {
    /** Breaks the exchange off because its connection was reset. */
    fail(cause: unknown): void;
}

/** Links of one node, which all have the same state. */
export class ServerLinkModel {
    private currentState = ServerLinkState.Open;
    private readonly exchanges = new Set<LinkedExchange>();
    /** Connections by server that were open when the links changed. */
    private oldConnections = new Map<string, number>();
    private readonly busyConnections = new Map<string, number>();

    /** State of the links. */
    get state(): ServerLinkState {
        return this.currentState;
    }

    /** Changes the state of the links. */
    setState(state: ServerLinkState): void {
        this.currentState = state;
        this.oldConnections = new Map([...this.busyConnections].filter(([, count]) => count > 0));
        if (state === ServerLinkState.Reset) {
            for (const exchange of this.exchanges) {
                exchange.fail(new Error("ECONNRESET"));
            }
        }
    }

    /** Whether a call to a server finds a connection that was open when the links changed. */
    hasOldConnection(server: string): boolean {
        return (this.oldConnections.get(server) ?? 0) > (this.busyConnections.get(server) ?? 0);
    }

    /** Adds an exchange that uses a connection to a server. */
    start(exchange: LinkedExchange, server: string): void {
        this.exchanges.add(exchange);
        this.busyConnections.set(server, (this.busyConnections.get(server) ?? 0) + 1);
    }

    /** Removes an exchange that has ended. */
    finish(exchange: LinkedExchange, server: string): void {
        if (this.exchanges.delete(exchange)) {
            this.busyConnections.set(server, (this.busyConnections.get(server) ?? 1) - 1);
        }
    }
}
