/**
 * Membership view: the entry VMs that a node considers live.
 *
 * @module
 */

/** Id and peer address of a live entry VM. */
export interface LiveMember {
    /** Id of the node. */
    readonly id: string;
    /** IP address and port for peers. */
    readonly address: string;
}

/** A node's view of the live entry VMs, which may be stale and may differ between nodes. */
export abstract class MemberView {
    /** Live entry VMs, including this node. */
    abstract readonly live: readonly LiveMember[];
}
