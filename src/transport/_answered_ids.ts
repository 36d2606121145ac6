/**
 * Ids of calls that were answered on connections that are kept.
 *
 * @module
 */

import { hashKey } from "../protocol/relay/mod.js";

/** Ids of one address that are kept at most; each takes about 20 bytes. */
const MAX_ANSWERED_IDS = 512;

/** Set of ids by their hash: another id with the same hash counts as answered, too. */
export class AnsweredIds {
    private readonly hashes = new Set<number>();

    /** Whether another id has no room. */
    get isFull(): boolean {
        return this.hashes.size >= MAX_ANSWERED_IDS;
    }

    /** Adds an id. */
    add(id: string): void {
        this.hashes.add(toSmallInteger(hashKey(id)));
    }

    /** Whether an id was answered. */
    has(id: string): boolean {
        return this.hashes.size > 0 && this.hashes.has(toSmallInteger(hashKey(id)));
    }
}

/** @returns The number as a signed one, which takes no memory of its own. */
function toSmallInteger(hash: number): number {
    return hash | 0;
}
