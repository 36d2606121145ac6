/**
 * Entry VMs that a node believes to be live.
 *
 * @module
 */

/** Entry VM as other entry VMs reach it. */
export interface Member {
    /** Id of the node. */
    readonly id: string;
    /** IP number and port for peers. */
    readonly address: string;
}

/** View of the live entry VMs; it may be stale, and two nodes may disagree. */
export abstract class MemberView {
    /** Live entry VMs, this node included. */
    abstract readonly live: readonly Member[];
}
