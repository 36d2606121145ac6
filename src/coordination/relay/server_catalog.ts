/**
 * Backend servers that are registered now.
 *
 * @module
 */

import type { Clock, RelayServer } from "../../state/relay/mod.js";
import type { LogHealth } from "./log_health.js";

/** Receives changes of the catalog. */
export interface ServerCatalogObserver {
    /** A server came, or its report changed. */
    onServerUpdated(server: RelayServer): void;
    /** A server is gone. */
    onServerRemoved(server: RelayServer, reason: string): void;
}

/** Incarnation and report of a server that were seen last. */
interface ReportVersion {
    readonly startedAtMs: number;
    readonly sequence: number;
}

/**
 * Keeps the newest incarnation of each server. A server whose entry vanishes around an outage of the log stays until it had
 * the time to register again; at other times it is gone at once.
 */
export class ServerCatalog {
    private readonly servers = new Map<string, RelayServer>();
    private readonly lastReports = new Map<string, ReportVersion>();
    private readonly removalDeadlines = new Map<string, number>();

    /**
     * @param clock Clock that ends the wait for lapsed entries.
     * @param health Whether the log may have dropped entries by itself.
     * @param observer Told of changes.
     */
    constructor(
        private readonly clock: Clock,
        private readonly health: LogHealth,
        private readonly observer: ServerCatalogObserver,
    ) {}

    /** Servers that are registered now. */
    list(): Iterable<RelayServer> {
        return this.servers.values();
    }

    /** Takes a server's report unless it is older than what is known. */
    put(server: RelayServer): void {
        const seen = this.lastReports.get(server.id);
        if (seen !== undefined && isOlder(server, seen)) {
            return;
        }
        this.lastReports.set(server.id, server);
        this.removalDeadlines.delete(server.id);
        const present = this.servers.get(server.id);
        if (present !== undefined && present.startedAtMs !== server.startedAtMs) {
            this.observer.onServerRemoved(present, "it started again");
        }
        this.servers.set(server.id, server);
        this.observer.onServerUpdated(server);
    }

    /** Takes the end of a server's entry. */
    recordRemoval(id: string): void {
        const server = this.servers.get(id);
        if (server === undefined) {
            return;
        }
        if (this.health.isRemovalUncertain) {
            this.removalDeadlines.set(id, this.health.reregistrationDeadlineMs);
            return;
        }
        this.remove(server, "its entry was removed");
    }

    /** Takes the whole list of entries: those that are missing have ended. */
    replaceAll(servers: readonly RelayServer[]): void {
        const present = new Set(servers.map(server => server.id));
        for (const id of [...this.servers.keys()]) {
            if (!present.has(id)) {
                this.recordRemoval(id);
            }
        }
        for (const server of servers) {
            this.put(server);
        }
    }

    /** Removes servers whose entries lapsed and did not return in time, or have not lapsed after all; called several times a second. */
    expire(): void {
        const now = this.clock.now();
        for (const [id, deadlineMs] of this.removalDeadlines) {
            if (this.health.isRemovalUncertain && (now < deadlineMs || !this.health.isAnswering)) {
                continue;
            }
            this.removalDeadlines.delete(id);
            const server = this.servers.get(id);
            if (server !== undefined) {
                this.remove(server, "its entry lapsed in an outage of the log and did not return");
            }
        }
    }

    private remove(server: RelayServer, reason: string): void {
        this.servers.delete(server.id);
        this.observer.onServerRemoved(server, reason);
    }
}

function isOlder(server: RelayServer, seen: ReportVersion): boolean {
    if (server.startedAtMs !== seen.startedAtMs) {
        return server.startedAtMs < seen.startedAtMs;
    }
    return server.sequence < seen.sequence;
}
