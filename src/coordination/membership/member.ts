/**
 * Members: the entry VMs that a node knows of.
 *
 * @module
 */

import { wire } from "../../protocol/mod.js";

/** Version of the messages between daemons; a node that sends none is of version 0 and takes no exchanges. */
export const PEER_PROTOCOL_VERSION = 1;

/** What a node holds of a member. */
export enum MemberState {
    /** The VM list shows it, but nothing was heard of it yet. */
    Listed = "listed",
    Alive = "alive",
    /** A node of its failure domain could not reach it; it can still refute. */
    Suspect = "suspect",
    /** Its whole failure domain is out of reach, so nobody can tell. */
    Unreachable = "unreachable",
    Dead = "dead",
    /** It said that it stops. */
    Left = "left",
}

/** Entry VM as this node knows it. */
export interface Member {
    readonly id: string;
    /** IP number and port for peers and operators. */
    readonly address: string;
    readonly failureDomain: string;
    readonly state: MemberState;
    /** Start of its process in milliseconds since the Unix epoch; 0 while nothing was heard of it. */
    readonly life: number;
    /** Raised by the member itself when it refutes a suspicion or leaves. */
    readonly incarnation: number;
    /** Version of the member's messages. */
    readonly protocol: number;
}

/** Standings in the order in which they override each other within one incarnation. */
const STANDINGS: readonly (readonly [wire.MemberStanding, MemberState])[] = [
    [wire.MemberStanding.MEMBER_STANDING_LISTED, MemberState.Listed],
    [wire.MemberStanding.MEMBER_STANDING_ALIVE, MemberState.Alive],
    [wire.MemberStanding.MEMBER_STANDING_SUSPECT, MemberState.Suspect],
    [wire.MemberStanding.MEMBER_STANDING_DEAD, MemberState.Dead],
    [wire.MemberStanding.MEMBER_STANDING_LEFT, MemberState.Left],
];

/** Tells whether a record asks for what its receiver knows of the member. */
export function isQuery(record: wire.MemberRecord): boolean {
    return record.standing === wire.MemberStanding.MEMBER_STANDING_LISTED;
}

/** Tells whether a member was removed: it is dead or has left. */
export function isRemoved(member: Member): boolean {
    return member.state === MemberState.Dead || member.state === MemberState.Left;
}

/**
 * Tells whether news of a member overrides what is known.
 *
 * After Das, Gupta and Motivala, "SWIM" (2002), section 4.2, with the life of the process before the incarnation. A member that
 * has left stays so for the rest of its life.
 */
export function overrides(news: Member, known: Member): boolean {
    if (news.life !== known.life) {
        return news.life > known.life;
    }
    if (known.state === MemberState.Left) {
        return false;
    }
    if (news.state === MemberState.Left) {
        return true;
    }
    if (news.incarnation !== known.incarnation) {
        return news.incarnation > known.incarnation;
    }
    return precedence(news.state) > precedence(known.state);
}

/** Turns a member into its message. */
export function toMemberRecord(member: Member, accuser = ""): wire.MemberRecord {
    const [standing] = STANDINGS[precedence(member.state)];
    const { id, address, failureDomain, life, incarnation, protocol } = member;
    return { id, address, failureDomain, life, incarnation, protocol, standing, accuser };
}

/**
 * Turns a message into a member.
 *
 * @returns `undefined` for a record of a later protocol or one that lacks its id or address.
 */
export function fromMemberRecord(record: wire.MemberRecord): Member | undefined {
    const standing = STANDINGS.find(([wireStanding]) => wireStanding === record.standing);
    if (standing === undefined || record.id === "" || record.address === "" || record.life < 0) {
        return undefined;
    }
    if (record.life === 0 && standing[1] !== MemberState.Alive) {
        // Nobody can refute what is said of a member without a life, such as one of an older protocol.
        return undefined;
    }
    const { id, address, failureDomain, life, incarnation, protocol } = record;
    return { id, address, failureDomain, life, incarnation, protocol, state: standing[1] };
}

function precedence(state: MemberState): number {
    return STANDINGS.findIndex(([, each]) => each === state);
}
