/**
 * Membership of the entry VMs: tracks which are alive, have failed or have left.
 *
 * After Das, Gupta and Motivala, "SWIM" (2002), with these changes: a node probes its successors on the hash ring of its own
 * failure domain instead of random members; only members of the same failure domain declare each other dead, so that a partition
 * between failure domains removes no member; and a node that receives no replies at all suspects no member.
 *
 * @module
 */

import { runEffects, takeWhile, tap } from "@most/core";
import { newDefaultScheduler } from "@most/scheduler";
import type { Stream } from "@most/types";
import { type PeerClient, PeerError, wire } from "../../protocol/mod.js";
import type { Clock, HybridClock, RandomSource, Vm } from "../../state/mod.js";
import { DomainContacts, MAX_FAILURE_DOMAINS } from "./_domain_contacts.js";
import { LocalHealth, MAX_LOCAL_HEALTH_SCORE } from "./_local_health.js";
import { MeteredPeerClient } from "./_metered_peer_client.js";
import { Prober, ProbeResult } from "./_prober.js";
import { heldLinks, linkCandidates, ringSuccessors, type TopologyView } from "./_topology.js";
import { MAX_WAITING_NEWS } from "./_update_queue.js";
import { ByteBudget, MAX_PEER_BYTES_PER_SECOND } from "./byte_budget.js";
import { isRemoved, type Member, MemberState, PEER_PROTOCOL_VERSION, toMemberRecord } from "./member.js";
import { MAX_MEMBERS, MemberTable } from "./member_table.js";

/** Interval between probes of a ring successor, in milliseconds. */
const RING_PROBE_INTERVAL_MS = 1_500;

/** Interval between probes over a link to another failure domain, in milliseconds. */
const LINK_PROBE_INTERVAL_MS = 1_000;

/** Interval between checks of suspicions and probe targets, in milliseconds. */
const SWEEP_INTERVAL_MS = 250;

/** Time by which a sweep may be late before this node considers itself slow, in milliseconds. */
const SWEEP_TOLERANCE_MS = 250;

/** Time without any reply after which this node considers itself isolated, in milliseconds. */
const ISOLATED_AFTER_MS = 2_500;

/** Interval between probes of removed members that are still on the VM list, in milliseconds. */
const REMOVED_PROBE_INTERVAL_MS = 5_000;

/** Maximum number of updates piggybacked on one message. */
const MAX_UPDATES_PER_MESSAGE = 8;

/** Maximum number of queries for unconfirmed members in one message. */
const MAX_QUERIES_PER_MESSAGE = 2;

/** Minimum available bytes for updates to be piggybacked. */
const UPDATE_RESERVE_BYTES = 500;

/** Number of members of this failure domain that are notified directly when this node leaves. */
const LEAVE_FANOUT = 3;

/** Timeout of notifying a member that this node leaves, in milliseconds. */
const LEAVE_TIMEOUT_MS = 500;

/** Prefix of the names of probe tasks for links. */
const LINK_TASK_PREFIX = "link ";

/** Settings of a {@linkcode Membership}. */
export interface MembershipSettings {
    /** Id of this node. */
    readonly node: string;
    /** IP address and port of this node for peers. */
    readonly address: string;
    readonly failureDomain: string;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly hybridClock: HybridClock;
    readonly client: PeerClient;
}

/** Named limit and its current usage. */
export interface MembershipLimit {
    readonly name: string;
    readonly limit: number;
    readonly read: () => number;
}

/**
 * Members as seen by this node, with failure detection.
 *
 * @example
 * const membership = new Membership(settings);
 * membership.applyVmList(await vmList.read());
 * void membership.run(signal);
 * const live = membership.list().filter(member => member.state === MemberState.Alive);
 */
export class Membership {
    /** Emits the current record of each member whose state, start time or address changed. */
    readonly changes: Stream<Member>;
    /** Byte budget of messages to other nodes, shared with the dissemination. */
    readonly budget: ByteBudget;
    /** Client that charges its messages to the budget. */
    readonly client: PeerClient;
    readonly contacts: DomainContacts;
    private readonly health = new LocalHealth();
    private readonly table: MemberTable;
    private readonly prober: Prober;
    private readonly probeTasks = new Map<string, AbortController>();
    /** Id of the member that last answered over each link, by failure domain. */
    private readonly linkTargets = new Map<string, string>();
    private listedVms: readonly Vm[] = [];
    private lastReplyAtMs: number;
    private probeTargetsStale = true;
    private running = true;

    /** @param settings See {@linkcode MembershipSettings}. */
    constructor(private readonly settings: MembershipSettings) {
        const { clock, random, node, address, failureDomain } = settings;
        this.budget = new ByteBudget(clock);
        this.client = new MeteredPeerClient(settings.client, this.budget);
        this.contacts = new DomainContacts(clock);
        this.lastReplyAtMs = clock.now();
        const life = Math.floor(clock.now());
        const identity = { id: node, address, failureDomain };
        const self = { ...identity, life, incarnation: 0, state: MemberState.Alive, protocol: PEER_PROTOCOL_VERSION };
        this.table = new MemberTable({ clock, contacts: this.contacts, self });
        this.changes = this.table.changes;
        this.prober = new Prober({
            clock,
            random,
            client: this.client,
            health: this.health,
            self: () => this.table.self,
            others: () => this.others,
            makeRequest: member => this.makeProbeRequest(member),
            onReply: (member, reply) => this.handleReply(member, reply),
            onRelayReply: () => this.recordReply(),
        });
    }

    /** Current record of this node. */
    get self(): Member {
        return this.table.self;
    }

    /** Hybrid logical clock that orders events across nodes. */
    get hybridClock(): HybridClock {
        return this.settings.hybridClock;
    }

    /** Number of suspicions that this node refuted. */
    get refutations(): number {
        return this.table.refutations;
    }

    /** Whether this node receives no replies at all. */
    get isIsolated(): boolean {
        return this.settings.clock.now() - this.lastReplyAtMs > ISOLATED_AFTER_MS;
    }

    /** Number of members with queued updates. */
    get pendingUpdates(): number {
        return this.table.updates.size;
    }

    /** Limits of the membership and their current usage. */
    get limits(): readonly MembershipLimit[] {
        const { table, budget, contacts, health } = this;
        return [
            { name: "MAX_MEMBERS", limit: MAX_MEMBERS, read: () => table.size },
            { name: "MAX_WAITING_NEWS", limit: MAX_WAITING_NEWS, read: () => table.updates.size },
            { name: "MAX_FAILURE_DOMAINS", limit: MAX_FAILURE_DOMAINS, read: () => contacts.size },
            { name: "MAX_LOCAL_HEALTH_SCORE", limit: MAX_LOCAL_HEALTH_SCORE, read: () => health.score },
            { name: "MAX_PEER_BYTES_PER_SECOND", limit: MAX_PEER_BYTES_PER_SECOND, read: () => budget.rate },
        ];
    }

    /** Lists all members, including this node and removed ones. */
    list(): readonly Member[] {
        return this.table.list();
    }

    /** Returns a member, without regard to the reachability of its failure domain, or `undefined`. */
    get(id: string): Member | undefined {
        return this.table.get(id);
    }

    /** Returns the other failure domains to which this node holds a link. */
    heldLinks(): ReadonlySet<string> {
        return new Set(
            [...this.probeTasks.keys()].filter(name => name.startsWith(LINK_TASK_PREFIX)).map(name =>
                name.slice(LINK_TASK_PREFIX.length)
            ),
        );
    }

    /** Returns the members of this failure domain that support exchanges. */
    localPartners(): readonly Member[] {
        const { failureDomain } = this.self;
        return this.others.filter(member => member.failureDomain === failureDomain && canExchange(member));
    }

    /** Returns the members of other failure domains that last answered over the links that this node holds. */
    remotePartners(): readonly Member[] {
        const partners = [...this.linkTargets.values()].map(id => this.table.get(id));
        return partners.filter(member => member !== undefined).filter(canExchange);
    }

    /** Applies a VM list. A stale or incomplete list does not override the replies of members. */
    applyVmList(vms: readonly Vm[]): void {
        this.listedVms = vms;
        this.table.applyVmList(vms, this.isIsolated);
        this.probeTargetsStale = true;
    }

    /** Runs failure detection until the signal is aborted. */
    async run(signal: AbortSignal): Promise<void> {
        const markStale = () => {
            this.probeTargetsStale = true;
        };
        void runEffects(tap(markStale, takeWhile(() => this.running, this.changes)), newDefaultScheduler());
        signal.addEventListener("abort", () => this.stopProbeTasks(), { once: true });
        await Promise.all([this.runSweeps(signal), this.runRemovedProbes(signal)]);
    }

    /** Notifies some members that this node leaves; gossip informs the others. */
    async leave(): Promise<void> {
        this.table.leave();
        const local = this.localPartners().slice(0, LEAVE_FANOUT);
        await Promise.all([...local, ...this.remotePartners()].map(member => this.announceLeave(member)));
    }

    /** Applies updates received from another node; a refutation worsens the local health. */
    applyUpdates(records: readonly wire.MemberRecord[]): void {
        const refutations = this.table.refutations;
        this.table.applyRecords(records);
        if (this.table.refutations > refutations) {
            this.health.worsen();
        }
    }

    /**
     * Returns the records for one message to a member: this node's own, the record of the member if it is not alive, so that
     * it can refute it, and, if the budget allows, queued updates, queries and one record for repair.
     */
    takeUpdatesFor(id: string): wire.MemberRecord[] {
        const records = [toMemberRecord(this.self)];
        const known = this.table.get(id);
        if (known !== undefined && known.life > 0 && known.state !== MemberState.Alive) {
            records.push(toMemberRecord(known));
        }
        if (this.budget.available >= UPDATE_RESERVE_BYTES) {
            records.push(...this.table.updates.dequeue(MAX_UPDATES_PER_MESSAGE, this.table.size));
            records.push(...this.table.makeQueries(MAX_QUERIES_PER_MESSAGE), ...this.table.nextForAntiEntropy());
        }
        return records;
    }

    /** Handles a probe of another node. */
    answerProbe(request: wire.ProbeRequest, configurationVersion: number): wire.ProbeReply {
        this.budget.countReceived(wire.ProbeRequest.encode(request).finish().length);
        this.hybridClock.observe(request);
        this.applyUpdates(request.members);
        const reply = {
            ...this.hybridClock.tick(),
            node: this.settings.node,
            configurationVersion,
            protocol: PEER_PROTOCOL_VERSION,
            members: this.takeUpdatesFor(request.node),
        };
        this.budget.charge(wire.ProbeReply.encode(reply).finish().length);
        return reply;
    }

    /** Handles a request to probe a member on behalf of another node. */
    async answerRelay(request: wire.RelayRequest): Promise<wire.RelayReply> {
        this.budget.countReceived(wire.RelayRequest.encode(request).finish().length);
        const target = this.table.get(request.target);
        // Only known members are probed, so that a peer cannot use this node to reach arbitrary addresses.
        const isKnown = target !== undefined && target.address === request.address;
        const reached = isKnown && await this.prober.probeDirectly(target);
        const reply = { reached, members: reached ? [toMemberRecord(this.table.get(target.id) ?? target)] : [] };
        this.budget.charge(wire.RelayReply.encode(reply).finish().length);
        return reply;
    }

    private get others(): readonly Member[] {
        return this.table.list().filter(member => member.id !== this.settings.node);
    }

    private get topologyView(): TopologyView {
        return { self: this.self, others: this.others };
    }

    private async runSweeps(signal: AbortSignal): Promise<void> {
        const { clock } = this.settings;
        let lastAtMs = clock.now();
        while (!signal.aborted) {
            await clock.sleep(SWEEP_INTERVAL_MS, signal);
            const delayMs = clock.now() - lastAtMs - SWEEP_INTERVAL_MS;
            lastAtMs = clock.now();
            this.expireSuspicions(Math.max(0, delayMs));
            if (this.probeTargetsStale) {
                this.probeTargetsStale = false;
                this.updateProbeTasks(signal);
            }
        }
    }

    /** Removes expired suspects, except after a pause of this node or while it is isolated, when it may have missed refutations. */
    private expireSuspicions(delayMs: number): void {
        const { suspicions } = this.table;
        if (delayMs > SWEEP_TOLERANCE_MS) {
            this.health.worsen();
            suspicions.postpone(delayMs);
            return;
        }
        if (this.isIsolated) {
            suspicions.postpone(SWEEP_INTERVAL_MS);
            return;
        }
        this.table.removeExpiredSuspects();
    }

    /** Starts and stops probe tasks to match the current topology. */
    private updateProbeTasks(signal: AbortSignal): void {
        if (signal.aborted) {
            return;
        }
        const wanted = new Map<string, (taskSignal: AbortSignal) => Promise<void>>();
        for (const member of ringSuccessors(this.topologyView)) {
            wanted.set(`ring ${member.id}`, taskSignal => this.runSuccessorProbes(member.id, taskSignal));
        }
        for (const domain of heldLinks(this.topologyView)) {
            wanted.set(`${LINK_TASK_PREFIX}${domain}`, taskSignal => this.runLinkProbes(domain, taskSignal));
        }
        for (const [name, task] of this.probeTasks) {
            if (!wanted.has(name)) {
                task.abort();
                this.probeTasks.delete(name);
            }
        }
        for (const [name, start] of wanted) {
            if (!this.probeTasks.has(name)) {
                const task = new AbortController();
                this.probeTasks.set(name, task);
                void start(task.signal);
            }
        }
    }

    private stopProbeTasks(): void {
        this.running = false;
        for (const task of this.probeTasks.values()) {
            task.abort();
        }
        this.probeTasks.clear();
    }

    /** Probes a ring successor periodically and suspects it when a probe fails. */
    private async runSuccessorProbes(id: string, signal: AbortSignal): Promise<void> {
        const { clock, random } = this.settings;
        await clock.sleep(random.next() * RING_PROBE_INTERVAL_MS, signal);
        while (!signal.aborted) {
            const member = this.table.get(id);
            if (member === undefined) {
                return;
            }
            if (await this.prober.probe(member) === ProbeResult.Failed && !signal.aborted && !this.isIsolated) {
                this.table.suspect(id);
            }
            await clock.sleep(RING_PROBE_INTERVAL_MS * this.health.timeoutMultiplier, signal);
        }
    }

    /** Probes another failure domain periodically; keeps a target that answers, otherwise moves to the next candidate. */
    private async runLinkProbes(failureDomain: string, signal: AbortSignal): Promise<void> {
        const { clock, random } = this.settings;
        let attempt = 0;
        await clock.sleep(random.next() * LINK_PROBE_INTERVAL_MS, signal);
        while (!signal.aborted) {
            const candidates = linkCandidates(this.topologyView, failureDomain);
            if (candidates.length > 0) {
                const target = candidates[attempt % candidates.length];
                if (await this.prober.probeDirectly(target)) {
                    this.linkTargets.set(failureDomain, target.id);
                }
                else {
                    attempt += 1;
                }
            }
            await clock.sleep(LINK_PROBE_INTERVAL_MS, signal);
        }
        this.linkTargets.delete(failureDomain);
    }

    /** Probes removed members periodically, to detect live ones, such as after a partition within the failure domain heals. */
    private async runRemovedProbes(signal: AbortSignal): Promise<void> {
        const { clock, random } = this.settings;
        while (await clock.sleep(REMOVED_PROBE_INTERVAL_MS, signal)) {
            const listed = new Set(this.listedVms.map(vm => vm.id));
            const removed = this.table.others.filter(member => isRemoved(member) && listed.has(member.id));
            if (removed.length > 0) {
                await this.prober.probeDirectly(removed[random.nextInt(removed.length)]);
            }
        }
    }

    private makeProbeRequest(member: Member): wire.ProbeRequest {
        return {
            ...this.hybridClock.tick(),
            node: this.settings.node,
            protocol: PEER_PROTOCOL_VERSION,
            target: member.id,
            members: this.takeUpdatesFor(member.id),
        };
    }

    private handleReply(member: Member, reply: wire.ProbeReply | wire.RelayReply): void {
        this.recordReply();
        if ("wallMs" in reply) {
            this.hybridClock.observe(reply);
        }
        this.applyUpdates(reply.members);
        const isFromMember = "reached" in reply || reply.node === member.id;
        if (!isFromMember) {
            return;
        }
        this.contacts.record(member.failureDomain);
        if ("protocol" in reply && reply.protocol === 0) {
            this.table.recordLegacyReply(member.id);
        }
    }

    private recordReply(): void {
        this.lastReplyAtMs = this.settings.clock.now();
    }

    private async announceLeave(member: Member): Promise<void> {
        try {
            await this.client.probe(member.address, this.makeProbeRequest(member), LEAVE_TIMEOUT_MS);
        }
        catch (error) {
            if (!(error instanceof PeerError)) {
                throw error;
            }
            // Gossip, or else failure detection, informs this member.
        }
    }
}

function canExchange(member: Member): boolean {
    return member.state === MemberState.Alive && member.protocol > 0;
}
