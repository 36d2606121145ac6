/**
 * Direct and indirect probes of members.
 *
 * @module
 */

import { type PeerClient, PeerError, type wire } from "../../protocol/mod.js";
import type { Clock, RandomSource } from "../../state/mod.js";
import type { LocalHealth } from "./_local_health.js";
import { isRemoved, type Member, MemberState } from "./member.js";

/** Timeout of a direct probe, in milliseconds. */
const PROBE_TIMEOUT_MS = 400;

/** Timeout of an indirect probe through a relay, in milliseconds. */
const RELAY_TIMEOUT_MS = 700;

/** Time by which a probe may exceed its timeouts before this node considers itself slow, in milliseconds. */
const OVERRUN_TOLERANCE_MS = 200;

/** Number of relays in this failure domain for an indirect probe. */
const LOCAL_RELAYS = 2;

/** Number of relays in other failure domains for an indirect probe. */
const REMOTE_RELAYS = 1;

/** Result of a probe. */
export enum ProbeResult {
    /** The member answered this node or a relay. */
    Reached = "reached",
    /** Neither this node nor its relays reached the member. */
    Failed = "failed",
    /** This node was too slow for the probe to be conclusive. */
    Inconclusive = "void",
}

/** Settings of a {@linkcode Prober}. */
export interface ProberSettings {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly client: PeerClient;
    readonly health: LocalHealth;
    /** Returns the current record of this node. */
    readonly self: () => Member;
    /** Lists all members except this node. */
    readonly others: () => readonly Member[];
    /** Creates the probe request for a member. */
    readonly makeRequest: (member: Member) => wire.ProbeRequest;
    /** Called with the reply of a member, or of a relay that reached it. */
    readonly onReply: (member: Member, reply: wire.ProbeReply | wire.RelayReply) => void;
    /** Called when a relay replied, whether or not it reached the member. */
    readonly onRelayReply: () => void;
}

/** Probes members as in SWIM: first directly, then through relays. */
export class Prober {
    /** @param settings See {@linkcode ProberSettings}. */
    constructor(private readonly settings: ProberSettings) {}

    /** Probes a member directly and, if that fails, through relays. */
    async probe(member: Member): Promise<ProbeResult> {
        const { clock, health } = this.settings;
        const startedAtMs = clock.now();
        const multiplier = health.timeoutMultiplier;
        if (await this.probeDirectly(member)) {
            health.improve();
            return ProbeResult.Reached;
        }
        if (await this.probeIndirectly(member)) {
            return ProbeResult.Reached;
        }
        const allowedMs = (PROBE_TIMEOUT_MS + RELAY_TIMEOUT_MS) * multiplier + OVERRUN_TOLERANCE_MS;
        if (clock.now() - startedAtMs > allowedMs) {
            health.worsen();
            return ProbeResult.Inconclusive;
        }
        return ProbeResult.Failed;
    }

    /** Probes a member directly; returns whether it answered. */
    async probeDirectly(member: Member): Promise<boolean> {
        const { client, health, makeRequest, onReply } = this.settings;
        try {
            const reply = await client.probe(member.address, makeRequest(member), PROBE_TIMEOUT_MS * health.timeoutMultiplier);
            onReply(member, reply);
            // Another member may have taken over the address.
            return reply.node === member.id;
        }
        catch (error) {
            rethrowUnlessPeerError(error);
            return false;
        }
    }

    private async probeIndirectly(member: Member): Promise<boolean> {
        const relays = this.pickRelays(member);
        const replies = await Promise.all(relays.map(relay => this.requestRelay(relay, member)));
        if (relays.length > 0 && replies.every(reply => reply === undefined)) {
            // A healthy relay also replies when it did not reach the member, so silence of all relays indicates a problem of this
            // node; see Lifeguard (2018), section 4.1.
            this.settings.health.worsen();
        }
        return replies.some(reply => reply?.reached);
    }

    private async requestRelay(relay: Member, member: Member): Promise<wire.RelayReply | undefined> {
        const { client, health, self, onReply, onRelayReply } = this.settings;
        const request = { node: self().id, target: member.id, address: member.address };
        try {
            const reply = await client.probeIndirectly(relay.address, request, RELAY_TIMEOUT_MS * health.timeoutMultiplier);
            onRelayReply();
            if (reply.reached) {
                onReply(member, reply);
            }
            return reply;
        }
        catch (error) {
            rethrowUnlessPeerError(error);
            return undefined;
        }
    }

    private pickRelays(target: Member): readonly Member[] {
        const { others, self } = this.settings;
        const candidates = others().filter(member => member.id !== target.id && member.protocol > 0 && canRelay(member));
        const local = candidates.filter(member => member.failureDomain === self().failureDomain);
        const remote = candidates.filter(member => member.failureDomain !== self().failureDomain);
        return [...this.takeRandom(local, LOCAL_RELAYS), ...this.takeRandom(remote, REMOTE_RELAYS)];
    }

    /** Removes up to `count` random members from the array and returns them. */
    private takeRandom(members: Member[], count: number): readonly Member[] {
        const picked: Member[] = [];
        while (picked.length < count && members.length > 0) {
            picked.push(...members.splice(this.settings.random.nextInt(members.length), 1));
        }
        return picked;
    }
}

function canRelay(member: Member): boolean {
    return !isRemoved(member) && member.state !== MemberState.Suspect && member.state !== MemberState.Unreachable;
}

/** Rethrows an error unless it reports that a peer did not answer, which the result of the probe already states. */
function rethrowUnlessPeerError(error: unknown): void {
    if (!(error instanceof PeerError)) {
        throw error;
    }
}
