/**
 * Naive membership: every node probes every other one each second and removes it after three consecutive failures.
 *
 * @module
 */

import type { PeerClient } from "../../src/protocol/mod.js";
import type { Clock, Vm } from "../../src/state/mod.js";

/** Interval between probes of one member, in milliseconds. */
const PROBE_INTERVAL_MS = 1_000;

/** Timeout of a probe, in milliseconds. */
const PROBE_TIMEOUT_MS = 500;

/** Consecutive failures after which a member is removed. */
const MAX_FAILURES = 3;

/** Settings of a {@linkcode FullMeshMembership}. */
export interface FullMeshMembershipSettings {
    readonly node: string;
    readonly clock: Clock;
    readonly client: PeerClient;
    /** Called when a member is suspected, removed or alive again. */
    readonly onChange: (id: string, state: "alive" | "suspect" | "dead") => void;
}

/** Probes all members directly, without indirect probes, refutation or awareness of the local health. */
export class FullMeshMembership {
    /** @param settings See {@linkcode FullMeshMembershipSettings}. */
    constructor(private readonly settings: FullMeshMembershipSettings) {}

    /** Starts one probe task per peer. */
    start(vms: readonly Vm[], signal: AbortSignal): void {
        for (const vm of vms.filter(each => each.id !== this.settings.node)) {
            void this.runProbes(vm, signal);
        }
    }

    private async runProbes(vm: Vm, signal: AbortSignal): Promise<void> {
        const { clock, client, node, onChange } = this.settings;
        let failures = 0;
        while (!signal.aborted) {
            const request = { node, wallMs: Math.floor(clock.now()), counter: 0, protocol: 0, members: [], target: vm.id };
            try {
                await client.probe(vm.address, request, PROBE_TIMEOUT_MS);
                if (failures >= MAX_FAILURES) {
                    onChange(vm.id, "alive");
                }
                failures = 0;
            }
            catch {
                failures += 1;
                if (failures <= MAX_FAILURES) {
                    onChange(vm.id, failures === MAX_FAILURES ? "dead" : "suspect");
                }
            }
            await clock.sleep(PROBE_INTERVAL_MS, signal);
        }
    }
}
