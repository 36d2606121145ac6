/**
 * Table of the known backend servers and the requests that this node has outstanding on them.
 *
 * @module
 */

import { type LoadReport, type Vm, VmState } from "./vm.js";

/** Backend server with its last load report and the number of requests that this node has outstanding on it. */
export class BackendServer {
    /** Last load report; `undefined` until the first one is read. */
    report: LoadReport | undefined;
    /** Requests that this node has sent and that have not finished. */
    outstanding = 0;

    /** @param vm Entry of the VM list. */
    constructor(public vm: Vm) {}

    /** Whether the backend server accepts new requests. */
    get acceptsRequests(): boolean {
        return this.vm.state === VmState.Live;
    }
}

/** Indexes the backend servers of the VM list by id and by pool. */
export class BackendTable {
    private readonly servers = new Map<string, BackendServer>();
    private pools = new Map<string, BackendServer[]>();

    /** All known backend servers. */
    get all(): Iterable<BackendServer> {
        return this.servers.values();
    }

    /** Returns the backend servers of a pool, including those that are leaving. */
    inPool(pool: string): readonly BackendServer[] {
        return this.pools.get(pool) ?? [];
    }

    /** Returns the backend server with the given id. */
    get(id: string): BackendServer | undefined {
        return this.servers.get(id);
    }

    /**
     * Replaces the set of backend servers. Servers that remain keep their load report and outstanding count.
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
