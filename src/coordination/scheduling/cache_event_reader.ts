/**
 * Following of the engines' cache events.
 *
 * @module
 */

import type { CacheEvent, Engine } from "../../protocol/mod.js";
import type { BackendServer, Clock, PrefixIndex } from "../../state/mod.js";

/** Time between two reads, one backend server each, in milliseconds: it bounds the bytes whatever the number of engines. */
const READ_INTERVAL_MS = 100;

/** Backend servers whose place in their events is remembered; the one read longest ago is forgotten first. */
const MAX_CURSORS = 4_096;

/** Reads the cache events of one backend server after the other into the prefix index. */
export class CacheEventReader {
    private readonly cursors = new Map<string, number>();

    /**
     * @param engine Connection to engines.
     * @param prefixes Index that the events are taken into.
     * @param clock Clock that paces the reads.
     */
    constructor(private readonly engine: Engine, private readonly prefixes: PrefixIndex, private readonly clock: Clock) {}

    /**
     * Reads until the signal is aborted.
     *
     * @param servers Returns the engines to follow.
     * @param signal Ends the reading.
     */
    async run(servers: () => readonly BackendServer[], signal: AbortSignal): Promise<void> {
        for (let turn = 0; !signal.aborted; turn++) {
            await this.clock.sleep(READ_INTERVAL_MS, signal);
            const followed = servers();
            if (followed.length > 0) {
                await this.readEvents(followed[turn % followed.length]);
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
            // Events may have gaps; the index ages, and answers tell what was cached.
        }
    }

    private applyEvent(server: string, { kind, block }: CacheEvent): void {
        if (kind === "stored") {
            this.prefixes.store(server, [block]);
            return;
        }
        this.prefixes.evict(server, [block]);
    }

    private storeCursor(server: string, place: number): void {
        this.cursors.delete(server);
        this.cursors.set(server, place);
        if (this.cursors.size > MAX_CURSORS) {
            const [oldest] = this.cursors.keys();
            this.cursors.delete(oldest);
        }
    }
}
