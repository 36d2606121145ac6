/**
 * Which node probes which, so that the cost of a node does not grow with the fleet.
 *
 * @module
 */

import { computeFingerprint } from "./_fingerprint.js";
import { isRemoved, type Member } from "./member.js";

/** Members of its own failure domain that a node probes: those that follow it on a ring. */
const RING_SUCCESSORS = 3;

/** Nodes of a failure domain that hold a link to each other failure domain. */
const LINK_HOLDERS = 2;

/** Members that a node can see, as the topology needs them. */
export interface TopologyView {
    /** This node. */
    readonly self: Member;
    /** All members, this node left out. */
    readonly others: readonly Member[];
}

/** Returns the members that this node probes in its own failure domain. */
export function ringSuccessors({ self, others }: TopologyView): readonly Member[] {
    const own = others.filter(member => member.failureDomain === self.failureDomain && !isRemoved(member));
    const place = computeFingerprint(self.id);
    const distance = (member: Member) => {
        const ahead = computeFingerprint(member.id) - place;
        return ahead > 0 ? ahead : ahead + Number.MAX_SAFE_INTEGER;
    };
    return own.sort((left, right) => distance(left) - distance(right)).slice(0, RING_SUCCESSORS);
}

/** Returns the other failure domains to which this node holds a link. */
export function heldLinks(neighbourhood: TopologyView): readonly string[] {
    const { self, others } = neighbourhood;
    const present = others.filter(member => !isRemoved(member));
    const own = present.filter(member => member.failureDomain === self.failureDomain).map(member => member.id);
    const domains = new Set(present.map(member => member.failureDomain).filter(domain => domain !== self.failureDomain));
    return [...domains].filter(domain => {
        const place = computeFingerprint(`${domain} ${self.id}`);
        return own.filter(id => computeFingerprint(`${domain} ${id}`) < place).length < LINK_HOLDERS;
    });
}

/** Returns the members of another failure domain in the order in which this node links to them. */
export function linkCandidates({ self, others }: TopologyView, failureDomain: string): readonly Member[] {
    const order = (member: Member) => computeFingerprint(`${self.id} ${member.id}`);
    return others
        .filter(member => member.failureDomain === failureDomain && !isRemoved(member))
        .sort((left, right) => order(left) - order(right));
}
