/**
 * Reader of the engines' cache events.
 *
 * @module
 */

import type { CacheEvent, Engine } from "../../protocol/mod.js";
import type { BackendServer, Clock, PrefixIndex } from "../../state/mod.js";

/** Time between two reads, each of one backend server, in milliseconds; limits the traffic for any number of engines. */
const READ_INTERVAL_MS = 100;

/** Maximum number of backend servers with a stored cursor; the least recently read one is evicted first. */
const MAX_CURSORS = 4_096;

/** Reads the cache events of the backend servers in turn and applies them to the prefix index. */
export class CacheEventReader {
    private readonly cursors = new Map<string, number>();

    /**
     * @param engine Connection to engines.
     * @param prefixes Index that the events are applied to.
     * @param clock Clock that paces the reads.
     */
    constructor(private readonly engine: Engine, private readonly prefixes: PrefixIndex, private readonly clock: Clock) {}

    /**
     * Reads events until the signal is aborted.
     *
     * @param servers Returns the engines to read from.
     * @param signal Stops the reader.
     */
    async run(servers: () => readonly BackendServer[], signal: AbortSignal): Promise<void> {
        for (let index = 0; !signal.aborted; index++) {
            await this.clock.sleep(READ_INTERVAL_MS, signal);
            const engines = servers();
            if (engines.length > 0) {
                await this.readEvents(engines[index % engines.length]);
            }
        }
    }

    private async readEvents({ vm }: BackendServer): Promise<void> {
        try {
            const batch = await this.engine.readCacheEvents(vm, this.cursors.get(vm.id) ?? 0);
            this.storeCursor(vm.id, batch.next);
            for (const event of batch.events) {
                this.applyEvent(vm.id, event);
            }
        }
        catch {
            // A failed read may leave a gap in the events. Index entries expire, and answers report what was cached.
        }
    }

    private applyEvent(server: string, { kind, block }: CacheEvent): void {
        if (kind === "stored") {
            this.prefixes.store(server, [block]);
            return;
        }
        this.prefixes.evict(server, [block]);
    }

    private storeCursor(server: string, cursor: number): void {
        this.cursors.delete(server);
        this.cursors.set(server, cursor);
        if (this.cursors.size > MAX_CURSORS) {
            const [oldest] = this.cursors.keys();
            this.cursors.delete(oldest);
        }
    }
}
