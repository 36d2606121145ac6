/**
 * Members that a node knows, and the rules by which news change them.
 *
 * @module
 */

import { createAdapter } from "@most/adapter";
import type { Stream } from "@most/types";
import type { wire } from "../../protocol/mod.js";
import { type Clock, type Vm, VmRole } from "../../state/mod.js";
import { type DomainContacts } from "./_domain_contacts.js";
import { Suspicions } from "./_suspicions.js";
import { UpdateQueue } from "./_update_queue.js";
import { fromMemberRecord, isQuery, isRemoved, type Member, MemberState, overrides, toMemberRecord } from "./member.js";

/** Members that a node keeps; further ones are not taken in. */
export const MAX_MEMBERS = 1_024;

/** Time for which a removed member that the VM list does not show is kept, so that old news do not revive it, in milliseconds. */
const TOMBSTONE_RETENTION_MS = 600_000;

/** Settings of a {@linkcode MemberTable}. */
export interface MemberTableSettings {
    readonly clock: Clock;
    readonly contacts: DomainContacts;
    /** This node, as it is at its start. */
    readonly self: Member;
}

/** Members by id, this node included. */
export class MemberTable {
    /** Members whose state, life or address has changed, as they are now. */
    readonly changes: Stream<Member>;
    readonly updates = new UpdateQueue();
    readonly suspicions = new Suspicions();
    /** Number of times that this node refuted an accusation. */
    refutations = 0;
    private readonly emitChange: (member: Member) => void;
    private readonly members = new Map<string, Member>();
    private readonly removedAtMs = new Map<string, number>();
    private listedIds: ReadonlySet<string> = new Set();
    private own: Member;
    private antiEntropyIndex = 0;

    /** @param settings See {@linkcode MemberTableSettings}. */
    constructor(private readonly settings: MemberTableSettings) {
        [this.emitChange, this.changes] = createAdapter<Member>();
        this.own = settings.self;
        this.members.set(this.own.id, this.own);
        this.updates.add(toMemberRecord(this.own));
    }

    /** This node. */
    get self(): Member {
        return this.own;
    }

    /** Number of members kept, removed ones included. */
    get size(): number {
        return this.members.size;
    }

    /** Members but this node, as they are known from news alone. */
    get others(): readonly Member[] {
        return [...this.members.values()].filter(member => member.id !== this.own.id);
    }

    /** Returns a member as it is known from news alone. */
    get(id: string): Member | undefined {
        return this.members.get(id);
    }

    /** Returns all members; those of a failure domain out of reach are shown so. */
    list(): readonly Member[] {
        return [...this.members.values()].map(member => this.withReachability(member));
    }

    /**
     * Takes a VM list: adds what is new, and gives up members that neither the list nor their failure domain vouches for.
     *
     * @param vms VM list.
     * @param cutOff Whether this node gets no answer from anyone, so that it cannot judge its suspects itself.
     */
    applyVmList(vms: readonly Vm[], cutOff: boolean): void {
        const entryVms = vms.filter(vm => vm.role === VmRole.Entry);
        this.listedIds = new Set(entryVms.map(vm => vm.id));
        for (const { id, address, failureDomain } of entryVms) {
            if (!this.members.has(id) && this.findByAddress(address) === undefined) {
                this.put({ id, address, failureDomain, state: MemberState.Listed, life: 0, incarnation: 0, protocol: 0 });
            }
        }
        for (const member of this.others) {
            if (!this.listedIds.has(member.id)) {
                this.removeUnlisted(member, cutOff);
            }
        }
    }

    /** Takes news from a message. */
    applyRecords(records: readonly wire.MemberRecord[]): void {
        for (const record of records) {
            const member = fromMemberRecord(record);
            if (member !== undefined) {
                this.applyUpdate(member, record.accuser);
            }
            else if (isQuery(record)) {
                this.answerQuery(record.id);
            }
        }
    }

    /** Returns records that ask for members of which nothing was heard yet. */
    makeQueries(maxRecords: number): wire.MemberRecord[] {
        return this.others.filter(member => member.state === MemberState.Listed).slice(0, maxRecords).map(member =>
            toMemberRecord(member)
        );
    }

    /** Returns the next member of a round through all of them, which repairs news that were lost. */
    nextForAntiEntropy(): wire.MemberRecord[] {
        this.antiEntropyIndex = (this.antiEntropyIndex + 1) % this.members.size;
        const member = [...this.members.values()][this.antiEntropyIndex];
        return member.life > 0 ? [toMemberRecord(member)] : [];
    }

    /** Takes an answer of a node whose protocol is older than records of members. */
    recordLegacyReply(id: string): void {
        const member = this.members.get(id);
        if (member !== undefined && member.life === 0 && member.state !== MemberState.Alive) {
            this.suspicions.clear(id);
            const alive = { ...member, state: MemberState.Alive };
            this.put(alive);
            this.updates.add(toMemberRecord(alive));
        }
    }

    /** Suspects a member that this node could not reach. */
    suspect(id: string): void {
        const member = this.members.get(id);
        if (member !== undefined && !isRemoved(member)) {
            this.applySuspicion(member, this.own.id);
        }
    }

    /** Removes the suspects whose time to refute has run out. */
    removeExpiredSuspects(): void {
        for (const id of this.suspicions.listExpired(this.settings.clock.now())) {
            this.declareDead(id);
        }
    }

    /** Marks this node as left. */
    leave(): void {
        this.setSelf({ ...this.own, incarnation: this.own.incarnation + 1, state: MemberState.Left });
    }

    private answerQuery(id: string): void {
        const known = this.members.get(id);
        if (known !== undefined && known.state !== MemberState.Listed && known.life > 0) {
            this.updates.add(toMemberRecord(known));
        }
    }

    private withReachability(member: Member): Member {
        const foreign = member.failureDomain !== this.own.failureDomain;
        if (!foreign || isRemoved(member) || this.settings.contacts.isReachable(member.failureDomain)) {
            return member;
        }
        return { ...member, state: MemberState.Unreachable };
    }

    private applyUpdate(news: Member, accuser: string): void {
        if (news.id === this.own.id) {
            this.refute(news);
            return;
        }
        const known = this.members.get(news.id);
        if (news.state === MemberState.Suspect && known?.state === MemberState.Suspect && isSameIncarnation(news, known)) {
            this.applySuspicion(known, accuser);
            return;
        }
        if (known !== undefined && !overrides(news, known) || this.isAddressReassigned(news)) {
            return;
        }
        this.suspicions.clear(news.id);
        if (news.state === MemberState.Suspect) {
            this.applySuspicion(news, accuser);
            return;
        }
        this.put(news);
        this.updates.add(toMemberRecord(news));
        this.removePreviousHolder(news);
    }

    private applySuspicion(member: Member, accuser: string): void {
        const suspect = { ...member, state: MemberState.Suspect };
        if (!this.suspicions.addAccuser(member.id, accuser, this.settings.clock.now())) {
            return;
        }
        this.put(suspect);
        this.queueUpdate(suspect, accuser);
    }

    private declareDead(id: string): void {
        this.suspicions.clear(id);
        const member = this.members.get(id);
        if (member !== undefined && !isRemoved(member)) {
            const dead = { ...member, state: MemberState.Dead };
            this.put(dead);
            this.queueUpdate(dead);
        }
    }

    /** A member of which nothing was heard has no life to speak of, and others hold their own list against it. */
    private queueUpdate(member: Member, accuser?: string): void {
        if (member.life > 0) {
            this.updates.add(toMemberRecord(member, accuser));
        }
    }

    /** Answers news of this node itself: a higher incarnation overrides an accusation, a higher life an earlier process. */
    private refute(news: Member): void {
        const { own } = this;
        if (own.state === MemberState.Left) {
            return;
        }
        if (news.life > own.life) {
            this.setSelf({ ...own, life: news.life + 1, incarnation: 0 });
            return;
        }
        if (news.life === own.life && overrides(news, own)) {
            this.refutations += 1;
            this.setSelf({ ...own, incarnation: news.incarnation + 1 });
        }
    }

    private setSelf(self: Member): void {
        this.own = self;
        this.put(self);
        this.updates.add(toMemberRecord(self));
    }

    private put(member: Member): void {
        const known = this.members.get(member.id);
        if (known === undefined && this.members.size >= MAX_MEMBERS) {
            return;
        }
        this.members.set(member.id, member);
        if (!isRemoved(member)) {
            this.removedAtMs.delete(member.id);
        }
        else if (!this.removedAtMs.has(member.id)) {
            this.removedAtMs.set(member.id, this.settings.clock.now());
        }
        if (
            known === undefined || known.state !== member.state || known.life !== member.life || known.address !== member.address
        ) {
            this.emitChange(member);
        }
    }

    /** An address belongs to the member that started last. */
    private isAddressReassigned(news: Member): boolean {
        const holder = this.findByAddress(news.address);
        return holder !== undefined && holder.id !== news.id && holder.life > news.life && !isRemoved(news);
    }

    private removePreviousHolder(member: Member): void {
        if (isRemoved(member)) {
            return;
        }
        for (const other of this.members.values()) {
            if (other.address === member.address && other.id !== member.id && other.life < member.life) {
                this.declareDead(other.id);
            }
        }
    }

    private findByAddress(address: string): Member | undefined {
        return [...this.members.values()].find(member => member.address === address && !isRemoved(member));
    }

    private removeUnlisted(member: Member, cutOff: boolean): void {
        const removedAtMs = this.removedAtMs.get(member.id);
        if (removedAtMs !== undefined) {
            if (this.settings.clock.now() - removedAtMs >= TOMBSTONE_RETENTION_MS) {
                this.members.delete(member.id);
                this.removedAtMs.delete(member.id);
            }
            return;
        }
        const unheard = member.state === MemberState.Listed;
        const unjudged = cutOff && member.state === MemberState.Suspect;
        if (unheard || unjudged || this.withReachability(member).state === MemberState.Unreachable) {
            this.declareDead(member.id);
        }
    }
}

function isSameIncarnation(left: Member, right: Member): boolean {
    return left.life === right.life && left.incarnation === right.incarnation;
}
