/**
 * Catalog of the registered backend servers.
 *
 * @module
 */

import type { Clock, RelayServer } from "../../state/relay/mod.js";
import type { LogHealth } from "./log_health.js";

/** Receives changes to the catalog. */
export interface ServerCatalogObserver {
    /** Called when a server was added or has a new report. */
    onServerUpdated(server: RelayServer): void;
    /** Called when a server was removed. */
    onServerRemoved(server: RelayServer, reason: string): void;
}

/** Incarnation of a server and sequence number of its report. */
interface ReportVersion {
    readonly startedAtMs: number;
    readonly sequence: number;
}

/**
 * Keeps the latest incarnation of each server. A server whose entry is removed during or shortly after an outage of the log stays
 * until it has had time to register again; at other times it is removed at once.
 */
export class ServerCatalog {
    private readonly servers = new Map<string, RelayServer>();
    private readonly lastReports = new Map<string, ReportVersion>();
    private readonly removalDeadlines = new Map<string, number>();

    /**
     * @param clock Clock for the removal deadlines.
     * @param health Tells whether the log may have expired entries by itself.
     * @param observer Notified of changes.
     */
    constructor(
        private readonly clock: Clock,
        private readonly health: LogHealth,
        private readonly observer: ServerCatalogObserver,
    ) {}

    /** Servers in the catalog. */
    list(): Iterable<RelayServer> {
        return this.servers.values();
    }

    /** Stores a server's report unless a newer one is known. */
    put(server: RelayServer): void {
        const last = this.lastReports.get(server.id);
        if (last !== undefined && (isOlder(server, last) || this.isRestoredEntry(server, last))) {
            return;
        }
        this.lastReports.set(server.id, server);
        this.removalDeadlines.delete(server.id);
        const known = this.servers.get(server.id);
        if (known !== undefined && known.startedAtMs !== server.startedAtMs) {
            this.observer.onServerRemoved(known, "it restarted");
        }
        this.servers.set(server.id, server);
        this.observer.onServerUpdated(server);
    }

    /** Handles the removal of a server's entry from the log. */
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

    /** Counts the servers that a snapshot of all entries does not list as removed from the log. */
    removeUnlisted(listedIds: ReadonlySet<string>): void {
        for (const id of [...this.servers.keys()]) {
            if (!listedIds.has(id)) {
                this.recordRemoval(id);
            }
        }
    }

    /**
     * Removes servers that did not register again in time, or whose entries turn out to have been removed for another reason than
     * an outage. Called several times per second.
     */
    expire(): void {
        const now = this.clock.now();
        for (const [id, deadlineMs] of this.removalDeadlines) {
            if (this.health.isRemovalUncertain && (now < deadlineMs || !this.health.isAnswering)) {
                continue;
            }
            this.removalDeadlines.delete(id);
            const server = this.servers.get(id);
            if (server !== undefined) {
                const isOverdue = now >= deadlineMs;
                this.remove(server, isOverdue ? "it did not register again in time" : "its entry was removed");
            }
        }
    }

    /** Whether an entry is that of a server which was removed before the log was restored from an older copy. */
    private isRestoredEntry(server: RelayServer, last: ReportVersion): boolean {
        const isSameReport = server.startedAtMs === last.startedAtMs && server.sequence === last.sequence;
        return this.health.isRestoring && isSameReport && !this.servers.has(server.id);
    }

    private remove(server: RelayServer, reason: string): void {
        this.servers.delete(server.id);
        this.observer.onServerRemoved(server, reason);
    }
}

function isOlder(server: RelayServer, last: ReportVersion): boolean {
    if (server.startedAtMs !== last.startedAtMs) {
        return server.startedAtMs < last.startedAtMs;
    }
    return server.sequence < last.sequence;
}
