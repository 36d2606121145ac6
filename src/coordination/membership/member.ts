/**
 * Member records of entry VMs and their precedence.
 *
 * @module
 */

import { wire } from "../../protocol/mod.js";

/** Version of the peer protocol; a node that sends none has version 0 and does not support exchanges. */
export const PEER_PROTOCOL_VERSION = 1;

/** State of a member, as seen by this node. */
export enum MemberState {
    /** The VM list contains it, but no update of it was received yet. */
    Listed = "listed",
    Alive = "alive",
    /** A node of its failure domain could not reach it; it can still refute the suspicion. */
    Suspect = "suspect",
    /** Its whole failure domain is unreachable, so its state is unknown. */
    Unreachable = "unreachable",
    Dead = "dead",
    /** It announced that it leaves. */
    Left = "left",
}

/** Entry VM and its state, as known to this node. */
export interface Member {
    readonly id: string;
    /** IP address and port for peers and operators. */
    readonly address: string;
    readonly failureDomain: string;
    readonly state: MemberState;
    /** Start time of its process in milliseconds since the Unix epoch; 0 while no update of it was received. */
    readonly life: number;
    /** Incremented by the member itself when it refutes a suspicion or leaves. */
    readonly incarnation: number;
    /** Peer protocol version of the member. */
    readonly protocol: number;
}

/** Wire values and states in ascending precedence within one incarnation. */
const STANDINGS: readonly (readonly [wire.MemberStanding, MemberState])[] = [
    [wire.MemberStanding.MEMBER_STANDING_LISTED, MemberState.Listed],
    [wire.MemberStanding.MEMBER_STANDING_ALIVE, MemberState.Alive],
    [wire.MemberStanding.MEMBER_STANDING_SUSPECT, MemberState.Suspect],
    [wire.MemberStanding.MEMBER_STANDING_DEAD, MemberState.Dead],
    [wire.MemberStanding.MEMBER_STANDING_LEFT, MemberState.Left],
];

/** Returns whether a record queries the receiver for its record of the member. */
export function isQuery(record: wire.MemberRecord): boolean {
    return record.standing === wire.MemberStanding.MEMBER_STANDING_LISTED;
}

/** Returns whether a member is dead or has left. */
export function isRemoved(member: Member): boolean {
    return member.state === MemberState.Dead || member.state === MemberState.Left;
}

/**
 * Returns whether an update of a member overrides the known record.
 *
 * After Das, Gupta and Motivala, "SWIM" (2002), section 4.2, except that the start time of the process takes precedence over the
 * incarnation, and that a process that has left remains so.
 */
export function overrides(update: Member, known: Member): boolean {
    if (update.life !== known.life) {
        return update.life > known.life;
    }
    if (known.state === MemberState.Left) {
        return false;
    }
    if (update.state === MemberState.Left) {
        return true;
    }
    if (update.incarnation !== known.incarnation) {
        return update.incarnation > known.incarnation;
    }
    return precedence(update.state) > precedence(known.state);
}

/** Converts a member to its wire format. */
export function toMemberRecord(member: Member, accuser = ""): wire.MemberRecord {
    const [standing] = STANDINGS[precedence(member.state)];
    const { id, address, failureDomain, life, incarnation, protocol } = member;
    return { id, address, failureDomain, life, incarnation, protocol, standing, accuser };
}

/**
 * Converts a record in wire format to a member.
 *
 * @returns `undefined` for a record of a later protocol (with an unknown standing), one without id or address, or one without a
 * start time whose member is not alive, such as a query.
 */
export function fromMemberRecord(record: wire.MemberRecord): Member | undefined {
    const standing = STANDINGS.find(([wireStanding]) => wireStanding === record.standing);
    if (standing === undefined || record.id === "" || record.address === "" || record.life < 0) {
        return undefined;
    }
    if (record.life === 0 && standing[1] !== MemberState.Alive) {
        // A member without a start time, such as one with an older protocol, cannot refute updates about it.
        return undefined;
    }
    const { id, address, failureDomain, life, incarnation, protocol } = record;
    return { id, address, failureDomain, life, incarnation, protocol, state: standing[1] };
}

/** Position of a state in {@linkcode STANDINGS}. */
function precedence(state: MemberState): number {
    return STANDINGS.findIndex(([, listedState]) => listedState === state);
}
