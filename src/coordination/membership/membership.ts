/**
 * Membership of the entry VMs: who is there, who has failed, who has left.
 *
 * After Das, Gupta and Motivala, "SWIM" (2002), with these changes: a node probes fixed successors on a ring of its own failure
 * domain; only members of a failure domain declare each other dead, so that a cut between failure domains removes nobody; and a
 * node that gets no answer from anyone accuses nobody.
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

/** Time between two probes of one ring successor, in milliseconds. */
const RING_PROBE_INTERVAL_MS = 1_500;

/** Time between two probes over a link to another failure domain, in milliseconds. */
const LINK_PROBE_INTERVAL_MS = 1_000;

/** Time between two looks at suspicions and probe targets, in milliseconds. */
const SWEEP_INTERVAL_MS = 250;

/** Time by which a sweep may be late before this node takes itself for slow, in milliseconds. */
const SWEEP_TOLERANCE_MS = 250;

/** Time without any answer after which this node takes itself for cut off, in milliseconds. */
const ISOLATED_AFTER_MS = 2_500;

/** Time between two probes of a removed member that the VM list still shows, in milliseconds. */
const REMOVED_PROBE_INTERVAL_MS = 5_000;

/** Pieces of news that go along with one message. */
const MAX_UPDATES_PER_MESSAGE = 8;

/** Members of which nothing was heard yet that one message asks for. */
const MAX_QUERIES_PER_MESSAGE = 2;

/** Bytes that must be left of the budget for news to go along. */
const UPDATE_RESERVE_BYTES = 500;

/** Members that are told at once when this node leaves. */
const LEAVE_FANOUT = 3;

/** Time to tell a member that this node leaves, in milliseconds. */
const LEAVE_TIMEOUT_MS = 500;

/** Start of the names of tasks that hold a link. */
const LINK_TASK_PREFIX = "link ";

/** Settings of a {@linkcode Membership}. */
export interface MembershipSettings {
    /** Id of this node. */
    readonly node: string;
    /** IP number and port of this node for peers. */
    readonly address: string;
    readonly failureDomain: string;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly hybridClock: HybridClock;
    readonly client: PeerClient;
}

/** Quantity of the membership beside its named limit. */
export interface MembershipLimit {
    readonly name: string;
    readonly limit: number;
    readonly read: () => number;
}

/**
 * Members as this node knows them.
 *
 * @example
 * const membership = new Membership(settings);
 * membership.seed(await vmList.read());
 * void membership.run(signal);
 * const live = membership.list().filter(member => member.state === MemberState.Alive);
 */
export class Membership {
    /** Members whose state, life or address has changed, as they are now. */
    readonly changes: Stream<Member>;
    /** Bytes of messages to other nodes; the dissemination shares it. */
    readonly budget: ByteBudget;
    /** Client that charges the budget. */
    readonly client: PeerClient;
    readonly contacts: DomainContacts;
    private readonly health = new LocalHealth();
    private readonly table: MemberTable;
    private readonly prober: Prober;
    private readonly probeTasks = new Map<string, AbortController>();
    /** Member that answered last over each link. */
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
            makeRequest: member => this.makeProbe(member),
            onReply: (member, reply) => this.handleReply(member, reply),
            onRelayReply: () => this.recordReply(),
        });
    }

    /** This node. */
    get self(): Member {
        return this.table.self;
    }

    /** Clock that orders events over all nodes. */
    get hybridClock(): HybridClock {
        return this.settings.hybridClock;
    }

    /** Number of times that this node refuted an accusation. */
    get refutations(): number {
        return this.table.refutations;
    }

    /** Whether this node gets no answer from anyone. */
    get isIsolated(): boolean {
        return this.settings.clock.now() - this.lastReplyAtMs > ISOLATED_AFTER_MS;
    }

    /** Number of members that news wait about. */
    get pendingUpdates(): number {
        return this.table.updates.size;
    }

    /** Limits of the membership, each with its use. */
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

    /** Lists all members, this node and removed ones included. */
    list(): readonly Member[] {
        return this.table.list();
    }

    /** Returns a member as it is known from news, or `undefined`. */
    get(id: string): Member | undefined {
        return this.table.get(id);
    }

    /** Other failure domains to which this node holds a link. */
    heldLinks(): ReadonlySet<string> {
        return new Set(
            [...this.probeTasks.keys()].filter(name => name.startsWith(LINK_TASK_PREFIX)).map(name =>
                name.slice(LINK_TASK_PREFIX.length)
            ),
        );
    }

    /** Members of this failure domain that can exchange values. */
    localPartners(): readonly Member[] {
        const { failureDomain } = this.self;
        return this.others.filter(member => member.failureDomain === failureDomain && canExchange(member));
    }

    /** Members of other failure domains that answered last over the links that this node holds. */
    remotePartners(): readonly Member[] {
        const partners = [...this.linkTargets.values()].map(id => this.table.get(id));
        return partners.filter(member => member !== undefined).filter(canExchange);
    }

    /** Takes the VM list; a list that lags or lacks members is no proof against what members answer. */
    applyVmList(vms: readonly Vm[]): void {
        this.listedVms = vms;
        this.table.applyVmList(vms, this.isIsolated);
        this.probeTargetsStale = true;
    }

    /** Probes and judges members until the signal is aborted. */
    async run(signal: AbortSignal): Promise<void> {
        const markStale = () => {
            this.probeTargetsStale = true;
        };
        void runEffects(tap(markStale, takeWhile(() => this.running, this.changes)), newDefaultScheduler());
        signal.addEventListener("abort", () => this.stopProbeTasks(), { once: true });
        await Promise.all([this.runSweeps(signal), this.runRemovedProbes(signal)]);
    }

    /** Tells some members that this node leaves; they tell the others. */
    async leave(): Promise<void> {
        this.table.leave();
        const near = this.localPartners().slice(0, LEAVE_FANOUT);
        await Promise.all([...near, ...this.remotePartners()].map(member => this.announceLeave(member)));
    }

    /** Takes news and returns the news to answer with. */
    applyUpdates(records: readonly wire.MemberRecord[]): void {
        const refutations = this.table.refutations;
        this.table.applyRecords(records);
        if (this.table.refutations > refutations) {
            this.health.worsen();
        }
    }

    /** Returns this node's own record and news for one message to a member. */
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

    /** Answers a probe. */
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

    /** Probes a member for another one. */
    async answerRelay(request: wire.RelayRequest): Promise<wire.RelayReply> {
        this.budget.countReceived(wire.RelayRequest.encode(request).finish().length);
        const target = this.table.get(request.target);
        // Only members are probed, so that a peer cannot use this node to reach other addresses.
        const known = target !== undefined && target.address === request.address;
        const reached = known && await this.prober.probeDirectly(target);
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
            const lostMs = clock.now() - lastAtMs - SWEEP_INTERVAL_MS;
            lastAtMs = clock.now();
            this.expireSuspicions(Math.max(0, lostMs));
            if (this.probeTargetsStale) {
                this.probeTargetsStale = false;
                this.updateProbeTasks(signal);
            }
        }
    }

    /** Removes suspects, unless this node has been paused or gets no answer, which makes it no judge of others. */
    private expireSuspicions(lostMs: number): void {
        const { suspicions } = this.table;
        if (lostMs > SWEEP_TOLERANCE_MS) {
            this.health.worsen();
            suspicions.postpone(lostMs);
            return;
        }
        if (this.isIsolated) {
            suspicions.postpone(SWEEP_INTERVAL_MS);
            return;
        }
        this.table.removeExpiredSuspects();
    }

    private updateProbeTasks(signal: AbortSignal): void {
        if (signal.aborted) {
            return;
        }
        const wanted = new Map<string, (own: AbortSignal) => Promise<void>>();
        for (const member of ringSuccessors(this.topologyView)) {
            wanted.set(`ring ${member.id}`, own => this.runSuccessorProbes(member.id, own));
        }
        for (const domain of heldLinks(this.topologyView)) {
            wanted.set(`${LINK_TASK_PREFIX}${domain}`, own => this.runLinkProbes(domain, own));
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

    /** Task of one ring successor. */
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

    /** Task of one link to another failure domain: stays with a member that answers, else goes on to the next. */
    private async runLinkProbes(failureDomain: string, signal: AbortSignal): Promise<void> {
        const { clock, random } = this.settings;
        let turn = 0;
        await clock.sleep(random.next() * LINK_PROBE_INTERVAL_MS, signal);
        while (!signal.aborted) {
            const candidates = linkCandidates(this.topologyView, failureDomain);
            if (candidates.length > 0) {
                const target = candidates[turn % candidates.length];
                if (await this.prober.probeDirectly(target)) {
                    this.linkTargets.set(failureDomain, target.id);
                }
                else {
                    turn += 1;
                }
            }
            await clock.sleep(LINK_PROBE_INTERVAL_MS, signal);
        }
        this.linkTargets.delete(failureDomain);
    }

    /** Finds removed members that live, as after a cut within the failure domain has healed. */
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

    private makeProbe(member: Member): wire.ProbeRequest {
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
        const answered = "reached" in reply || reply.node === member.id;
        if (!answered) {
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
            await this.client.probe(member.address, this.makeProbe(member), LEAVE_TIMEOUT_MS);
        }
        catch (error) {
            if (!(error instanceof PeerError)) {
                throw error;
            }
            // The others hear of it from the rest, or find this node gone.
        }
    }
}

function canExchange(member: Member): boolean {
    return member.state === MemberState.Alive && member.protocol > 0;
}
