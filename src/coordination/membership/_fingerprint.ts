/**
 * Short fingerprints of texts, the same on every node.
 *
 * @module
 */

/** Offset basis and prime of FNV-1a with 32 bits; see Fowler, Noll and Vo. */
const FNV_OFFSET_BASIS = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Start of the second half, so that the halves differ. */
const UPPER_OFFSET_BASIS = 0x9747b28c;

/** Bits of the second half that fit into a whole number beside the first. */
const UPPER_MASK = 0xf_ffff;

/** Values of a 32-bit number. */
const UINT32_RANGE = 0x1_0000_0000;

/** Returns a whole number of 52 bits. */
export function computeFingerprint(text: string): number {
    return (hash32(text, UPPER_OFFSET_BASIS) & UPPER_MASK) * UINT32_RANGE + hash32(text, FNV_OFFSET_BASIS);
}

function hash32(text: string, offset: number): number {
    let hash = offset;
    for (let index = 0; index < text.length; index += 1) {
        hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
    }
    // The last steps of MurmurHash3, since FNV-1a alone spreads short texts badly over its upper bits.
    hash = Math.imul(hash ^ hash >>> 16, 0x85ebca6b);
    hash = Math.imul(hash ^ hash >>> 13, 0xc2b2ae35);
    return (hash ^ hash >>> 16) >>> 0;
}
