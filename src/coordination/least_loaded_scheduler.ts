/**
 * Scheduler that sends each call at once to the less loaded of two backend servers.
 *
 * After Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing" (2001).
 *
 * @module
 */

import { type AcceptedCall, Refusal, RefusalType } from "../protocol/mod.js";
import type { BackendServer, BackendTable, RandomSource } from "../state/mod.js";
import { Assignment, type AssignSettings, Scheduler } from "./scheduler.js";
import { AnyVersion, selectByVersion, type VersionPolicy } from "./version_policy.js";

/** Time after which a caller may ask again when a pool has no backend server, in milliseconds. */
const NO_SERVER_RETRY_AFTER_MS = 1_000;

/** Chooses between two random backend servers by what this node has sent them. */
export class LeastLoadedScheduler extends Scheduler {
    /**
     * @param table Backend servers known.
     * @param random Source of the two choices.
     * @param versions Chooses the version of each call. Defaults to any version.
     */
    constructor(
        private readonly table: BackendTable,
        private readonly random: RandomSource,
        private readonly versions: VersionPolicy = new AnyVersion(),
    ) {
        super();
    }

    override assign(call: AcceptedCall, settings: AssignSettings): Promise<Assignment> {
        const { name, pool } = call.operation;
        const ready = this.table.inPool(pool).filter(server => server.takesWork && !settings.excluded.has(server.vm.id));
        const query = { callId: call.incoming.id, operation: name, pool, retry: settings.excluded.size > 0 };
        const candidates = selectByVersion(ready, this.versions.choose(query));
        if (candidates.length === 0) {
            const detail = `Pool "${call.operation.pool}" has no backend server that takes work. Try again.`;
            return Promise.reject(new Refusal(RefusalType.NoBackendServer, detail, { retryAfterMs: NO_SERVER_RETRY_AFTER_MS }));
        }
        const first = candidates[this.random.below(candidates.length)];
        const second = candidates[this.random.below(candidates.length)];
        return Promise.resolve(new CountedAssignment(first.outstanding <= second.outstanding ? first : second));
    }
}

/** Assignment that counts on its backend server. */
class CountedAssignment extends Assignment {
    private released = false;

    constructor(override readonly server: BackendServer) {
        super();
        server.outstanding += 1;
    }

    override recordToken(): void {
        // Rates are of no use to this scheduler.
    }

    override release(): void {
        if (this.released) {
            return;
        }
        this.released = true;
        this.server.outstanding -= 1;
    }
}
