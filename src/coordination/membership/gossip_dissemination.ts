/**
 * Dissemination over exchanges with a few members at a time.
 *
 * After Demers et al., "Epidemic Algorithms for Replicated Database Maintenance" (1987): new values are pushed a limited number of
 * times (section 1.4), and a digest of a few values in each exchange repairs what that missed (section 1.3).
 *
 * @module
 */

import { createAdapter } from "@most/adapter";
import { runEffects, takeWhile, tap } from "@most/core";
import { newDefaultScheduler } from "@most/scheduler";
import type { Stream } from "@most/types";
import { Dissemination, PeerError, type SharedValue, type Topic, wire } from "../../protocol/mod.js";
import type { Clock, RandomSource } from "../../state/mod.js";
import type { SendQueue } from "./_send_queue.js";
import {
    isUrgent,
    isWellFormed,
    MAX_SHARED_VALUE_BYTES,
    MAX_SHARED_VALUES,
    type SharedEntry,
    ValueStore,
} from "./_value_store.js";
import { isRemoved, type Member, PEER_PROTOCOL_VERSION } from "./member.js";
import type { Membership, MembershipLimit } from "./membership.js";

/** Time between two exchanges within the failure domain, in milliseconds. */
const LOCAL_INTERVAL_MS = 1_000;

/** Exchanges within the failure domain for each round of exchanges over links. */
const LOCAL_ROUNDS_PER_REMOTE_ROUND = 2;

/** Shortest time between two rounds, in milliseconds. */
const MIN_ROUND_GAP_MS = 500;

/** Members of the failure domain that hear of urgent values in one round. */
const URGENT_FANOUT = 2;

/** Longest message of an exchange, in bytes. */
const MAX_EXCHANGE_BYTES = 1_400;

/** Bytes below which no exchange is begun. */
const MIN_EXCHANGE_BYTES = 250;

/** Values named in a digest. */
const MAX_DIGEST_VALUES = 24;

/** Bytes of a value's name and version in a digest. */
const DIGEST_VALUE_BYTES = 15;

/** Time that an exchange may take, in milliseconds. */
const EXCHANGE_TIMEOUT_MS = 1_000;

/** Times that an urgent value is sent within the failure domain, for each doubling of its number of members. */
const URGENT_SENDS_PER_DOUBLING = 1;

/** Times that any other value is sent within the failure domain; digests repair what that misses. */
const DEFERRABLE_SENDS = 2;

/** Bytes that exchanges without haste leave in the budget for urgent values and links. */
const RESERVE_BYTES = 700;

/** Values of one message that are looked at. */
const MAX_VALUES_PER_MESSAGE = 256;

/** Time between two looks for values to drop, in milliseconds. */
const PRUNE_INTERVAL_MS = 30_000;

/** Age from which a value of an origin that is no member is dropped, in milliseconds. */
const MAX_ORPHAN_AGE_MS = 60_000;

/** Age from which a value of a removed member is dropped, in milliseconds. */
const MAX_REMOVED_AGE_MS = 600_000;

/** Settings of a {@linkcode GossipDissemination}. */
export interface GossipDisseminationSettings {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly membership: Membership;
}

/** What an exchange is for. */
interface ExchangePlan {
    /** Values to send. */
    readonly queue: SendQueue;
    /** Whether the exchange only carries what waits, without a digest. */
    readonly urgent: boolean;
    /** Bytes to leave in the budget. */
    readonly reserveBytes: number;
}

/** Room in a request. */
interface RequestLimits {
    readonly maxBytes: number;
    /** Values to name in the digest. */
    readonly maxDigestValues: number;
}

/** Request with the values in it. */
interface PreparedRequest {
    readonly request: wire.ExchangeRequest;
    readonly entries: readonly SharedEntry[];
}

/** Shares values with the members, near ones first, within the membership's byte budget. */
export class GossipDissemination extends Dissemination {
    override readonly arrivals: Stream<SharedValue>;
    /** Exchanges that were put off because bytes were short. */
    deferredExchanges = 0;
    private readonly emitArrival: (value: SharedValue) => void;
    private readonly store: ValueStore;
    private readonly busyPartners = new Set<string>();
    private lastVersion = 0;
    private urgentRoundRequested = false;
    private roundWait: AbortController | undefined;

    /** @param settings See {@linkcode GossipDisseminationSettings}. */
    constructor(private readonly settings: GossipDisseminationSettings) {
        super();
        [this.emitArrival, this.arrivals] = createAdapter<SharedValue>();
        this.store = new ValueStore(settings.clock);
    }

    /** Limits of the dissemination, each with its use. */
    get limits(): readonly MembershipLimit[] {
        return [{ name: "MAX_SHARED_VALUES", limit: MAX_SHARED_VALUES, read: () => this.store.size }];
    }

    override publish(topic: Topic, key: string, data: Uint8Array): void {
        if (data.length > MAX_SHARED_VALUE_BYTES) {
            const bytes = `it has ${data.length} bytes, at most ${MAX_SHARED_VALUE_BYTES} are allowed`;
            throw new RangeError(`Cannot publish value "${key}" of topic ${topic}: ${bytes}`);
        }
        this.publishOwn(topic, key, data, 0);
    }

    override read(topic: Topic): readonly SharedValue[] {
        const values: SharedValue[] = [];
        for (const entry of this.store.all()) {
            if (entry.topic === topic && this.isFromOtherNode(entry) && this.isCurrent(entry)) {
                values.push(this.toSharedValue(entry));
            }
        }
        return values;
    }

    /** Exchanges values until the signal is aborted. */
    async run(signal: AbortSignal): Promise<void> {
        this.subscribeToMembers(signal);
        await Promise.all([this.runRounds(signal), this.runPruning(signal)]);
    }

    /** Answers an exchange that another node began. */
    answerExchange(request: wire.ExchangeRequest): wire.ExchangeReply {
        const { membership } = this.settings;
        const { budget } = membership;
        budget.countReceived(wire.ExchangeRequest.encode(request).finish().length);
        this.applyMessage(request);
        const { newer, wanted } = this.compareDigest(request.digest);
        const reply = {
            node: membership.self.id,
            protocol: PEER_PROTOCOL_VERSION,
            failureDomain: membership.self.failureDomain,
            members: membership.takeUpdatesFor(request.node),
            // Replies cannot be put off, so they are short when bytes are.
            contacts: budget.available < RESERVE_BYTES ? [] : this.contactsFor(request.failureDomain),
            wanted,
            values: [] as wire.ValueRecord[],
        };
        const room = Math.min(MAX_EXCHANGE_BYTES, budget.available - RESERVE_BYTES) -
            wire.ExchangeReply.encode(reply).finish().length;
        const near = request.failureDomain === membership.self.failureDomain;
        reply.values = this.selectRecords(newer, room, near ? this.store.localQueue : undefined);
        budget.charge(wire.ExchangeReply.encode(reply).finish().length);
        return reply;
    }

    private subscribeToMembers(signal: AbortSignal): void {
        const { membership } = this.settings;
        const onChange = (member: Member) => {
            if (member.id === membership.self.id) {
                this.republish();
            }
            this.requestUrgentRound();
        };
        void runEffects(tap(onChange, takeWhile(() => !signal.aborted, membership.changes)), newDefaultScheduler());
    }

    private async runRounds(signal: AbortSignal): Promise<void> {
        const { clock, random, membership } = this.settings;
        let round = random.nextInt(LOCAL_ROUNDS_PER_REMOTE_ROUND);
        while (!signal.aborted) {
            await this.awaitRound(signal);
            const { urgentRoundRequested: urgent } = this;
            this.urgentRoundRequested = false;
            this.store.retainLinkQueues(membership.heldLinks());
            round += 1;
            const near = this.pickLocalPartners(urgent ? URGENT_FANOUT : 1);
            const far = urgent || round % LOCAL_ROUNDS_PER_REMOTE_ROUND === 0 ? membership.remotePartners() : [];
            for (const partner of near) {
                void this.exchange(partner, { queue: this.store.localQueue, urgent, reserveBytes: urgent ? 0 : RESERVE_BYTES });
            }
            for (const partner of far) {
                void this.exchange(partner, { queue: this.store.linkQueue(partner.failureDomain), urgent, reserveBytes: 0 });
            }
            await clock.sleep(MIN_ROUND_GAP_MS, signal);
        }
    }

    /** Waits for the next round, which urgent news bring forward. */
    private async awaitRound(signal: AbortSignal): Promise<void> {
        if (this.urgentRoundRequested) {
            return;
        }
        const wake = new AbortController();
        this.roundWait = wake;
        const stop = () => wake.abort();
        signal.addEventListener("abort", stop, { once: true });
        await this.settings.clock.sleep(LOCAL_INTERVAL_MS - MIN_ROUND_GAP_MS, wake.signal);
        signal.removeEventListener("abort", stop);
        this.roundWait = undefined;
    }

    private requestUrgentRound(): void {
        this.urgentRoundRequested = true;
        this.roundWait?.abort();
    }

    private pickLocalPartners(count: number): readonly Member[] {
        const partners = [...this.settings.membership.localPartners()];
        const picked: Member[] = [];
        while (picked.length < count && partners.length > 0) {
            picked.push(...partners.splice(this.settings.random.nextInt(partners.length), 1));
        }
        return picked;
    }

    /** One exchange with one member, and a second message with the values it asks for. */
    private async exchange(partner: Member, { queue, urgent, reserveBytes }: ExchangePlan): Promise<void> {
        const { membership } = this.settings;
        const idle = urgent && queue.isEmpty && membership.pendingUpdates === 0;
        if (idle || this.busyPartners.has(partner.id)) {
            return;
        }
        const room = Math.min(MAX_EXCHANGE_BYTES, membership.budget.available - reserveBytes);
        if (room < MIN_EXCHANGE_BYTES) {
            this.deferredExchanges += 1;
            return;
        }
        this.busyPartners.add(partner.id);
        const { request, entries } = this.makeRequest(partner, queue, {
            maxBytes: room,
            maxDigestValues: urgent ? 0 : MAX_DIGEST_VALUES,
        });
        try {
            const reply = await membership.client.exchange(partner.address, request, EXCHANGE_TIMEOUT_MS);
            this.applyMessage(reply);
            await this.sendWanted(partner, reply.wanted);
        }
        catch (error) {
            if (!(error instanceof PeerError)) {
                throw error;
            }
            this.requeue(entries, queue);
        }
        finally {
            this.busyPartners.delete(partner.id);
        }
    }

    /** Queues values again whose message was lost, unless newer ones have come. */
    private requeue(entries: readonly SharedEntry[], queue: SendQueue): void {
        for (const entry of entries) {
            if (this.store.get(entry.fingerprint) === entry) {
                queue.add(entry);
            }
        }
    }

    private makeRequest(
        partner: Member,
        queue: SendQueue,
        { maxBytes, maxDigestValues: digestSize }: RequestLimits,
    ): PreparedRequest {
        const request = this.makeEmptyRequest(partner);
        const digestBytes = digestSize * DIGEST_VALUE_BYTES;
        const room = maxBytes - wire.ExchangeRequest.encode(request).finish().length;
        // A link is sent each value once; one whose message was lost is queued again.
        const maxSends = queue === this.store.localQueue ? (topic: number) => this.maxSends(topic) : undefined;
        const sent = queue.dequeue(room - Math.min(digestBytes, Math.floor(room / 2)), maxSends);
        const values = sent.map(entry => this.store.toRecord(entry));
        const left = room - values.reduce((sum, value) => sum + wire.ValueRecord.encode(value).finish().length + 3, 0);
        const named = Math.max(0, Math.min(digestSize, Math.floor(left / DIGEST_VALUE_BYTES)));
        const entries = this.store.nextForDigest(named);
        const digest = { fingerprints: entries.map(entry => entry.fingerprint), versions: entries.map(entry => entry.version) };
        return { request: { ...request, values, digest }, entries: sent };
    }

    private makeEmptyRequest(partner: Member): wire.ExchangeRequest {
        const { membership } = this.settings;
        return {
            node: membership.self.id,
            protocol: PEER_PROTOCOL_VERSION,
            failureDomain: membership.self.failureDomain,
            members: membership.takeUpdatesFor(partner.id),
            contacts: this.contactsFor(partner.failureDomain),
            values: [],
            digest: undefined,
        };
    }

    private async sendWanted(partner: Member, wanted: readonly number[]): Promise<void> {
        const { membership } = this.settings;
        const entries = wanted.map(name => this.store.get(name)).filter(entry => entry !== undefined);
        const maxBytes = Math.min(MAX_EXCHANGE_BYTES, membership.budget.available - RESERVE_BYTES);
        if (entries.length === 0 || maxBytes < MIN_EXCHANGE_BYTES) {
            return;
        }
        const request = this.makeEmptyRequest(partner);
        const values = this.selectRecords(entries, maxBytes - wire.ExchangeRequest.encode(request).finish().length);
        this.applyMessage(await membership.client.exchange(partner.address, { ...request, values }, EXCHANGE_TIMEOUT_MS));
    }

    /** Chooses values for a message: first those asked for, then those of a queue. */
    private selectRecords(first: readonly SharedEntry[], maxBytes: number, queue?: SendQueue): wire.ValueRecord[] {
        const records: wire.ValueRecord[] = [];
        let room = maxBytes;
        for (const entry of [...first].sort((left, right) => left.topic - right.topic)) {
            if (entry.recordBytes <= room) {
                room -= entry.recordBytes;
                records.push(this.store.toRecord(entry));
            }
        }
        const sent = new Set(first.map(entry => entry.fingerprint));
        const queued = queue?.dequeue(room, topic => this.maxSends(topic)) ?? [];
        return [...records, ...queued.filter(entry => !sent.has(entry.fingerprint)).map(entry => this.store.toRecord(entry))];
    }

    private maxSends(topic: number): number {
        if (!isUrgent(topic)) {
            return DEFERRABLE_SENDS;
        }
        const members = this.settings.membership.localPartners().length + 1;
        return URGENT_SENDS_PER_DOUBLING * Math.ceil(Math.log2(members + 1)) + 1;
    }

    private compareDigest(digest: wire.ValueDigest | undefined): { newer: SharedEntry[]; wanted: number[] } {
        const newer: SharedEntry[] = [];
        const wanted: number[] = [];
        for (const [index, name] of (digest?.fingerprints ?? []).slice(0, MAX_VALUES_PER_MESSAGE).entries()) {
            const version = digest?.versions[index] ?? 0;
            const entry = this.store.get(name);
            if (entry === undefined || entry.version < version) {
                wanted.push(name);
            }
            else if (entry.version > version) {
                newer.push(entry);
            }
        }
        return { newer, wanted };
    }

    private applyMessage(message: wire.ExchangeRequest | wire.ExchangeReply): void {
        const { membership } = this.settings;
        membership.applyUpdates(message.members);
        if (message.failureDomain === membership.self.failureDomain) {
            membership.contacts.merge(message.contacts);
        }
        for (const record of message.values.slice(0, MAX_VALUES_PER_MESSAGE)) {
            this.applyRecord(record);
        }
    }

    private applyRecord(record: wire.ValueRecord): void {
        const { membership } = this.settings;
        const origin = membership.get(record.origin);
        const orphaned = origin === undefined && record.ageMs > MAX_ORPHAN_AGE_MS;
        if (!isWellFormed(record) || orphaned || origin !== undefined && record.life < origin.life) {
            return;
        }
        if (record.origin === membership.self.id) {
            this.advanceVersionPast(record);
            return;
        }
        const entry = this.store.storeIfNewer(record, origin?.failureDomain === membership.self.failureDomain);
        if (entry === undefined) {
            this.store.recordDuplicate(record, this.maxSends(record.topic));
            return;
        }
        if (isUrgent(entry.topic)) {
            this.requestUrgentRound();
        }
        this.emitArrival(this.toSharedValue(entry));
    }

    /** A value of this node itself that is newer than its own order came from a clock that was ahead. */
    private advanceVersionPast(record: wire.ValueRecord): void {
        if (record.version > this.lastVersion) {
            this.lastVersion = record.version;
            this.republish();
        }
    }

    private republish(): void {
        const { id } = this.settings.membership.self;
        for (const entry of [...this.store.all()].filter(each => each.origin === id)) {
            this.publishOwn(entry.topic, entry.key, entry.data, this.settings.clock.now() - entry.publishedAtMs);
        }
    }

    private publishOwn(topic: number, key: string, data: Uint8Array, ageMs: number): void {
        const { id, life } = this.settings.membership.self;
        this.lastVersion = Math.max(this.lastVersion + 1, Math.floor(this.settings.clock.now()));
        this.store.storeIfNewer({ topic, key, data, ageMs, origin: id, life, version: this.lastVersion }, true);
        if (isUrgent(topic)) {
            this.requestUrgentRound();
        }
    }

    private contactsFor(failureDomain: string): wire.DomainContact[] {
        const { membership } = this.settings;
        return failureDomain === membership.self.failureDomain ? membership.contacts.toRecords() : [];
    }

    private async runPruning(signal: AbortSignal): Promise<void> {
        while (await this.settings.clock.sleep(PRUNE_INTERVAL_MS, signal)) {
            for (const entry of [...this.store.all()].filter(each => this.isExpired(each))) {
                this.store.remove(entry);
            }
        }
    }

    private isExpired(entry: SharedEntry): boolean {
        const origin = this.settings.membership.get(entry.origin);
        const ageMs = this.settings.clock.now() - entry.publishedAtMs;
        if (origin === undefined) {
            return ageMs > MAX_ORPHAN_AGE_MS;
        }
        return entry.life < origin.life || isRemoved(origin) && ageMs > MAX_REMOVED_AGE_MS;
    }

    private isFromOtherNode(entry: SharedEntry): boolean {
        return entry.origin !== this.settings.membership.self.id;
    }

    private isCurrent(entry: SharedEntry): boolean {
        const origin = this.settings.membership.get(entry.origin);
        return origin === undefined || !isRemoved(origin) && entry.life >= origin.life;
    }

    private toSharedValue({ topic, origin, key, data, publishedAtMs: bornAtMs }: SharedEntry): SharedValue {
        return { topic, origin, key, data, ageMs: Math.max(0, this.settings.clock.now() - bornAtMs) };
    }
}
