/**
 * Probe topology: selects the members that each node probes, at a cost per node that does not grow with the fleet.
 *
 * @module
 */

import { computeFingerprint } from "./_fingerprint.js";
import { isRemoved, type Member } from "./member.js";

/** Number of successors on the hash ring of its own failure domain that a node probes. */
const RING_SUCCESSORS = 3;

/** Number of nodes per failure domain that hold a link to each other failure domain. */
const LINK_HOLDERS = 2;

/** Members from which the topology is computed. */
export interface TopologyView {
    readonly self: Member;
    /** All members except this node. */
    readonly others: readonly Member[];
}

/** Returns the members that follow this node on the hash ring of its failure domain. */
export function ringSuccessors({ self, others }: TopologyView): readonly Member[] {
    const own = others.filter(member => member.failureDomain === self.failureDomain && !isRemoved(member));
    const position = computeFingerprint(self.id);
    const distance = (member: Member) => {
        const offset = computeFingerprint(member.id) - position;
        return offset > 0 ? offset : offset + Number.MAX_SAFE_INTEGER;
    };
    return own.sort((left, right) => distance(left) - distance(right)).slice(0, RING_SUCCESSORS);
}

/** Returns the other failure domains to which this node holds a link, chosen by rendezvous hashing. */
export function heldLinks(view: TopologyView): readonly string[] {
    const { self, others } = view;
    const active = others.filter(member => !isRemoved(member));
    const own = active.filter(member => member.failureDomain === self.failureDomain).map(member => member.id);
    const domains = new Set(active.map(member => member.failureDomain).filter(domain => domain !== self.failureDomain));
    return [...domains].filter(domain => {
        const position = computeFingerprint(`${domain} ${self.id}`);
        return own.filter(id => computeFingerprint(`${domain} ${id}`) < position).length < LINK_HOLDERS;
    });
}

/** Returns the members of another failure domain in the order in which this node tries them as link targets. */
export function linkCandidates({ self, others }: TopologyView, failureDomain: string): readonly Member[] {
    const order = (member: Member) => computeFingerprint(`${self.id} ${member.id}`);
    return others
        .filter(member => member.failureDomain === failureDomain && !isRemoved(member))
        .sort((left, right) => order(left) - order(right));
}
