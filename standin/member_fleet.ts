/**
 * Memberships and disseminations of many nodes in one process under a virtual clock.
 *
 * @module
 */

import { runEffects, tap } from "@most/core";
import { newDefaultScheduler } from "@most/scheduler";
import type { MemberState } from "../src/coordination/mod.js";
import { GossipDissemination, isRemoved, type Member, Membership } from "../src/coordination/mod.js";
import { PeerService } from "../src/daemon/mod.js";
import { PeerHandler, type SharedValue, type wire } from "../src/protocol/mod.js";
import { HybridClock, SeededRandom, type Vm, VmRole, VmState } from "../src/state/mod.js";
import { LocalPeerNetwork } from "./local_peers.js";
import { PausableClock } from "./pausable_clock.js";
import { VirtualClock } from "./virtual_clock.js";
import { VmListModel } from "./vm_list_model.js";

/** Time between two reads of the VM list, in milliseconds. */
const VM_LIST_POLL_INTERVAL_MS = 1_000;

/** Lag of the VM list, in milliseconds. */
const VM_LIST_LAG_MS = 1_000;

/** Change of a member as one node saw it. */
export interface ObservedChange {
    /** Node that saw the change. */
    readonly by: string;
    readonly member: Member;
    readonly atMs: number;
}

/** One process of the fleet. */
export interface MemberProcess {
    readonly vm: Vm;
    readonly clock: PausableClock;
    readonly membership: Membership;
    readonly dissemination: GossipDissemination;
    /** Values in the order in which they came. */
    readonly arrivals: SharedValue[];
    readonly stopped: AbortController;
    /** Whether the process runs the previous protocol, which knows probes alone. */
    readonly isLegacy: boolean;
}

/** Settings of a {@linkcode MemberFleet}. */
export interface MemberFleetSettings {
    readonly domains: number;
    readonly nodesPerDomain: number;
    /** Seed of all random numbers. Defaults to 1. */
    readonly seed?: number;
}

/** Nodes named by domain letter and number, such as `a-1`. */
export class MemberFleet {
    readonly clock = new VirtualClock();
    readonly network = new LocalPeerNetwork(this.clock);
    readonly vmList = new VmListModel(this.clock, VM_LIST_LAG_MS);
    readonly processes = new Map<string, MemberProcess>();
    readonly changes: ObservedChange[] = [];
    private startCount = 0;

    /** @param settings See {@linkcode MemberFleetSettings}. */
    constructor(private readonly settings: MemberFleetSettings) {
        for (let domain = 0; domain < settings.domains; domain += 1) {
            const letter = String.fromCharCode("a".charCodeAt(0) + domain);
            for (let node = 1; node <= settings.nodesPerDomain; node += 1) {
                this.start(`${letter}-${node}`, `10.0.${domain}.${node}:7000`);
            }
        }
        this.publishVmList();
    }

    /** Starts a process; the VM list does not show it yet. */
    start(id: string, address: string, isLegacy = false): MemberProcess {
        const vm: Vm = { id, address, role: VmRole.Entry, failureDomain: id.split("-")[0], state: VmState.Live };
        const clock = new PausableClock(this.clock);
        this.startCount += 1;
        const random = new SeededRandom((this.settings.seed ?? 1) * 10_000 + this.startCount);
        const client = this.network.connect(address, clock);
        const hybridClock = new HybridClock(clock);
        const { failureDomain } = vm;
        const membership = new Membership({ node: id, address, failureDomain, clock, random, client, hybridClock });
        const dissemination = new GossipDissemination({ clock, random, membership });
        const desk = new PeerService({ membership, dissemination, configurationVersion: () => -1 });
        const process = {
            vm,
            clock,
            membership,
            dissemination,
            isLegacy: isLegacy,
            arrivals: [],
            stopped: new AbortController(),
        };
        this.processes.set(id, process);
        this.network.serve(address, isLegacy ? new LegacyPeer(id, hybridClock) : desk, clock);
        this.run(process);
        return process;
    }

    /** Ends a process at once. */
    kill(id: string): void {
        const { vm, stopped } = this.get(id);
        stopped.abort();
        this.network.stop(vm.address);
        this.processes.delete(id);
    }

    /** Returns a process by its id. */
    get(id: string): MemberProcess {
        const process = this.processes.get(id);
        if (process === undefined) {
            throw new Error(`Cannot use process: "${id}" does not run`);
        }
        return process;
    }

    /** Puts the running processes into the VM list. */
    publishVmList(): void {
        this.vmList.set([...this.processes.values()].map(process => process.vm));
    }

    /** Returns what a node holds of a member. */
    stateSeenBy(observer: string, id: string): MemberState | undefined {
        return this.get(observer).membership.list().find(member => member.id === id)?.state;
    }

    /** Lists the changes by which a node took a member of a running process for removed. */
    falseRemovals(): readonly ObservedChange[] {
        return this.changes.filter(({ by, member }) => isRemoved(member) && by !== member.id && this.processes.has(member.id));
    }

    private run(process: MemberProcess): void {
        const { membership, dissemination, stopped: { signal }, arrivals, isLegacy: isLegacy, vm, clock } = process;
        if (isLegacy) {
            return;
        }
        const scheduler = newDefaultScheduler();
        const record = (member: Member) => {
            this.changes.push({ by: vm.id, member, atMs: this.clock.now() });
        };
        void runEffects(tap(record, membership.changes), scheduler);
        void runEffects(tap(value => arrivals.push(value), dissemination.arrivals), scheduler);
        void membership.run(signal);
        void dissemination.run(signal);
        void this.pollVmList(membership, clock, signal);
    }

    private async pollVmList(membership: Membership, clock: PausableClock, signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            if (!this.vmList.down) {
                membership.applyVmList(await this.vmList.read());
            }
            await clock.sleep(VM_LIST_POLL_INTERVAL_MS, signal);
        }
    }
}

/** Daemon of the previous protocol, which answers probes with its name and clock and knows nothing else. */
class LegacyPeer extends PeerHandler {
    constructor(private readonly node: string, private readonly hybridClock: HybridClock) {
        super();
    }

    override async probe(): Promise<wire.ProbeReply> {
        // Fields that the previous protocol lacks arrive with their defaults.
        return { ...this.hybridClock.tick(), node: this.node, configurationVersion: 3, protocol: 0, members: [] };
    }

    override probeIndirectly(): Promise<wire.RelayReply> {
        return new Promise(() => undefined);
    }

    override exchange(): Promise<wire.ExchangeReply> {
        return new Promise(() => undefined);
    }
}
