/**
 * Fingerprints of strings, identical on every node.
 *
 * @module
 */

/** Offset basis and prime of 32-bit FNV-1a (Fowler, Noll and Vo). */
const FNV_OFFSET_BASIS = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Offset basis of the upper half, different from the lower one so that the halves differ. */
const UPPER_OFFSET_BASIS = 0x9747b28c;

/** Mask for the 20 bits of the upper half that fit into a safe integer above the 32 bits of the lower half. */
const UPPER_MASK = 0xf_ffff;

/** Number of distinct 32-bit values. */
const UINT32_RANGE = 0x1_0000_0000;

/** Computes a 52-bit hash of a string, as a safe integer. */
export function computeFingerprint(text: string): number {
    return (hash32(text, UPPER_OFFSET_BASIS) & UPPER_MASK) * UINT32_RANGE + hash32(text, FNV_OFFSET_BASIS);
}

/** Computes 32-bit FNV-1a over UTF-16 code units, followed by the MurmurHash3 finalizer. */
function hash32(text: string, offsetBasis: number): number {
    let hash = offsetBasis;
    for (let index = 0; index < text.length; index += 1) {
        hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
    }
    // FNV-1a alone distributes short strings poorly over its upper bits.
    hash = Math.imul(hash ^ hash >>> 16, 0x85ebca6b);
    hash = Math.imul(hash ^ hash >>> 13, 0xc2b2ae35);
    return (hash ^ hash >>> 16) >>> 0;
}
