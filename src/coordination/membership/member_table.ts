/**
 * Table of the known members, and the rules by which updates change it.
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

/** Maximum number of members; further ones are ignored. */
export const MAX_MEMBERS = 1_024;

/** Time for which a removed member that is not on the VM list is kept, so that old updates do not revive it, in milliseconds. */
const TOMBSTONE_RETENTION_MS = 600_000;

/** Settings of a {@linkcode MemberTable}. */
export interface MemberTableSettings {
    readonly clock: Clock;
    readonly contacts: DomainContacts;
    /** Initial record of this node. */
    readonly self: Member;
}

/** Members by id, including this node. */
export class MemberTable {
    /** Emits the current record of each member whose state, start time or address changed. */
    readonly changes: Stream<Member>;
    readonly updates = new UpdateQueue();
    readonly suspicions = new Suspicions();
    /** Number of suspicions that this node refuted. */
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

    /** Current record of this node. */
    get self(): Member {
        return this.own;
    }

    /** Number of members, including removed ones. */
    get size(): number {
        return this.members.size;
    }

    /** Members except this node, without regard to the reachability of their failure domains. */
    get others(): readonly Member[] {
        return [...this.members.values()].filter(member => member.id !== this.own.id);
    }

    /** Returns a member, without regard to the reachability of its failure domain. */
    get(id: string): Member | undefined {
        return this.members.get(id);
    }

    /** Returns all members; those of an unreachable failure domain have the state `Unreachable`. */
    list(): readonly Member[] {
        return [...this.members.values()].map(member => this.withReachability(member));
    }

    /**
     * Applies a VM list: adds new members, and removes unlisted ones that neither updates nor their failure domain confirm.
     *
     * @param vms Current VM list.
     * @param isIsolated Whether this node receives no replies at all, so that it cannot resolve its suspicions itself.
     */
    applyVmList(vms: readonly Vm[], isIsolated: boolean): void {
        const entryVms = vms.filter(vm => vm.role === VmRole.Entry);
        this.listedIds = new Set(entryVms.map(vm => vm.id));
        for (const { id, address, failureDomain } of entryVms) {
            if (!this.members.has(id) && this.findByAddress(address) === undefined) {
                this.put({ id, address, failureDomain, state: MemberState.Listed, life: 0, incarnation: 0, protocol: 0 });
            }
        }
        for (const member of this.others) {
            if (!this.listedIds.has(member.id)) {
                this.removeUnlisted(member, isIsolated);
            }
        }
    }

    /** Applies the member records of a message. */
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

    /** Creates query records for members of which no update was received yet. */
    makeQueries(maxRecords: number): wire.MemberRecord[] {
        return this.others.filter(member => member.state === MemberState.Listed).slice(0, maxRecords).map(member =>
            toMemberRecord(member)
        );
    }

    /** Returns the next member in round-robin order, to repair lost updates. */
    nextForAntiEntropy(): wire.MemberRecord[] {
        this.antiEntropyIndex = (this.antiEntropyIndex + 1) % this.members.size;
        const member = [...this.members.values()][this.antiEntropyIndex];
        return member.life > 0 ? [toMemberRecord(member)] : [];
    }

    /** Marks a member as alive that replied with a protocol version from before member records. */
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

    /** Declares the suspects dead whose suspicion timeout has expired. */
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

    /** Returns a member with the state `Unreachable` if its failure domain is unreachable. */
    private withReachability(member: Member): Member {
        const isRemote = member.failureDomain !== this.own.failureDomain;
        if (!isRemote || isRemoved(member) || this.settings.contacts.isReachable(member.failureDomain)) {
            return member;
        }
        return { ...member, state: MemberState.Unreachable };
    }

    private applyUpdate(update: Member, accuser: string): void {
        if (update.id === this.own.id) {
            this.refute(update);
            return;
        }
        const known = this.members.get(update.id);
        if (update.state === MemberState.Suspect && known?.state === MemberState.Suspect && isSameIncarnation(update, known)) {
            this.applySuspicion(known, accuser);
            return;
        }
        if (known !== undefined && !overrides(update, known) || this.isAddressReassigned(update)) {
            return;
        }
        this.suspicions.clear(update.id);
        if (update.state === MemberState.Suspect) {
            this.applySuspicion(update, accuser);
            return;
        }
        this.put(update);
        this.updates.add(toMemberRecord(update));
        this.removePreviousHolder(update);
    }

    /** Adds an accuser to the suspicion of a member; if it was added, marks the member as suspect and queues the update. */
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

    /**
     * Queues an update, except for members without a start time: receivers discard suspicions and deaths of these and rely on
     * their own VM lists.
     */
    private queueUpdate(member: Member, accuser?: string): void {
        if (member.life > 0) {
            this.updates.add(toMemberRecord(member, accuser));
        }
    }

    /**
     * Refutes an update about this node: a higher incarnation overrides a suspicion, a later start time the record of an earlier
     * process.
     */
    private refute(update: Member): void {
        const { own } = this;
        if (own.state === MemberState.Left) {
            return;
        }
        if (update.life > own.life) {
            this.setSelf({ ...own, life: update.life + 1, incarnation: 0 });
            return;
        }
        if (update.life === own.life && overrides(update, own)) {
            this.refutations += 1;
            this.setSelf({ ...own, incarnation: update.incarnation + 1 });
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

    /** Returns whether the address of an update belongs to a member that started later. */
    private isAddressReassigned(update: Member): boolean {
        const holder = this.findByAddress(update.address);
        return holder !== undefined && holder.id !== update.id && holder.life > update.life && !isRemoved(update);
    }

    /** Declares members dead that started earlier at the same address. */
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

    /**
     * Removes an unlisted member: declares it dead if no update confirmed it, if its failure domain is unreachable or if this
     * node is too isolated to resolve its suspicion. Deletes the record of a removed member after the retention time.
     */
    private removeUnlisted(member: Member, isIsolated: boolean): void {
        const removedAtMs = this.removedAtMs.get(member.id);
        if (removedAtMs !== undefined) {
            if (this.settings.clock.now() - removedAtMs >= TOMBSTONE_RETENTION_MS) {
                this.members.delete(member.id);
                this.removedAtMs.delete(member.id);
            }
            return;
        }
        const isUnconfirmed = member.state === MemberState.Listed;
        const isUnresolvable = isIsolated && member.state === MemberState.Suspect;
        if (isUnconfirmed || isUnresolvable || this.withReachability(member).state === MemberState.Unreachable) {
            this.declareDead(member.id);
        }
    }
}

function isSameIncarnation(left: Member, right: Member): boolean {
    return left.life === right.life && left.incarnation === right.incarnation;
}
