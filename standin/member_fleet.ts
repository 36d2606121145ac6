/**
 * Fleet of nodes in one process that run membership and dissemination only, driven by a virtual clock.
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

/** Interval at which a node polls the VM list, in milliseconds. */
const VM_LIST_POLL_INTERVAL_MS = 1_000;

/** Propagation delay of the VM list, in milliseconds. */
const VM_LIST_LAG_MS = 1_000;

/** Membership change as observed by one node. */
export interface ObservedChange {
    /** Id of the node that observed the change. */
    readonly by: string;
    readonly member: Member;
    readonly atMs: number;
}

/** Simulated process of the fleet. */
export interface MemberProcess {
    readonly vm: Vm;
    readonly clock: PausableClock;
    readonly membership: Membership;
    readonly dissemination: GossipDissemination;
    /** Received values, in order of arrival. */
    readonly arrivals: SharedValue[];
    readonly stopped: AbortController;
    /** Whether the process speaks the previous protocol version, which only supports probes. */
    readonly isLegacy: boolean;
}

/** Settings of a {@linkcode MemberFleet}. */
export interface MemberFleetSettings {
    readonly domains: number;
    readonly nodesPerDomain: number;
    /** Base of all random seeds. Defaults to 1. */
    readonly seed?: number;
}

/** Fleet whose node ids consist of a failure domain's letter and a number, such as `a-1`. */
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

    /** Starts a process without adding it to the VM list. */
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
        const peerService = new PeerService({ membership, dissemination, configurationVersion: () => -1 });
        const process = {
            vm,
            clock,
            membership,
            dissemination,
            isLegacy,
            arrivals: [],
            stopped: new AbortController(),
        };
        this.processes.set(id, process);
        this.network.serve(address, isLegacy ? new LegacyPeer(id, hybridClock) : peerService, clock);
        this.run(process);
        return process;
    }

    /** Kills a process without letting it leave. */
    kill(id: string): void {
        const { vm, stopped } = this.get(id);
        stopped.abort();
        this.network.stop(vm.address);
        this.processes.delete(id);
    }

    /** Returns a running process by its id. */
    get(id: string): MemberProcess {
        const process = this.processes.get(id);
        if (process === undefined) {
            throw new Error(`Cannot get process: "${id}" is not running`);
        }
        return process;
    }

    /** Publishes the running processes to the VM list. */
    publishVmList(): void {
        this.vmList.set([...this.processes.values()].map(process => process.vm));
    }

    /** Returns the state that a node has recorded for a member. */
    stateSeenBy(observer: string, id: string): MemberState | undefined {
        return this.get(observer).membership.list().find(member => member.id === id)?.state;
    }

    /** Returns the changes by which a node considered a member removed although its process is running. */
    falseRemovals(): readonly ObservedChange[] {
        return this.changes.filter(({ by, member }) => isRemoved(member) && by !== member.id && this.processes.has(member.id));
    }

    private run(process: MemberProcess): void {
        const { membership, dissemination, stopped: { signal }, arrivals, isLegacy, vm, clock } = process;
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

/** Daemon of the previous protocol version: it answers probes with its id and clock, and nothing else. */
class LegacyPeer extends PeerHandler {
    constructor(private readonly node: string, private readonly hybridClock: HybridClock) {
        super();
    }

    override async probe(): Promise<wire.ProbeReply> {
        // Fields that the previous protocol version lacks are decoded with their default values.
        return { ...this.hybridClock.tick(), node: this.node, configurationVersion: 3, protocol: 0, members: [] };
    }

    override probeIndirectly(): Promise<wire.RelayReply> {
        return new Promise(() => undefined);
    }

    override exchange(): Promise<wire.ExchangeReply> {
        return new Promise(() => undefined);
    }
}
