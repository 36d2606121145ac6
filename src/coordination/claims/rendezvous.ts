/**
 * Rendezvous hashing: all nodes with the same member list rank the members in the same order, without communication.
 *
 * After Thaler and Ravishankar, "Using name-based mappings to increase hit rates" (1998).
 *
 * @module
 */

import { createHash } from "node:crypto";
import type { LiveMember } from "../../protocol/mod.js";

/** Member with its rendezvous weight for one name. */
interface RankedMember {
    readonly member: LiveMember;
    readonly weight: number;
}

/**
 * Ranks members for a name by their rendezvous weight.
 *
 * @param name Name of the object to place, such as a stream.
 * @param members Members to choose from.
 * @returns Members, highest weight first.
 */
export function rankMembers(name: string, members: readonly LiveMember[]): readonly LiveMember[] {
    const ranked: RankedMember[] = members.map(member => ({ member, weight: rendezvousWeight(name, member.id) }));
    ranked.sort((left, right) => right.weight - left.weight || left.member.id.localeCompare(right.member.id));
    return ranked.map(({ member }) => member);
}

function rendezvousWeight(name: string, id: string): number {
    return createHash("sha256").update(`${name}\n${id}`).digest().readUIntBE(0, 6);
}
