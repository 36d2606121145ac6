/**
 * Backend servers that a node knows, with what it has sent them.
 *
 * @module
 */

import { type LoadReport, type Vm, VmState } from "./backend_server.js";

/** Backend server with its last report and this node's own count of what runs there. */
export class BackendServer {
    /** Last load report; `undefined` until the first. */
    report: LoadReport | undefined;
    /** Requests that this node has sent and that have not ended. */
    outstanding = 0;

    /** @param vm Entry of the VM list. */
    constructor(public vm: Vm) {}

    /** Whether the backend server takes new work. */
    get acceptsRequests(): boolean {
        return this.vm.state === VmState.Live;
    }
}

/** Holds the backend servers of the VM list by id and by pool. */
export class BackendTable {
    private readonly servers = new Map<string, BackendServer>();
    private pools = new Map<string, BackendServer[]>();

    /** All backend servers known. */
    get all(): Iterable<BackendServer> {
        return this.servers.values();
    }

    /** Returns the backend servers of a pool, those that leave included. */
    inPool(pool: string): readonly BackendServer[] {
        return this.pools.get(pool) ?? [];
    }

    /** Returns the backend server of that id. */
    get(id: string): BackendServer | undefined {
        return this.servers.get(id);
    }

    /**
     * Replaces the set of backend servers; counts of those that stay are kept.
     *
     * @param vms Backend servers of a new VM list.
     */
    replace(vms: readonly Vm[]): void {
        const listed = new Set(vms.map(vm => vm.id));
        for (const id of this.servers.keys()) {
            if (!listed.has(id)) {
                this.servers.delete(id);
            }
        }
        for (const vm of vms) {
            const known = this.servers.get(vm.id);
            if (known === undefined) {
                this.servers.set(vm.id, new BackendServer(vm));
            }
            else {
                known.vm = vm;
            }
        }
        this.indexPools();
    }

    private indexPools(): void {
        this.pools = new Map();
        for (const server of this.servers.values()) {
            const pool = server.vm.pool ?? "";
            const members = this.pools.get(pool);
            if (members === undefined) {
                this.pools.set(pool, [server]);
            }
            else {
                members.push(server);
            }
        }
    }
}
