/**
 * Probes of members, direct and through others.
 *
 * @module
 */

import { type PeerClient, PeerError, type wire } from "../../protocol/mod.js";
import type { Clock, RandomSource } from "../../state/mod.js";
import type { LocalHealth } from "./_local_health.js";
import { isRemoved, type Member, MemberState } from "./member.js";

/** Time that a direct probe may take, in milliseconds. */
const PROBE_TIMEOUT_MS = 400;

/** Time that a probe through another member may take, in milliseconds. */
const RELAY_TIMEOUT_MS = 700;

/** Time by which a wait may overrun before this node takes itself for slow, in milliseconds. */
const OVERRUN_TOLERANCE_MS = 200;

/** Members of the same failure domain that are asked to probe in this node's place. */
const LOCAL_RELAYS = 2;

/** Members of other failure domains that are asked to probe in this node's place. */
const REMOTE_RELAYS = 1;

/** How a probe ended. */
export enum ProbeResult {
    /** The member answered, here or to a relay. */
    Reached = "reached",
    /** Neither this node nor its relays reached the member. */
    Failed = "failed",
    /** This node was itself too slow to tell. */
    Inconclusive = "void",
}

/** Settings of a {@linkcode Prober}. */
export interface ProberSettings {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly client: PeerClient;
    readonly health: LocalHealth;
    /** Returns this node as it is now. */
    readonly self: () => Member;
    /** Lists all members but this node. */
    readonly others: () => readonly Member[];
    /** Makes the request to a member. */
    readonly makeRequest: (member: Member) => wire.ProbeRequest;
    /** Takes the answer of a member, or of a relay that reached it. */
    readonly onReply: (member: Member, reply: wire.ProbeReply | wire.RelayReply) => void;
    /** Hears that a relay answered, whatever it found. */
    readonly onRelayReply: () => void;
}

/** Probes members after SWIM: directly first, then through relays. */
export class Prober {
    /** @param settings See {@linkcode ProberSettings}. */
    constructor(private readonly settings: ProberSettings) {}

    /** Probes a member directly and through relays. */
    async probe(member: Member): Promise<ProbeResult> {
        const { clock, health } = this.settings;
        const startedAtMs = clock.now();
        const factor = health.timeoutMultiplier;
        if (await this.probeDirectly(member)) {
            health.improve();
            return ProbeResult.Reached;
        }
        if (await this.probeIndirectly(member)) {
            return ProbeResult.Reached;
        }
        const allowedMs = (PROBE_TIMEOUT_MS + RELAY_TIMEOUT_MS) * factor + OVERRUN_TOLERANCE_MS;
        if (clock.now() - startedAtMs > allowedMs) {
            health.worsen();
            return ProbeResult.Inconclusive;
        }
        return ProbeResult.Failed;
    }

    /** Probes a member directly. */
    async probeDirectly(member: Member): Promise<boolean> {
        const { client, health, makeRequest: request, onReply: onAnswer } = this.settings;
        try {
            const reply = await client.probe(member.address, request(member), PROBE_TIMEOUT_MS * health.timeoutMultiplier);
            onAnswer(member, reply);
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
        const answers = await Promise.all(relays.map(relay => this.requestRelay(relay, member)));
        if (relays.length > 0 && answers.every(answer => answer === undefined)) {
            // A healthy relay says even that it did not reach the member; see Lifeguard (2018), section 4.1.
            this.settings.health.worsen();
        }
        return answers.some(answer => answer?.reached);
    }

    private async requestRelay(relay: Member, member: Member): Promise<wire.RelayReply | undefined> {
        const { client, health, self, onReply: onAnswer, onRelayReply: onRelayAnswer } = this.settings;
        const request = { node: self().id, target: member.id, address: member.address };
        try {
            const reply = await client.probeIndirectly(relay.address, request, RELAY_TIMEOUT_MS * health.timeoutMultiplier);
            onRelayAnswer();
            if (reply.reached) {
                onAnswer(member, reply);
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
        const able = others().filter(member => member.id !== target.id && member.protocol > 0 && canRelay(member));
        const near = able.filter(member => member.failureDomain === self().failureDomain);
        const far = able.filter(member => member.failureDomain !== self().failureDomain);
        return [...this.takeRandom(near, LOCAL_RELAYS), ...this.takeRandom(far, REMOTE_RELAYS)];
    }

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

/** The outcome tells enough of a peer that did not answer; everything else is a defect. */
function rethrowUnlessPeerError(error: unknown): void {
    if (!(error instanceof PeerError)) {
        throw error;
    }
}
