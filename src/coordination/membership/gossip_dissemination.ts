/**
 * Gossip dissemination: each node exchanges values with a few members at a time.
 *
 * After Demers et al., "Epidemic Algorithms for Replicated Database Maintenance" (1987): rumor mongering pushes new
 * values a limited number of times (section 1.4), and anti-entropy repairs what it missed with a digest of a few values in each
 * exchange (section 1.3).
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

/** Interval between exchanges within the failure domain, in milliseconds. */
const LOCAL_INTERVAL_MS = 1_000;

/** Number of rounds within the failure domain for each round over links. */
const LOCAL_ROUNDS_PER_REMOTE_ROUND = 2;

/** Minimum time between rounds, in milliseconds. */
const MIN_ROUND_GAP_MS = 500;

/** Number of members of the failure domain to which an urgent round sends values. */
const URGENT_FANOUT = 2;

/** Maximum size of an exchange message, in bytes. */
const MAX_EXCHANGE_BYTES = 1_400;

/** Minimum available bytes to start an exchange. */
const MIN_EXCHANGE_BYTES = 250;

/** Maximum number of values in a digest. */
const MAX_DIGEST_VALUES = 24;

/** Estimated bytes of the fingerprint and version of a value in a digest. */
const DIGEST_VALUE_BYTES = 15;

/** Timeout of an exchange, in milliseconds. */
const EXCHANGE_TIMEOUT_MS = 1_000;

/** Number of times that an urgent value is sent within the failure domain, for each doubling of its number of members. */
const URGENT_SENDS_PER_DOUBLING = 1;

/** Number of times that any other value is sent within the failure domain; digests repair what that misses. */
const DEFERRABLE_SENDS = 2;

/** Bytes that non-urgent exchanges leave in the budget for urgent values and links. */
const RESERVE_BYTES = 700;

/** Maximum number of values, or of digest entries, processed per message. */
const MAX_VALUES_PER_MESSAGE = 256;

/** Interval between removals of expired values, in milliseconds. */
const PRUNE_INTERVAL_MS = 30_000;

/** Maximum age of a value whose origin is not a member, in milliseconds. */
const MAX_ORPHAN_AGE_MS = 60_000;

/** Maximum age of a value of a removed member, in milliseconds. */
const MAX_REMOVED_AGE_MS = 600_000;

/** Settings of a {@linkcode GossipDissemination}. */
export interface GossipDisseminationSettings {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly membership: Membership;
}

/** Parameters of an exchange. */
interface ExchangePlan {
    /** Queue of the values to send. */
    readonly queue: SendQueue;
    /** Whether the exchange sends only queued values and updates, without a digest. */
    readonly urgent: boolean;
    /** Bytes to leave unused in the budget. */
    readonly reserveBytes: number;
}

/** Size limits of a request. */
interface RequestLimits {
    readonly maxBytes: number;
    /** Maximum number of values in the digest. */
    readonly maxDigestValues: number;
}

/** Request and the entries whose values it contains. */
interface PreparedRequest {
    readonly request: wire.ExchangeRequest;
    readonly entries: readonly SharedEntry[];
}

/** Disseminates values among the members, those of this failure domain first, within the membership's byte budget. */
export class GossipDissemination extends Dissemination {
    override readonly arrivals: Stream<SharedValue>;
    /** Number of exchanges that were skipped because the byte budget was low. */
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

    /** Limits of the dissemination and their current usage. */
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

    /** Runs the exchanges until the signal is aborted. */
    async run(signal: AbortSignal): Promise<void> {
        this.subscribeToMembers(signal);
        await Promise.all([this.runRounds(signal), this.runPruning(signal)]);
    }

    /** Handles an exchange request of another node. */
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
            // Replies cannot be deferred, so they are kept short when the budget is low.
            contacts: budget.available < RESERVE_BYTES ? [] : this.contactsFor(request.failureDomain),
            wanted,
            values: [] as wire.ValueRecord[],
        };
        const maxBytes = Math.min(MAX_EXCHANGE_BYTES, budget.available - RESERVE_BYTES) -
            wire.ExchangeReply.encode(reply).finish().length;
        const isLocal = request.failureDomain === membership.self.failureDomain;
        reply.values = this.selectRecords(newer, maxBytes, isLocal ? this.store.localQueue : undefined);
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
            const local = this.pickLocalPartners(urgent ? URGENT_FANOUT : 1);
            const remote = urgent || round % LOCAL_ROUNDS_PER_REMOTE_ROUND === 0 ? membership.remotePartners() : [];
            for (const partner of local) {
                void this.exchange(partner, { queue: this.store.localQueue, urgent, reserveBytes: urgent ? 0 : RESERVE_BYTES });
            }
            for (const partner of remote) {
                void this.exchange(partner, { queue: this.store.linkQueue(partner.failureDomain), urgent, reserveBytes: 0 });
            }
            await clock.sleep(MIN_ROUND_GAP_MS, signal);
        }
    }

    /** Waits for the next round; a request for an urgent round ends the wait early. */
    private async awaitRound(signal: AbortSignal): Promise<void> {
        if (this.urgentRoundRequested) {
            return;
        }
        const wait = new AbortController();
        this.roundWait = wait;
        const stop = () => wait.abort();
        signal.addEventListener("abort", stop, { once: true });
        await this.settings.clock.sleep(LOCAL_INTERVAL_MS - MIN_ROUND_GAP_MS, wait.signal);
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

    /** Exchanges values with a member, then sends the values that it requested in its reply. */
    private async exchange(partner: Member, { queue, urgent, reserveBytes }: ExchangePlan): Promise<void> {
        const { membership } = this.settings;
        const hasNothingToSend = urgent && queue.isEmpty && membership.pendingUpdates === 0;
        if (hasNothingToSend || this.busyPartners.has(partner.id)) {
            return;
        }
        const maxBytes = Math.min(MAX_EXCHANGE_BYTES, membership.budget.available - reserveBytes);
        if (maxBytes < MIN_EXCHANGE_BYTES) {
            this.deferredExchanges += 1;
            return;
        }
        this.busyPartners.add(partner.id);
        const { request, entries } = this.makeRequest(partner, queue, {
            maxBytes,
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

    /** Queues the values of a failed exchange again, unless newer ones replaced them. */
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
        { maxBytes, maxDigestValues }: RequestLimits,
    ): PreparedRequest {
        const request = this.makeEmptyRequest(partner);
        const digestBytes = maxDigestValues * DIGEST_VALUE_BYTES;
        const availableBytes = maxBytes - wire.ExchangeRequest.encode(request).finish().length;
        // Each value is sent over a link once; the values of a failed exchange are queued again.
        const maxSends = queue === this.store.localQueue ? (topic: number) => this.maxSends(topic) : undefined;
        const sent = queue.dequeue(availableBytes - Math.min(digestBytes, Math.floor(availableBytes / 2)), maxSends);
        const values = sent.map(entry => this.store.toRecord(entry));
        const remainingBytes = availableBytes -
            values.reduce((sum, value) => sum + wire.ValueRecord.encode(value).finish().length + 3, 0);
        const digestCount = Math.max(0, Math.min(maxDigestValues, Math.floor(remainingBytes / DIGEST_VALUE_BYTES)));
        const entries = this.store.nextForDigest(digestCount);
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
        const entries = wanted.map(fingerprint => this.store.get(fingerprint)).filter(entry => entry !== undefined);
        const maxBytes = Math.min(MAX_EXCHANGE_BYTES, membership.budget.available - RESERVE_BYTES);
        if (entries.length === 0 || maxBytes < MIN_EXCHANGE_BYTES) {
            return;
        }
        const request = this.makeEmptyRequest(partner);
        const values = this.selectRecords(entries, maxBytes - wire.ExchangeRequest.encode(request).finish().length);
        this.applyMessage(await membership.client.exchange(partner.address, { ...request, values }, EXCHANGE_TIMEOUT_MS));
    }

    /** Selects values for a message: first the given entries, then queued ones. */
    private selectRecords(requested: readonly SharedEntry[], maxBytes: number, queue?: SendQueue): wire.ValueRecord[] {
        const records: wire.ValueRecord[] = [];
        let remainingBytes = maxBytes;
        for (const entry of [...requested].sort((left, right) => left.topic - right.topic)) {
            if (entry.recordBytes <= remainingBytes) {
                remainingBytes -= entry.recordBytes;
                records.push(this.store.toRecord(entry));
            }
        }
        const sent = new Set(requested.map(entry => entry.fingerprint));
        const queued = queue?.dequeue(remainingBytes, topic => this.maxSends(topic)) ?? [];
        return [...records, ...queued.filter(entry => !sent.has(entry.fingerprint)).map(entry => this.store.toRecord(entry))];
    }

    private maxSends(topic: number): number {
        if (!isUrgent(topic)) {
            return DEFERRABLE_SENDS;
        }
        const members = this.settings.membership.localPartners().length + 1;
        return URGENT_SENDS_PER_DOUBLING * Math.ceil(Math.log2(members + 1)) + 1;
    }

    /** Returns the stored values that are newer than in a digest, and the fingerprints of those that are older or missing. */
    private compareDigest(digest: wire.ValueDigest | undefined): { newer: SharedEntry[]; wanted: number[] } {
        const newer: SharedEntry[] = [];
        const wanted: number[] = [];
        for (const [index, fingerprint] of (digest?.fingerprints ?? []).slice(0, MAX_VALUES_PER_MESSAGE).entries()) {
            const version = digest?.versions[index] ?? 0;
            const entry = this.store.get(fingerprint);
            if (entry === undefined || entry.version < version) {
                wanted.push(fingerprint);
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
        const isOrphaned = origin === undefined && record.ageMs > MAX_ORPHAN_AGE_MS;
        if (!isWellFormed(record) || isOrphaned || origin !== undefined && record.life < origin.life) {
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

    /** Raises this node's version above that of its own value from a clock that was ahead, and republishes its values. */
    private advanceVersionPast(record: wire.ValueRecord): void {
        if (record.version > this.lastVersion) {
            this.lastVersion = record.version;
            this.republish();
        }
    }

    private republish(): void {
        const { id } = this.settings.membership.self;
        for (const entry of [...this.store.all()].filter(stored => stored.origin === id)) {
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
            for (const entry of [...this.store.all()].filter(stored => this.isExpired(stored))) {
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

    private toSharedValue({ topic, origin, key, data, publishedAtMs }: SharedEntry): SharedValue {
        return { topic, origin, key, data, ageMs: Math.max(0, this.settings.clock.now() - publishedAtMs) };
    }
}
