/**
 * Polling of the VM list and of the load reports of backend servers.
 *
 * @module
 */

import { createAdapter } from "@most/adapter";
import type { Stream } from "@most/types";
import type { Engine, VmList } from "../protocol/mod.js";
import { type BackendTable, type Clock, type EventRing, Part, type Vm, VmRole } from "../state/mod.js";

/** Polling interval of the VM list, in milliseconds. */
const VM_LIST_INTERVAL_MS = 1_000;

/** Polling interval of each backend server's load report, in milliseconds. */
const REPORT_INTERVAL_MS = 500;

/** Settings of a {@linkcode PlatformWatcher}. */
export interface PlatformWatcherSettings {
    readonly clock: Clock;
    readonly ring: EventRing;
    readonly vmList: VmList;
    readonly engine: Engine;
    readonly table: BackendTable;
}

/** Keeps the backend table up to date with one polling task for the VM list and one for each backend server. */
export class PlatformWatcher {
    /** Emits each VM list that is read. */
    readonly vmLists: Stream<readonly Vm[]>;
    private readonly publish: (vms: readonly Vm[]) => void;
    private readonly reportPollers = new Map<string, AbortController>();

    /** @param settings See {@linkcode PlatformWatcherSettings}. */
    constructor(private readonly settings: PlatformWatcherSettings) {
        [this.publish, this.vmLists] = createAdapter<readonly Vm[]>();
    }

    /** Polls until the signal is aborted. While the VM list is unavailable, the last one read stays in effect. */
    async run(signal: AbortSignal): Promise<void> {
        const { clock, vmList } = this.settings;
        while (!signal.aborted) {
            try {
                this.applyVmList(await vmList.read());
            }
            catch (error) {
                this.settings.ring.record({ part: Part.Member, kind: "listFailed", text: `${(error as Error).message}.` });
            }
            await clock.sleep(VM_LIST_INTERVAL_MS, signal);
        }
        for (const poller of this.reportPollers.values()) {
            poller.abort();
        }
    }

    private applyVmList(vms: readonly Vm[]): void {
        const { table } = this.settings;
        table.replace(vms.filter(vm => vm.role === VmRole.Backend));
        for (const [id, poller] of this.reportPollers) {
            if (table.get(id) === undefined) {
                poller.abort();
                this.reportPollers.delete(id);
            }
        }
        for (const server of table.all) {
            if (!this.reportPollers.has(server.vm.id)) {
                const poller = new AbortController();
                this.reportPollers.set(server.vm.id, poller);
                void this.pollLoadReports(server.vm.id, poller.signal);
            }
        }
        this.publish(vms);
    }

    private async pollLoadReports(id: string, signal: AbortSignal): Promise<void> {
        const { clock, engine, table } = this.settings;
        while (!signal.aborted) {
            const server = table.get(id);
            if (server === undefined) {
                return;
            }
            try {
                server.report = await engine.readLoad(server.vm);
            }
            catch {
                // The scheduler discounts the last report by its age, so a missing report needs no handling.
            }
            await clock.sleep(REPORT_INTERVAL_MS, signal);
        }
    }
}
